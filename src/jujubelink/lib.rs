//! Router for language-model traffic with long shared prompts.
//!
//! - [`core`] contains the decision logic: deterministic state machines that take an event and the
//!   current time and return effects. They use no sockets, clocks or random numbers.
//! - [`ops`] contains the server process, which executes the effects, and the operators' commands.
//! - [`platform`] is the adapter to the users' platform: it translates names and formats.
//! - [`util`] contains sockets, HTTP helpers and hash functions.
//!
//! `docs/design.md` describes the components, their state and the failures that they tolerate.

pub mod core;
pub mod ops;
pub mod platform;
pub mod util;
