//! Memory for clients, sockets, HTTP helpers, hash functions and durations.

pub mod allocator;
pub mod duration;
pub mod hash;
pub mod http;
pub mod memory_budget;
pub mod net;
