//! Roll-out of services by version: reads the orders, exchanges evidence and shares with other instances,
//! and writes the status as holder of the order lease.

mod exchange;
mod message;
mod orders;
mod plugin;
mod service;

pub(crate) use exchange::RoundMessages;
pub use message::{CellMessage, RolloutMessage, RolloutsMessage, ShareMessage};
pub use service::{Canary, VersionUse};
