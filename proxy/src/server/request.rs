//! Requests of clients: how they are read and checked, and why one is rejected.

use std::rc::Rc;
use std::time::Duration;

use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{HOST, HeaderMap, HeaderValue};
use hyper::http::request::Parts;
use hyper::http::uri::PathAndQuery;
use hyper::{Method, Request, StatusCode, Uri};
use stilelead_decision::interface::{ClassId, Idempotency, TenantId};
use thiserror::Error;
use tokio::time::{Instant, timeout_at};

use crate::active_config::ActiveConfig;
use crate::arrival::{Arrival, OutOfMemory};
use crate::body::{MAX_BODY_BYTES, stated_length};
use crate::driver::{ClientRequest, Driver};
use crate::framing::AmbiguousLength;
use crate::memory::{ReservedBytes, UNRESERVED_MESSAGE_BYTES};
use crate::request_ids::RepeatedId;
use crate::upstream::ForwardedRequest;

/// The time kept for delivering the answer. It is subtracted from the client's time limit, in each tier
/// again, because the answer has to arrive within that limit.
pub const DEADLINE_MARGIN: Duration = Duration::from_millis(8);
/// The header by which upstreams recognise a repeated request.
const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// How often the values of a head are held while its request is in progress: as forwarded, and as written to the
/// upstream.
const COPIES_OF_HEAD: usize = 2;

