//! Stand-ins for the systems that jujubelink talks to: the platform, its stores, and targets.
//!
//! A stand-in is a small server on a loopback socket that implements the protocols of
//! `docs/design.md`, section 12, and injects the failures that a test configures. The stand-ins do
//! not simulate the behaviour of a whole fleet.

pub mod engine;
pub mod fleet;
pub mod platform;
pub mod ports;
mod server;
pub mod service;
pub mod stores;

pub use server::{StandIn, StandInHandle};
