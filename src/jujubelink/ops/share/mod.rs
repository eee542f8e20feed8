//! What instances tell each other: what they used of limits, how recent their configuration is, named
//! and observed weights, and requests that crash targets.
//!
//! Each instance sends a short datagram to each other one several times a second. Nothing is
//! acknowledged and nothing is agreed on: a message echoes when the receiver was last heard, from
//! which it knows how old the news are at most and whether both hear each other.

mod exchange;
mod limits;
mod message;

mod peers;
mod plugin;
mod updates;

pub use peers::Peers;
