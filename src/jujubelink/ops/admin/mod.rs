//! Administration API, served at a separate address and protected by separate keys.
//!
//! [`endpoint::ENDPOINTS`] lists all endpoints with the required roles. The OpenAPI description in
//! `docs/openapi.json` is generated from this list.

mod audit;
mod auth;
mod endpoint;
mod handlers;
mod idempotency;
mod lease_break;
mod openapi;
mod plugin;
mod reply;
mod server;
mod writer;

pub use audit::{AuditEntry, MAX_AUDIT_ENTRIES};
pub use auth::Caller;
pub use endpoint::{ENDPOINTS, Endpoint, EndpointMatch, match_path};
pub use openapi::openapi;