/// Why a client's request is rejected as malformed.
#[derive(Debug, Error, PartialEq, Eq)]
pub(super) enum BadRequest {
    #[error("no such class")]
    UnknownClass,
    #[error("no such tenant")]
    UnknownTenant,
    #[error("the deadline is not a time in seconds")]
    InvalidDeadline,
    #[error("no request id")]
    MissingId,
    #[error("the method does not fit the class")]
    WrongMethod,
    #[error("the class wants an idempotency key")]
    MissingIdempotencyKey,
    #[error("the body is too large")]
    TooLarge,
    #[error("the body broke off")]
    IncompleteBody,
    #[error("the body came too slowly")]
    BodyTimeout,
    #[error("{0}")]
    AmbiguousLength(#[from] AmbiguousLength),
    #[error("what follows the body is no request")]
    TrailingGarbage,
    #[error("{0}")]
    RepeatedId(#[from] RepeatedId),
    #[error("{0}")]
    OutOfMemory(#[from] OutOfMemory),
}

impl BadRequest {
    /// The status of the response that rejects the request.
    pub(super) fn status(&self) -> StatusCode {
        match self {
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            Self::RepeatedId(_) => StatusCode::CONFLICT,
            Self::OutOfMemory(_) => StatusCode::SERVICE_UNAVAILABLE,
            _ => StatusCode::BAD_REQUEST,
        }
    }

    /// Whether the fault leaves in doubt where the next request begins, so that the connection has to be
    /// closed.
    pub(super) fn closes_connection(&self) -> bool {
        matches!(
            self,
            Self::TooLarge
                | Self::IncompleteBody
                | Self::BodyTimeout
                | Self::AmbiguousLength(_)
                | Self::TrailingGarbage
                | Self::OutOfMemory(_)
        )
    }
}

/// The value of a header; `None` if it is absent or not printable ASCII text.
fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// The value of a header, unless it is absent or empty.
fn non_empty_header(headers: &HeaderMap, name: &str) -> Option<HeaderValue> {
    headers.get(name).filter(|value| !value.is_empty()).map(detached_copy)
}

/// A copy of a header value with memory of its own: the value as received keeps the connection's whole read
/// buffer alive.
fn detached_copy(value: &HeaderValue) -> HeaderValue {
    HeaderValue::from_bytes(value.as_bytes()).unwrap_or_else(|_| value.clone())
}

/// Parses a time in seconds, as clients write it.
fn parse_seconds(value: &str) -> Option<Duration> {
    value.trim().parse().ok().and_then(|seconds| Duration::try_from_secs_f64(seconds).ok())
}

/// The class, tenant and time limit of a request, as determined by the settings.
struct Classification {
    /// The class of the request.
    class: ClassId,
    /// The tenant of the request; `None` where the settings have no tenants.
    tenant: Option<TenantId>,
    /// How long the client waits for the answer.
    time_limit: Duration,
}

/// What is kept of a request's head, with memory of its own: values as received keep the connection's whole read
/// buffer alive, and a table of many fields is large.
#[derive(Debug)]
struct RequestHead {
    method: Method,
    /// Path and query.
    uri: Uri,
    host: HeaderValue,
    request_id: HeaderValue,
    idempotency_key: Option<HeaderValue>,
    tenant: Option<HeaderValue>,
    deadline: Option<HeaderValue>,
    /// The work that the client expects the request to take.
    expected_work: Option<Duration>,
    is_retry: bool,
}

impl RequestHead {
    /// Copies what is needed.
    fn new(head: &Parts) -> Result<Self, BadRequest> {
        let headers = &head.headers;
        let cost_hint_us = header_text(headers, "x-cost-hint").and_then(|value| value.trim().parse().ok());
        Ok(Self {
            method: head.method.clone(),
            uri: detached_path(&head.uri),
            host: headers.get(HOST).map_or(HeaderValue::from_static("upstream"), detached_copy),
            request_id: non_empty_header(headers, "x-request-id").ok_or(BadRequest::MissingId)?,
            idempotency_key: non_empty_header(headers, IDEMPOTENCY_KEY),
            tenant: headers.get("x-tenant").map(detached_copy),
            deadline: headers.get("x-deadline").map(detached_copy),
            expected_work: cost_hint_us.map(Duration::from_micros),
            is_retry: header_text(headers, "x-retry") == Some("1"),
        })
    }

    /// The memory of the values that clients may make large, and of the copy that is written to an upstream; 0
    /// if they are small.
    fn reserved_bytes(&self) -> usize {
        let path_bytes = self.uri.path_and_query().map_or(0, |path| path.as_str().len());
        let key_bytes = self.idempotency_key.as_ref().map_or(0, HeaderValue::len);
        let value_bytes = path_bytes + key_bytes + self.request_id.len() + self.host.len();
        if value_bytes <= UNRESERVED_MESSAGE_BYTES { 0 } else { value_bytes * COPIES_OF_HEAD }
    }
}

/// Finds a request's class, tenant and time limit by the settings in force, and checks that its method and
/// headers fit the class.
fn classify(active_config: &ActiveConfig, head: &RequestHead) -> Result<Classification, BadRequest> {
    let names = active_config.names();
    let class = head.uri.path().trim_start_matches('/').split('/').next().unwrap_or_default();
    let class = ClassId(*names.classes.get(class).ok_or(BadRequest::UnknownClass)?);
    let class_settings = active_config.class(class).ok_or(BadRequest::UnknownClass)?;
    match class_settings.idempotency {
        Idempotency::Idempotent if head.method != Method::GET => return Err(BadRequest::WrongMethod),
        Idempotency::Deduplicated { .. } if head.idempotency_key.is_none() => {
            return Err(BadRequest::MissingIdempotencyKey);
        }
        Idempotency::Deduplicated { .. } | Idempotency::NonIdempotent if head.method != Method::POST => {
            return Err(BadRequest::WrongMethod);
        }
        _ => {}
    }
    let tenant = match head.tenant.as_ref().and_then(|tenant| tenant.to_str().ok()) {
        Some(name) => Some(TenantId(*names.tenants.get(name).ok_or(BadRequest::UnknownTenant)?)),
        None if names.tenants.is_empty() => None,
        None => return Err(BadRequest::UnknownTenant),
    };
    // A client that states no deadline is taken to wait as long as its class allows.
    let time_limit = match &head.deadline {
        Some(value) => value.to_str().ok().and_then(parse_seconds).ok_or(BadRequest::InvalidDeadline)?,
        None => class_settings.deadline,
    };
    Ok(Classification { class, tenant, time_limit: time_limit.min(class_settings.deadline * 10) })
}

/// Reads a request including its body, and checks it against the settings in force.
pub(super) async fn read_request(
    driver: &Driver,
    request: Request<Incoming>,
    body_deadline: Instant,
    arrival: &Arrival,
) -> Result<ClientRequest, BadRequest> {
    let (head, body) = request.into_parts();
    let initial_config = driver.active_config();
    let head = RequestHead::new(&head)?;
    let mut classification = classify(&initial_config, &head)?;
    if body.size_hint().lower() > MAX_BODY_BYTES as u64 {
        return Err(BadRequest::TooLarge);
    }
    let head_reservation = arrival.reserve_head(head.reserved_bytes()).await?;
    let body =
        timeout_at(body_deadline, read_body(arrival, body)).await.unwrap_or(Err(BadRequest::BodyTimeout))?;
    // Settings that took effect while the body arrived apply to it: a request must not pass without an
    // idempotency key that its class now requires.
    let active_config = driver.active_config();
    if !Rc::ptr_eq(&initial_config, &active_config) {
        classification = classify(&active_config, &head)?;
    }
    Ok(ClientRequest {
        class: classification.class,
        tenant: classification.tenant,
        resource_key: resource_key(head.uri.query()),
        expected_work: head.expected_work,
        is_retry: head.is_retry,
        deadline: Instant::now() + classification.time_limit.saturating_sub(DEADLINE_MARGIN),
        forwarded: Rc::new(ForwardedRequest {
            method: head.method,
            host: head.host,
            uri: head.uri,
            request_id: head.request_id,
            idempotency_key: head.idempotency_key,
            body,
            head_reservation,
        }),
    })
}

/// Reads the body of a request, for as long as its memory is not needed for other requests.
async fn read_body(arrival: &Arrival, body: Incoming) -> Result<ReservedBytes, BadRequest> {
    let stated_bytes = stated_length(&body);
    let mut body = Limited::new(body, MAX_BODY_BYTES);
    loop {
        let frame = tokio::select! {
            biased;
            () = arrival.body_evicted() => return Err(OutOfMemory.into()),
            frame = body.frame() => frame,
        };
        match frame {
            None => return Ok(arrival.finish_body()?),
            Some(Ok(frame)) => {
                if let Ok(piece) = frame.into_data() {
                    arrival.push_body(&piece, stated_bytes).await?;
                }
            }
            Some(Err(error)) if error.is::<LengthLimitError>() => return Err(BadRequest::TooLarge),
            Some(Err(_)) => return Err(BadRequest::IncompleteBody),
        }
    }
}

/// Path and query of a URI, with memory of their own: only these are forwarded, also of a request whose URI
/// names the host.
fn detached_path(uri: &Uri) -> Uri {
    let path = uri.path_and_query().map_or("/", PathAndQuery::as_str);
    path.parse().unwrap_or_else(|_| uri.clone())
}

/// The resource that a request is about, from the query parameter `k` (hexadecimal).
fn resource_key(query: Option<&str>) -> Option<u64> {
    let value = query?.split('&').find_map(|pair| pair.strip_prefix("k="))?;
    u64::from_str_radix(value, 16).ok()
}

#[cfg(test)]
mod tests;
