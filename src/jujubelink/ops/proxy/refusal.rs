//! Error responses to clients.

use std::time::Duration;

use derive_more::Display;
use http::{Response, StatusCode};
use serde::Serialize;

use crate::util::http::{Body, full};

/// Stable error code of a refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum RefusalCode {
    /// Malformed request.
    InvalidRequest,
    /// The head of the request exceeds its limit.
    HeadTooLarge,
    /// The body or the prompt exceeds its limit.
    RequestTooLarge,
    /// The key is missing or unknown.
    InvalidKey,
    /// The key was revoked.
    KeyRevoked,
    /// The workspace may not use the route.
    Forbidden,
    /// The model does not exist.
    UnknownModel,
    /// No route matches the request.
    UnknownRoute,
    /// The workspace has exhausted its rate limit.
    RateLimited,
    /// The request cannot be served in time.
    Overloaded,
    /// The deadline has passed.
    DeadlineExceeded,
    /// The request crashed targets and is quarantined.
    Quarantined,
    /// No target is available.
    NoTarget,
    /// The target failed.
    UpstreamFailed,
    /// The stream ended early and could not be continued.
    StreamBroken,
    /// The idempotency key was used before with another request.
    ClaimConflict,
    /// The idempotency key cannot be claimed now.
    ClaimUnavailable,
    /// The instance has no configuration yet.
    NotReady,
    /// The instance is shutting down.
    Draining,
    /// Internal error of the router.
    Internal,
}

impl RefusalCode {
    /// Returns the HTTP status of the code.
    pub fn status(self) -> StatusCode {
        match self {
            Self::InvalidRequest => StatusCode::BAD_REQUEST,
            Self::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::RequestTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::InvalidKey | Self::KeyRevoked => StatusCode::UNAUTHORIZED,
            Self::Forbidden => StatusCode::FORBIDDEN,
            Self::UnknownModel | Self::UnknownRoute => StatusCode::NOT_FOUND,
            Self::RateLimited => StatusCode::TOO_MANY_REQUESTS,
            Self::ClaimConflict => StatusCode::CONFLICT,
            Self::Quarantined => StatusCode::UNPROCESSABLE_ENTITY,
            Self::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
            Self::UpstreamFailed | Self::StreamBroken => StatusCode::BAD_GATEWAY,
            Self::Overloaded
            | Self::NoTarget
            | Self::ClaimUnavailable
            | Self::NotReady
            | Self::Draining => StatusCode::SERVICE_UNAVAILABLE,
            Self::Internal => StatusCode::INTERNAL_SERVER_ERROR,
        }
    }
}

/// Whether a refused request may have been run by a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum Outcome {
    /// No part of the request can have reached a target.
    NotRun,
    /// The request may have run.
    OutcomeUnknown,
    /// The request ran, at least in part.
    Run,
}

/// A refusal or failure as reported to the client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Stable error code.
    pub code: RefusalCode,
    /// Human-readable explanation. It contains no key, prompt or generated text.
    pub message: String,
    /// Whether the request may have been run.
    pub outcome: Outcome,
    /// Delay after which a retry can succeed.
    pub retry_after: Option<Duration>,
    /// Whether the connection is closed after the response, so that it holds no memory any more.
    pub closes_connection: bool,
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorFields<'a>,
}

#[derive(Serialize)]
struct ErrorFields<'a> {
    code: RefusalCode,
    message: &'a str,
    outcome: Outcome,
    request_id: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
    r#type: RefusalCode,
}

impl Refusal {
    /// Creates a refusal for a request that reached no target.
    pub fn not_run(code: RefusalCode, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
            outcome: Outcome::NotRun,
            retry_after: None,
            closes_connection: false,
        }
    }

    /// Creates a refusal for a request that may have reached a target.
    pub fn outcome_unknown(code: RefusalCode, message: impl Into<String>) -> Self {
        Self {
            outcome: Outcome::OutcomeUnknown,
            ..Self::not_run(code, message)
        }
    }

    /// Sets the delay after which a retry can succeed.
    pub fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }

    /// Closes the connection after the response. HTTP/2 connections stay open.
    pub fn with_close(mut self) -> Self {
        self.closes_connection = true;
        self
    }

    /// Encodes the refusal as JSON.
    pub fn to_json(&self, request_id: &str) -> Vec<u8> {
        let body = ErrorBody {
            error: ErrorFields {
                code: self.code,
                message: &self.message,
                outcome: self.outcome,
                request_id,
                retry_after_ms: self.retry_after.map(|after| after.as_millis() as u64),
                r#type: self.code,
            },
        };
        serde_json::to_vec(&body).expect("strings and numbers encode")
    }

    /// Builds the HTTP response.
    pub fn to_response(&self, request_id: &str) -> Response<Body> {
        let mut builder = Response::builder()
            .status(self.code.status())
            .header(http::header::CONTENT_TYPE, "application/json")
            .header("x-request-id", request_id);
        if let Some(after) = self.retry_after {
            builder = builder.header(http::header::RETRY_AFTER, after.as_secs_f64().ceil() as u64);
        }
        if self.closes_connection {
            builder = builder.header(http::header::CONNECTION, "close");
        }
        builder
            .body(full(self.to_json(request_id)))
            .expect("valid headers")
    }
}
