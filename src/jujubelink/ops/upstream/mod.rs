//! Requests to targets: attempts, header filtering and engine streams.

mod attempt;
mod engine;
mod headers;

pub use attempt::{AttemptError, AttemptId, AttemptTag};
pub use engine::{EngineClient, EngineStream, StreamError};
pub use headers::{set_credential, strip_request_headers, strip_response_headers};
