//! Sockets, HTTP helpers, hash functions and durations.

pub mod duration;
pub mod hash;
pub mod http;
pub mod net;
