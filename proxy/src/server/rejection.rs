//! The answer to a request of which only a part has arrived when its connection is closed: its client may be
//! about to send the rest, and must not find the connection closed with no answer.

use std::time::Duration;

use hyper::StatusCode;
use tokio::net::TcpStream;

use crate::metrics::{AnswerKind, CloseReason, Metrics, UnservedCause};

/// The answer to a request that has not arrived completely.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Rejection {
    /// The rest of the request has not arrived in time.
    TimedOut,
    /// The connection has to be closed for this reason; the request may be sent again.
    Refused(UnservedCause),
}

impl Rejection {
    /// The answer on a connection that is closed for this reason.
    pub(super) fn for_close(reason: CloseReason) -> Self {
        match reason {
            CloseReason::Served | CloseReason::Idle | CloseReason::Stalled => Self::TimedOut,
            CloseReason::Evicted => Self::Refused(UnservedCause::Descriptors),
            CloseReason::Memory => Self::Refused(UnservedCause::Memory),
            CloseReason::ShuttingDown => Self::Refused(UnservedCause::ShuttingDown),
        }
    }

    /// Counts the answer.
    pub(super) fn count(self, metrics: &Metrics) {
        match self {
            Self::TimedOut => metrics.request_answered(AnswerKind::Malformed),
            Self::Refused(cause) => {
                metrics.request_unserved(cause);
                metrics.request_answered(AnswerKind::Refused);
            }
        }
        tracing::debug!(rejection = ?self, "partial request rejected");
    }

    /// Writes the answer, as far as the system takes it at once: the connection is closed in any case.
    pub(super) fn write_to(self, stream: &TcpStream, retry_after: Option<Duration>) {
        let _ = stream.try_write(self.to_http(retry_after).as_bytes());
    }

    /// The answer as an HTTP/1.1 message.
    fn to_http(self, retry_after: Option<Duration>) -> String {
        let (status, retry_after) = match self {
            Self::TimedOut => (StatusCode::REQUEST_TIMEOUT, None),
            Self::Refused(_) => (StatusCode::SERVICE_UNAVAILABLE, retry_after),
        };
        let retry_after = retry_after
            .map_or_else(String::new, |delay| format!("retry-after: {}\r\n", retry_after_value(delay)));
        format!("HTTP/1.1 {status}\r\nconnection: close\r\n{retry_after}content-length: 0\r\n\r\n")
    }
}

/// The value of a `Retry-After` header, in seconds.
pub(super) fn retry_after_value(delay: Duration) -> String {
    format!("{:.3}", delay.as_secs_f64())
}
