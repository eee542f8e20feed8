//! Sockets, HTTP helpers and hashing.

pub mod duration;
pub mod hash;
pub mod http;
pub mod net;
