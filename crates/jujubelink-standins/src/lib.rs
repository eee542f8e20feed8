//! Small stand-ins for the systems that jujubelink meets: the platform and targets.
//!
//! They speak the protocols of `docs/design.md`, section 12, on loopback sockets, and inject the
//! failures that tests ask for. They are no simulator of a fleet.

pub mod engine;
pub mod fleet;
pub mod platform;
pub mod ports;
mod server;
pub mod service;
pub mod stores;

pub use server::{StandIn, StandInHandle};
