//! Propagation on the event loop: [`ConfigService`], [`GossipService`] and the calls between
//! instances.
//!
//! [`ConfigService`]: crate::ops::services::ConfigService
//! [`GossipService`]: crate::ops::services::GossipService

mod calls;
mod gossip;
mod plugin;
mod push;
mod server;
mod start;
mod state;
mod watch;
mod withdrawals;

pub use crate::ops::kernel::Notifier;
pub use state::{CONFIG_OBJECT, ConfigState};
