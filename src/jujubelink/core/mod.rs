//! Decision logic as pure state machines.
//!
//! Each module takes events and the current time and returns effects, and performs no I/O. The same
//! code runs in the instance, in the model checker and in the benchmarks.

pub mod claim;
pub mod config;
pub mod fleet;
pub mod ids;
pub mod kvcache;
pub mod lease;
pub mod limit;
pub mod membership;
pub mod orders;
pub mod prefix;
pub mod prompt;
pub mod queue;
pub mod quota;
pub mod relay;
pub mod retry;
pub mod rollout;
pub mod routing;
pub mod scheduler;
pub mod spread;
