//! What a node makes of a request.

use std::future::pending;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderName, HeaderValue};
use hyper::{Request, Response, StatusCode};

use super::model::{Admission, Fate, Load};
use super::onward::OnwardCall;
use super::request::{Class, NodeRequest, RequestError};
use super::socket::{Connection, SocketNode};
use super::state;
use crate::topology::Carrier;

/// Bytes of a request's body at most, as the protocol has it.
const BODY_MOST: usize = 64 << 10;
/// The body of an answer to a request that was served.
const SERVED: &[u8] = b"served\n";
const NOT_RUN: HeaderName = HeaderName::from_static("x-not-run");
const LOAD: HeaderName = HeaderName::from_static("x-load");

type Answer = Response<Full<Bytes>>;

/// Answers one request. It does not end where there is no answer: the node is silent, or the connection reset.
pub(super) async fn answer(node: &SocketNode, connection: &Connection, request: Request<Incoming>) -> Answer {
    let (head, body) = request.into_parts();
    let request = NodeRequest::read(&head);
    if Limited::new(body, BODY_MOST).collect().await.is_err() {
        return plain(StatusCode::BAD_REQUEST);
    }
    // A request begins when its last byte has arrived.
    let arrived = Instant::now();
    let answer = match request {
        Err(RequestError::NoId) => plain(StatusCode::NOT_FOUND),
        Err(RequestError::Malformed) => plain(StatusCode::BAD_REQUEST),
        Ok(request) => {
            node.shared.record.count_attempt(Carrier::Real, request.hop);
            not_silent(connection).await;
            run(node, connection, &request, arrived).await
        }
    };
    not_silent(connection).await;
    answer
}

async fn not_silent(connection: &Connection) {
    if connection.states.borrow().silent {
        state::until(&mut connection.states.clone(), |state| !state.silent).await;
    }
}

async fn run(node: &SocketNode, connection: &Connection, request: &NodeRequest, arrived: Instant) -> Answer {
    if connection.beyond_limit {
        let mut answer = not_run(node);
        answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        return answer;
    }
    match admit(node) {
        Admission::TurnedAway => not_run(node),
        Admission::Fallen => pending().await,
        Admission::Runs { until, fate } => {
            count_run(node, request);
            node.shared.alarm.until(node.shared.start + until).await;
            if request.hops > 1 {
                return call_on(node, request, arrived).await;
            }
            end(node, connection, fate).await
        }
    }
}

/// Lets the request in, if the node bears it. A node that it pushes over is gone.
fn admit(node: &SocketNode) -> Admission {
    let now = node.now();
    let mut model = node.model();
    let fell_before = model.fallen();
    let admission = model.arrive(now);
    let falls = model.fallen() && !fell_before;
    drop(model);
    if falls {
        node.shared.record.measured().cold_falls += 1;
        node.stop();
    }
    admission
}

fn count_run(node: &SocketNode, request: &NodeRequest) {
    if request.class != Class::Order {
        return;
    }
    let mut orders = node.shared.orders.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
    let again = orders.run(&request.id);
    drop(orders);
    if again {
        node.shared.record.measured().duplicated += 1;
    }
}

/// The end at the last hop.
async fn end(node: &SocketNode, connection: &Connection, fate: Fate) -> Answer {
    match fate {
        Fate::Served => reported(node, StatusCode::OK, SERVED),
        Fate::Error => reported(node, StatusCode::INTERNAL_SERVER_ERROR, b""),
        Fate::Reset => {
            connection.reset.notify_one();
            pending().await
        }
    }
}

/// Calls the next service with the time that is left, and fails if that does.
async fn call_on(node: &SocketNode, request: &NodeRequest, arrived: Instant) -> Answer {
    let left = request.deadline.map(|deadline| deadline.saturating_sub(arrived.elapsed()));
    let call = OnwardCall {
        class: request.class,
        hops: request.hops - 1,
        hop: request.hop.saturating_add(1),
        tenant: request.tenant.clone(),
        left,
    };
    if left != Some(Duration::ZERO) {
        node.shared.record.count_hop_call(Carrier::Real, call.hop);
    }
    match node.onward.call(&call, &node.shared.ids).await {
        Ok(()) => reported(node, StatusCode::OK, SERVED),
        Err(error) => {
            tracing::debug!(%error, hop = call.hop, "a call to the next service failed");
            reported(node, StatusCode::INTERNAL_SERVER_ERROR, b"")
        }
    }
}

fn not_run(node: &SocketNode) -> Answer {
    let mut answer = reported(node, StatusCode::SERVICE_UNAVAILABLE, b"");
    answer.headers_mut().insert(NOT_RUN, HeaderValue::from_static("1"));
    answer
}

/// An answer with the load report on it, where there are any.
fn reported(node: &SocketNode, status: StatusCode, body: &'static [u8]) -> Answer {
    let mut answer = with_body(status, body);
    if node.shared.load_reports {
        let now = node.now();
        let load = node.model().load(now);
        if let Ok(value) = HeaderValue::try_from(load_report(&load)) {
            answer.headers_mut().insert(LOAD, value);
        }
    }
    answer
}

/// The fields by the names that settings give them.
fn load_report(load: &Load) -> String {
    format!("active={},waiting={},cpu={:.3}", load.active, load.waiting, load.utilization)
}

fn plain(status: StatusCode) -> Answer {
    with_body(status, b"")
}

fn with_body(status: StatusCode, body: &'static [u8]) -> Answer {
    let mut answer = Response::new(Full::new(Bytes::from_static(body)));
    *answer.status_mut() = status;
    answer
}
