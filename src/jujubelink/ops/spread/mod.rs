//! Propagation of configuration, revocations, quarantine and digests between instances: implements
//! [`ConfigService`], [`GossipService`] and the gRPC service `Spread`.
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
