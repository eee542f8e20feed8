//! Attempts: one try of a request at one target.

use std::sync::Arc;

use derive_more::{Display, Error};
use http::{HeaderMap, HeaderValue};

use crate::core::ids::RequestId;
use crate::ops::services::AttemptOutcome;

/// Identifier of an attempt, unique over the fleet.
pub type AttemptId = Arc<str>;

const REQUEST_ID_HEADER: &str = "x-request-id";
const ATTEMPT_HEADER: &str = "x-attempt";

/// The identifiers that a target echoes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptTag {
    /// Request, as the target knows it.
    pub request: RequestId,
    /// Attempt.
    pub attempt: AttemptId,
}

impl AttemptTag {
    /// A tag with a new attempt id.
    pub fn new(request: &RequestId) -> Self {
        Self {
            request: request.clone(),
            attempt: format!("{:016x}", rand::random::<u64>()).into(),
        }
    }

    /// Sets the identifiers on a request.
    pub fn apply(&self, headers: &mut HeaderMap) {
        let value = |text: &str| HeaderValue::from_str(text).ok();
        if let (Some(request), Some(attempt)) = (value(&self.request), value(&self.attempt)) {
            headers.insert(REQUEST_ID_HEADER, request);
            headers.insert(ATTEMPT_HEADER, attempt);
        }
    }

    /// Whether an engine's answer belongs to this attempt.
    pub fn is_echoed_by(&self, headers: &HeaderMap) -> bool {
        let equals = |name: &str, text: &str| {
            headers
                .get(name)
                .is_some_and(|value| value.as_bytes() == text.as_bytes())
        };
        equals(REQUEST_ID_HEADER, &self.request) && equals(ATTEMPT_HEADER, &self.attempt)
    }

    /// Whether a plain service's answer belongs to another attempt. Services need not echo
    /// anything, and may use `x-request-id` for ids of their own.
    pub fn is_contradicted_by(&self, headers: &HeaderMap) -> bool {
        headers.contains_key(ATTEMPT_HEADER) && !self.is_echoed_by(headers)
    }
}

/// Failure of an attempt before its first event.
#[derive(Debug, Display, Error)]
pub enum AttemptError {
    /// No connection: nothing was sent.
    #[display("no connection to the target")]
    ConnectFailed,
    /// The connection broke.
    #[display("the connection to the target broke")]
    ConnectionLost,
    /// The target was silent until the deadline.
    #[display("the target did not answer in time")]
    TimedOut,
    /// The answer belongs to another request or attempt.
    #[display("the answer belongs to another request")]
    ResponseMismatch,
    /// The engine serves other weights than the request was started with.
    #[display("the target serves another weights version")]
    WeightsMismatch,
    /// The target refused the request for now.
    #[display("the target refused with status {status}")]
    Refused {
        /// Status of the answer.
        status: u16,
    },
    /// The target rejected the request as such; a retry would not help.
    #[display("the target rejected the request: {message}")]
    Rejected {
        /// Explanation by the target.
        message: String,
    },
    /// The target failed.
    #[display("the target failed with status {status}")]
    Failed {
        /// Status of the answer.
        status: u16,
    },
}

impl AttemptError {
    /// Whether any part of the request can have reached the target.
    pub fn may_have_run(&self) -> bool {
        !matches!(self, Self::ConnectFailed)
    }

    /// The outcome to report.
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
