//! Router for language-model traffic with long shared prompts.
//!
//! - [`core`] holds the decisions: pure state machines that take an event and the current time and
//!   return effects. They use no sockets, clocks or randomness.
//! - [`ops`] holds the running process and the operators' commands.
//! - [`platform`] translates between this program and the users' platform.
//! - [`util`] holds sockets, HTTP helpers and hashing.
//!
//! `docs/design.md` describes the parts, the state and the failures they are built for.

pub mod core;
pub mod ops;
pub mod platform;
pub mod util;
