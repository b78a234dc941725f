//! Requests as clients send them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HOST, HeaderName, HeaderValue};
use hyper::{Method, Request, Uri};

use super::arrivals::{Arrival, Class};
use super::connection::Outgoing;
use crate::process::settings::{TENANTS, tenant_name};

const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
const TENANT: HeaderName = HeaderName::from_static("x-tenant");
const DEADLINE: HeaderName = HeaderName::from_static("x-deadline");
/// Body of a request of the class that must not run twice.
const ORDER_BODY: &[u8] = b"one order";

/// The parts of requests that do not change, made once.
#[derive(Debug)]
pub(super) struct Requests {
    /// Number of the hop that a request arrives at.
    hop: u32,
    /// By hops and number of the tenant.
    reads: BTreeMap<(u32, u32), Uri>,
    orders: BTreeMap<(u32, u32), Uri>,
    hosts: Vec<HeaderValue>,
    tenants: Vec<HeaderValue>,
}

impl Requests {
    /// For requests of these depths to these targets.
    pub(super) fn new(hop: u32, depths: impl Iterator<Item = u32> + Clone, targets: &[SocketAddr]) -> Self {
        let each = || depths.clone().flat_map(|hops| (0..TENANTS).map(move |tenant| (hops, tenant)));
        let uris = |class: Class| {
            each().map(|(hops, tenant)| ((hops, tenant), uri(class, hops, hop, tenant))).collect()
        };
        let (reads, orders) = (uris(Class::Read), uris(Class::Order));
        let hosts = targets.iter().map(|address| value(&address.to_string())).collect();
        let tenants = (0..TENANTS).map(|number| value(&tenant_name(number))).collect();
        Self { hop, reads, orders, hosts, tenants }
    }

    /// The request of a call's try, counted from 0, whose client waits for `left`.
    pub(super) fn request(&self, arrival: &Arrival, number: u32, left: Duration) -> Outgoing {
        let (method, uris, body) = match arrival.class {
            Class::Read => (Method::GET, &self.reads, Full::default()),
            Class::Order => (Method::POST, &self.orders, Full::new(Bytes::from_static(ORDER_BODY))),
        };
        let mut request = Request::new(body);
        *request.method_mut() = method;
        let known = uris.get(&(arrival.hops, arrival.tenant)).cloned();
        let made = || uri(arrival.class, arrival.hops, self.hop, arrival.tenant);
        *request.uri_mut() = known.unwrap_or_else(made);
        let id = arrival.id.wrapping_add(u64::from(number));
        let headers = request.headers_mut();
        headers.insert(HOST, self.hosts[arrival.target].clone());
        headers.insert(REQUEST_ID, value(&format!("{id:016x}")));
        headers.insert(TENANT, self.tenants[arrival.tenant as usize].clone());
        headers.insert(DEADLINE, value(&format!("{:.6}", left.as_secs_f64())));
        request
    }
}

/// The tenant stands in the query as well: balancers pass on the query, but no header that names it, and nodes
/// have to tell it to the next balancer.
fn uri(class: Class, hops: u32, hop: u32, tenant: u32) -> Uri {
    let text = format!("/{}?hops={hops}&hop={hop}&tenant={}", class.name(), tenant_name(tenant));
    text.parse().expect("a path of plain letters and digits")
}

fn value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).expect("plain letters and digits")
}
