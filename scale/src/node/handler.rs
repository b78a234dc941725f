//! Handles one request at a simulated service node.

use std::future::pending;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderName, HeaderValue};
use hyper::{Request, Response, StatusCode};

use super::balancer_client::NextCall;
use super::model::{Admission, Load, WorkOutcome};
use super::request::{Class, NodeRequest, RequestError};
use super::socket::{Connection, SocketNode};
use super::state;
use crate::topology::BalancerKind;

/// Maximum size of a request body, as set by the protocol.
const MAX_BODY_BYTES: usize = 64 << 10;
/// Response body of a served request.
const SERVED_BODY: &[u8] = b"served\n";
const NOT_RUN_HEADER: HeaderName = HeaderName::from_static("x-not-run");
const LOAD_HEADER: HeaderName = HeaderName::from_static("x-load");

type NodeResponse = Response<Full<Bytes>>;

/// Responds to one request. The future never completes if there is no response: the node is silent, or the
/// connection is reset.
pub(super) async fn respond(
    node: &SocketNode,
    connection: &Connection,
    request: Request<Incoming>,
) -> NodeResponse {
    let (head, body) = request.into_parts();
    let request = NodeRequest::read(&head);
    if Limited::new(body, MAX_BODY_BYTES).collect().await.is_err() {
        return empty_response(StatusCode::BAD_REQUEST);
    }
    // A request counts as arrived when its last byte has been read.
    let arrived = Instant::now();
    let response = match request {
        Err(RequestError::NoId) => empty_response(StatusCode::NOT_FOUND),
        Err(RequestError::Malformed) => empty_response(StatusCode::BAD_REQUEST),
        Ok(request) => {
            node.shared.record.count_attempt(BalancerKind::Real, request.hop);
            wait_until_responsive(connection).await;
            run_request(node, connection, &request, arrived).await
        }
    };
    wait_until_responsive(connection).await;
    response
}

async fn wait_until_responsive(connection: &Connection) {
    if connection.states.borrow().silent {
        state::wait_until(&mut connection.states.clone(), |state| !state.silent).await;
    }
}

async fn run_request(
    node: &SocketNode,
    connection: &Connection,
    request: &NodeRequest,
    arrived: Instant,
) -> NodeResponse {
    if connection.over_limit {
        let mut response = not_run_response(node);
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        return response;
    }
    match admit(node) {
        Admission::QueueFull => not_run_response(node),
        Admission::Down => pending().await,
        Admission::Runs { ends_at, outcome } => {
            record_order_run(node, request);
            node.shared.timer.wait_until(node.shared.start + ends_at).await;
            if request.hops > 1 {
                return call_next_service(node, request, arrived).await;
            }
            finish(node, connection, outcome).await
        }
    }
}

/// Asks the model whether the node takes the request. A cold node that collapses under it is stopped.
fn admit(node: &SocketNode) -> Admission {
    let now = node.now();
    let mut model = node.model();
    let was_down = model.is_down();
    let admission = model.admit_request(now);
    let collapses = model.is_down() && !was_down;
    drop(model);
    if collapses {
        node.shared.record.measured().cold_node_collapses += 1;
        node.stop();
    }
    admission
}

fn record_order_run(node: &SocketNode, request: &NodeRequest) {
    if request.class != Class::Order {
        return;
    }
    let mut history = node.shared.order_history.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
    let repeated = history.record_run(&request.id);
    drop(history);
    if repeated {
        node.shared.record.measured().duplicated += 1;
    }
}

/// Responds to a request at its last hop, or resets its connection, as the node model has drawn.
async fn finish(node: &SocketNode, connection: &Connection, outcome: WorkOutcome) -> NodeResponse {
    match outcome {
        WorkOutcome::Served => response_with_load(node, StatusCode::OK, SERVED_BODY),
        WorkOutcome::Error => response_with_load(node, StatusCode::INTERNAL_SERVER_ERROR, b""),
        WorkOutcome::Reset => {
            connection.reset_requested.notify_one();
            pending().await
        }
    }
}

/// Calls the next service with the remaining time; the response is a 500 if that call fails.
async fn call_next_service(node: &SocketNode, request: &NodeRequest, arrived: Instant) -> NodeResponse {
    let time_left = request.deadline.map(|deadline| deadline.saturating_sub(arrived.elapsed()));
    let call = NextCall {
        class: request.class,
        hops: request.hops - 1,
        hop: request.hop.saturating_add(1),
        tenant: request.tenant.clone(),
        time_left,
    };
    if time_left != Some(Duration::ZERO) {
        node.shared.record.count_hop_call(BalancerKind::Real, call.hop);
    }
    match node.next_balancer.call(&call, &node.shared.request_ids).await {
        Ok(()) => response_with_load(node, StatusCode::OK, SERVED_BODY),
        Err(error) => {
            tracing::debug!(%error, hop = call.hop, "a call to the next service failed");
            response_with_load(node, StatusCode::INTERNAL_SERVER_ERROR, b"")
        }
    }
}

fn not_run_response(node: &SocketNode) -> NodeResponse {
    let mut response = response_with_load(node, StatusCode::SERVICE_UNAVAILABLE, b"");
    response.headers_mut().insert(NOT_RUN_HEADER, HeaderValue::from_static("1"));
    response
}

/// A response with the load report header, if load reports are enabled.
fn response_with_load(node: &SocketNode, status: StatusCode, body: &'static [u8]) -> NodeResponse {
    let mut response = response_with_body(status, body);
    if node.shared.load_reports {
        let now = node.now();
        let load = node.model().load(now);
        if let Ok(value) = HeaderValue::try_from(load_report(&load)) {
            response.headers_mut().insert(LOAD_HEADER, value);
        }
    }
    response
}

/// The load report, with the field names that the settings define.
fn load_report(load: &Load) -> String {
    format!("active={},waiting={},cpu={:.3}", load.active, load.waiting, load.utilization)
}

fn empty_response(status: StatusCode) -> NodeResponse {
    response_with_body(status, b"")
}

fn response_with_body(status: StatusCode, body: &'static [u8]) -> NodeResponse {
    let mut response = Response::new(Full::new(Bytes::from_static(body)));
    *response.status_mut() = status;
    response
}
