//! Roll-out of services by version: reads the orders, exchanges evidence and shares with other instances,
//! and writes the status as holder of the order lease.

mod message;
mod orders;
mod plugin;
mod service;

pub use message::RolloutsMessage;
pub use service::{Canary, VersionUse};
