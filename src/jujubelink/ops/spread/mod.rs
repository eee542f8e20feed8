//! Propagation on the event loop: [`ConfigService`], [`GossipService`] and the calls between
//! instances.
//!
//! [`ConfigService`]: crate::ops::services::ConfigService
//! [`GossipService`]: crate::ops::services::GossipService

mod bootstrap;
mod calls;
mod gossip;
mod plugin;
mod push;
mod revocation_writer;
mod server;
mod state;
mod watch;

pub use crate::ops::kernel::Notifier;
pub use state::{CONFIG_OBJECT, ConfigState};
