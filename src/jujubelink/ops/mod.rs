//! The server process and the operator commands.

pub mod admin;
pub mod claims;
pub mod commands;
pub mod config_history;
pub mod fleet;
pub mod kernel;
pub mod kvcache;
pub mod limits;
pub mod members;
pub mod orders;
pub mod peer;
pub mod platform;
pub mod proxy;
pub mod quarantine;
pub mod rollout;
pub mod scheduler;
pub mod serve;
pub mod services;
pub mod sessions;
pub mod settings;
pub mod share;
pub mod spread;
pub mod store;
pub mod telemetry;
pub mod tls;
pub mod upstream;
