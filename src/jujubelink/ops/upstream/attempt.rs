//! Attempts: a request is sent to a target once in each attempt.

use std::sync::Arc;

use derive_more::{Display, Error};
use http::{HeaderMap, HeaderValue};

use crate::core::ids::RequestId;
use crate::ops::services::AttemptOutcome;

/// Attempt id, unique in the fleet.
pub type AttemptId = Arc<str>;

const REQUEST_ID_HEADER: &str = "x-request-id";
const ATTEMPT_HEADER: &str = "x-attempt";

/// Request and attempt ids, which a target echoes in its response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptTag {
    /// Request id sent to the target.
    pub request: RequestId,
    /// Attempt id sent to the target.
    pub attempt: AttemptId,
}

impl AttemptTag {
    /// Creates a tag with a new attempt id.
    pub fn new(request: &RequestId) -> Self {
        Self {
            request: request.clone(),
            attempt: format!("{:016x}", rand::random::<u64>()).into(),
        }
    }

    /// Sets the ids in the request headers.
    pub fn apply(&self, headers: &mut HeaderMap) {
        let value = |text: &str| HeaderValue::from_str(text).ok();
        if let (Some(request), Some(attempt)) = (value(&self.request), value(&self.attempt)) {
            headers.insert(REQUEST_ID_HEADER, request);
            headers.insert(ATTEMPT_HEADER, attempt);
        }
    }

    /// Whether the response headers of an engine contain the ids of this attempt.
    pub fn is_echoed_by(&self, headers: &HeaderMap) -> bool {
        let equals = |name: &str, text: &str| {
            headers
                .get(name)
                .is_some_and(|value| value.as_bytes() == text.as_bytes())
        };
        equals(REQUEST_ID_HEADER, &self.request) && equals(ATTEMPT_HEADER, &self.attempt)
    }

    /// Whether the response headers of a plain service contain the ids of another attempt. Plain
    /// services need not echo the ids, and may use `x-request-id` for their own.
    pub fn is_contradicted_by(&self, headers: &HeaderMap) -> bool {
        headers.contains_key(ATTEMPT_HEADER) && !self.is_echoed_by(headers)
    }
}

/// Failure of an attempt before its first event.
#[derive(Debug, Display, Error)]
pub enum AttemptError {
    /// The connection could not be opened; nothing was sent.
    #[display("no connection to the target")]
    ConnectFailed,
    /// The connection failed; the request may have been sent, partly or completely.
    #[display("the connection to the target broke")]
    ConnectionLost,
    /// The target did not respond before the deadline.
    #[display("the target did not answer in time")]
    TimedOut,
    /// The response belongs to another request or attempt.
    #[display("the answer belongs to another request")]
    ResponseMismatch,
    /// The engine has a different weights version than the one that produced the delivered part of
    /// the response.
    #[display("the target serves another weights version")]
    WeightsMismatch,
    /// The target refused the request temporarily.
    #[display("the target refused with status {status}")]
    Refused {
        /// HTTP status of the response.
        status: u16,
    },
    /// The target rejected the request as invalid; a retry would not help.
    #[display("the target rejected the request: {message}")]
    Rejected {
        /// Explanation given by the target.
        message: String,
    },
    /// The target returned an error.
    #[display("the target failed with status {status}")]
    Failed {
        /// HTTP status of the response.
        status: u16,
    },
}

impl AttemptError {
    /// Whether any part of the request may have reached the target.
    pub fn may_have_run(&self) -> bool {
        !matches!(self, Self::ConnectFailed)
    }

    /// Returns the outcome to report to the scheduler.
    pub fn outcome(&self) -> AttemptOutcome {
        match self {
            Self::ConnectFailed => AttemptOutcome::ConnectFailed,
            Self::ConnectionLost => AttemptOutcome::Crashed,
            Self::TimedOut => AttemptOutcome::TimedOut,
            Self::ResponseMismatch | Self::Failed { .. } => AttemptOutcome::Failed,
            Self::WeightsMismatch | Self::Refused { .. } => AttemptOutcome::Refused,
            Self::Rejected { .. } => AttemptOutcome::Cancelled,
        }
    }
}
