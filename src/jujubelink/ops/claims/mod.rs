//! Claims, stored in the platform, that let each non-idempotent request run at most once.

mod plugin;
mod service;
mod sweep;

pub use service::Claims;
