//! Builds the requests that clients send.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HOST, HeaderName, HeaderValue};
use hyper::{Method, Request, Uri};

use super::arrivals::{Arrival, Class};
use super::connection::ClientRequest;
use crate::process::settings::{TENANT_COUNT, tenant_name};

const REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("x-request-id");
const TENANT_HEADER: HeaderName = HeaderName::from_static("x-tenant");
const DEADLINE_HEADER: HeaderName = HeaderName::from_static("x-deadline");
/// Body of requests of the class that must not run twice.
const ORDER_BODY: &[u8] = b"one order";

/// Builds requests from parts that are prepared once: URIs and header values.
#[derive(Debug)]
pub(super) struct RequestBuilder {
    /// Hop number of the requests when they reach their targets.
    hop: u32,
    /// URIs of read requests, keyed by number of hops and tenant number.
    read_uris: BTreeMap<(u32, u32), Uri>,
    order_uris: BTreeMap<(u32, u32), Uri>,
    host_headers: Vec<HeaderValue>,
    tenant_headers: Vec<HeaderValue>,
}

impl RequestBuilder {
    /// Prepares requests with these numbers of hops to these targets.
    pub(super) fn new(hop: u32, depths: impl Iterator<Item = u32> + Clone, targets: &[SocketAddr]) -> Self {
        let combinations =
            || depths.clone().flat_map(|hops| (0..TENANT_COUNT).map(move |tenant| (hops, tenant)));
        let uris = |class: Class| {
            combinations().map(|(hops, tenant)| ((hops, tenant), uri(class, hops, hop, tenant))).collect()
        };
        let (read_uris, order_uris) = (uris(Class::Read), uris(Class::Order));
        let host_headers = targets.iter().map(|address| header_value(&address.to_string())).collect();
        let tenant_headers = (0..TENANT_COUNT).map(|number| header_value(&tenant_name(number))).collect();
        Self { hop, read_uris, order_uris, host_headers, tenant_headers }
    }

    /// Builds the request of an attempt, counted from 0, whose client still waits for `remaining`.
    pub(super) fn build(&self, arrival: &Arrival, attempt_number: u32, remaining: Duration) -> ClientRequest {
        let (method, uris, body) = match arrival.class {
            Class::Read => (Method::GET, &self.read_uris, Full::default()),
            Class::Order => (Method::POST, &self.order_uris, Full::new(Bytes::from_static(ORDER_BODY))),
        };
        let mut request = Request::new(body);
        *request.method_mut() = method;
        let prepared = uris.get(&(arrival.hops, arrival.tenant)).cloned();
        let build_uri = || uri(arrival.class, arrival.hops, self.hop, arrival.tenant);
        *request.uri_mut() = prepared.unwrap_or_else(build_uri);
        let request_id = arrival.first_request_id.wrapping_add(u64::from(attempt_number));
        let headers = request.headers_mut();
        headers.insert(HOST, self.host_headers[arrival.target].clone());
        headers.insert(REQUEST_ID_HEADER, header_value(&format!("{request_id:016x}")));
        headers.insert(TENANT_HEADER, self.tenant_headers[arrival.tenant as usize].clone());
        headers.insert(DEADLINE_HEADER, header_value(&format!("{:.6}", remaining.as_secs_f64())));
        request
    }
}

/// The tenant is also part of the query: balancers forward the query but not the tenant header, and nodes
/// have to pass the tenant to the next balancer.
fn uri(class: Class, hops: u32, hop: u32, tenant: u32) -> Uri {
    let text = format!("/{}?hops={hops}&hop={hop}&tenant={}", class.name(), tenant_name(tenant));
    text.parse().expect("a path of plain letters and digits")
}

fn header_value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).expect("plain letters and digits")
}
