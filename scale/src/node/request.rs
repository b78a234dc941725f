//! The form of a request to a node.

#[cfg(test)]
mod tests;

use std::time::Duration;

use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method};
use thiserror::Error;

/// The class whose requests must not run twice.
const ORDER: &str = "order";

/// Why a request is no request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub(super) enum RequestError {
    /// It has no id.
    #[error("no request id")]
    NoId,
    /// Its query or a header makes no sense.
    #[error("malformed")]
    Malformed,
}

/// Whether a request may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Class {
    /// It may: `GET`.
    Read,
    /// It must run once at most: `POST`.
    Order,
}

impl Class {
    /// The method of its requests.
    pub(super) fn method(self) -> Method {
        match self {
            Self::Read => Method::GET,
            Self::Order => Method::POST,
        }
    }

    /// Its name, the first part of the path.
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Read => "read",
            Self::Order => ORDER,
        }
    }
}

/// A request as a node reads it.
#[derive(Debug, Clone)]
pub(super) struct NodeRequest {
    /// Its id.
    pub(super) id: String,
    /// Its class; any other than `order` may be repeated.
    pub(super) class: Class,
    /// Hops from here to the last node, with this one.
    pub(super) hops: u32,
    /// This hop, counted from 1.
    pub(super) hop: u32,
    /// The tenant, as the query names it.
    pub(super) tenant: Option<String>,
    /// How long the caller waits, if it says so.
    pub(super) deadline: Option<Duration>,
}

impl NodeRequest {
    /// Reads the head of a request.
    ///
    /// # Errors
    /// It has no id, or a part makes no sense.
    pub(super) fn read(head: &Parts) -> Result<Self, RequestError> {
        let id = text(&head.headers, "x-request-id")?.ok_or(RequestError::NoId)?;
        let deadline = text(&head.headers, "x-deadline")?.map(seconds).transpose()?;
        let query = head.uri.query().unwrap_or_default();
        let class = head.uri.path().trim_start_matches('/').split('/').next();
        Ok(Self {
            id: id.to_owned(),
            class: if class == Some(ORDER) { Class::Order } else { Class::Read },
            hops: count(query, "hops")?,
            hop: count(query, "hop")?,
            tenant: named(query, "tenant").map(str::to_owned),
            deadline,
        })
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, RequestError> {
    headers.get(name).map(HeaderValue::to_str).transpose().map_err(|_| RequestError::Malformed)
}

fn seconds(text: &str) -> Result<Duration, RequestError> {
    let seconds: f64 = text.trim().parse().map_err(|_| RequestError::Malformed)?;
    Duration::try_from_secs_f64(seconds.max(0.0)).map_err(|_| RequestError::Malformed)
}

/// A count in the query, 1 if it is not there.
fn count(query: &str, name: &str) -> Result<u32, RequestError> {
    named(query, name).map_or(Ok(1), |value| value.parse().map_err(|_| RequestError::Malformed))
}

/// A value in the query.
fn named<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let mut parts = query.split('&').filter_map(|part| part.split_once('='));
    parts.find(|(key, _)| *key == name).map(|(_, value)| value)
}
