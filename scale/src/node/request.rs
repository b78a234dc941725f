//! Parses the requests that a node receives.

#[cfg(test)]
mod tests;

use std::time::Duration;

use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method};
use thiserror::Error;

/// The class whose requests must not run twice.
const ORDER_CLASS: &str = "order";

/// Why a node rejects a request as invalid.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub(super) enum RequestError {
    /// The request id is missing.
    #[error("no request id")]
    NoId,
    /// The query or a header cannot be parsed.
    #[error("malformed")]
    Malformed,
}

/// Whether a request may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Class {
    /// Idempotent: `GET`.
    Read,
    /// Must run at most once: `POST`.
    Order,
}

impl Class {
    /// The HTTP method of the class.
    pub(super) fn method(self) -> Method {
        match self {
            Self::Read => Method::GET,
            Self::Order => Method::POST,
        }
    }

    /// The name of the class, which is the first path segment.
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Read => "read",
            Self::Order => ORDER_CLASS,
        }
    }
}

/// The parsed head of a request.
#[derive(Debug, Clone)]
pub(super) struct NodeRequest {
    /// The request id, from the header `x-request-id`.
    pub(super) id: String,
    /// The request class; any class other than `order` counts as idempotent.
    pub(super) class: Class,
    /// Remaining hops to the last node, including this one.
    pub(super) hops: u32,
    /// The number of this hop, counted from 1.
    pub(super) hop: u32,
    /// The tenant, from the query.
    pub(super) tenant: Option<String>,
    /// How long the caller waits, if it set a deadline.
    pub(super) deadline: Option<Duration>,
}

impl NodeRequest {
    /// Parses the head of a request.
    ///
    /// # Errors
    /// The id is missing, or a part cannot be parsed.
    pub(super) fn read(head: &Parts) -> Result<Self, RequestError> {
        let id = header_text(&head.headers, "x-request-id")?.ok_or(RequestError::NoId)?;
        let deadline = header_text(&head.headers, "x-deadline")?.map(seconds).transpose()?;
        let query = head.uri.query().unwrap_or_default();
        let class = head.uri.path().trim_start_matches('/').split('/').next();
        Ok(Self {
            id: id.to_owned(),
            class: if class == Some(ORDER_CLASS) { Class::Order } else { Class::Read },
            hops: count_parameter(query, "hops")?,
            hop: count_parameter(query, "hop")?,
            tenant: query_value(query, "tenant").map(str::to_owned),
            deadline,
        })
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, RequestError> {
    headers.get(name).map(HeaderValue::to_str).transpose().map_err(|_| RequestError::Malformed)
}

fn seconds(text: &str) -> Result<Duration, RequestError> {
    let seconds: f64 = text.trim().parse().map_err(|_| RequestError::Malformed)?;
    Duration::try_from_secs_f64(seconds.max(0.0)).map_err(|_| RequestError::Malformed)
}

/// A count in the query; 1 if it is missing.
fn count_parameter(query: &str, name: &str) -> Result<u32, RequestError> {
    query_value(query, name).map_or(Ok(1), |value| value.parse().map_err(|_| RequestError::Malformed))
}

/// The value of a query parameter.
fn query_value<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let mut parts = query.split('&').filter_map(|part| part.split_once('='));
    parts.find(|(key, _)| *key == name).map(|(_, value)| value)
}
