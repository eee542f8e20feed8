//! Replies and errors of the administration API.

use http::{Response, StatusCode, header};
use serde::Serialize;
use serde_json::{Value, json};

use crate::core::ids::ConfigVersion;
use crate::ops::platform::PlatformError;
use crate::ops::settings::Finding;
use crate::util::http::{Body, full};

/// Error code in replies; part of the API.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum ApiErrorCode {
    InvalidRequest,
    InvalidKey,
    Forbidden,
    NotFound,
    MethodNotAllowed,
    TooLarge,
    Conflict,
    Rejected,
    NotReady,
    PlatformUnavailable,
    OutcomeUnknown,
}

impl ApiErrorCode {
    fn status(self) -> StatusCode {
        match self {
            Self::InvalidRequest => StatusCode::BAD_REQUEST,
            Self::InvalidKey => StatusCode::UNAUTHORIZED,
            Self::Forbidden => StatusCode::FORBIDDEN,
            Self::NotFound => StatusCode::NOT_FOUND,
            Self::MethodNotAllowed => StatusCode::METHOD_NOT_ALLOWED,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Conflict => StatusCode::CONFLICT,
            Self::Rejected => StatusCode::UNPROCESSABLE_ENTITY,
            Self::NotReady | Self::PlatformUnavailable => StatusCode::SERVICE_UNAVAILABLE,
            Self::OutcomeUnknown => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

/// Error reply.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub(super) struct ApiError {
    pub(super) code: ApiErrorCode,
    pub(super) message: String,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub(super) findings: Vec<Finding>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) current_version: Option<ConfigVersion>,
}

impl ApiError {
    pub(super) fn new(code: ApiErrorCode, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
            findings: Vec::new(),
            current_version: None,
        }
    }

    pub(super) fn invalid(message: impl Into<String>) -> Self {
        Self::new(ApiErrorCode::InvalidRequest, message)
    }

    pub(super) fn not_found(message: impl Into<String>) -> Self {
        Self::new(ApiErrorCode::NotFound, message)
    }

    pub(super) fn with_findings(mut self, findings: Vec<Finding>) -> Self {
        self.findings = findings;
        self
    }

    pub(super) fn with_current_version(mut self, version: ConfigVersion) -> Self {
        self.current_version = Some(version);
        self
    }
}

impl From<PlatformError> for ApiError {
    fn from(error: PlatformError) -> Self {
        Self::new(ApiErrorCode::PlatformUnavailable, error.to_string())
    }
}

/// Status and JSON body of a response.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Reply {
    pub(super) status: StatusCode,
    pub(super) body: Value,
}

impl Reply {
    pub(super) fn ok(body: impl Serialize) -> Self {
        Self {
            status: StatusCode::OK,
            // Serialization cannot fail: bodies contain only strings, numbers and maps with string
            // keys.
            body: serde_json::to_value(body).unwrap_or_default(),
        }
    }

    pub(super) fn into_response(self) -> Response<Body> {
        Response::builder()
            .status(self.status)
            .header(header::CONTENT_TYPE, "application/json")
            .header(header::CACHE_CONTROL, "no-store")
            .body(full(self.body.to_string()))
            .expect("valid headers")
    }
}

impl From<ApiError> for Reply {
    fn from(error: ApiError) -> Self {
        Self {
            status: error.code.status(),
            body: json!({ "error": error }),
        }
    }
}
