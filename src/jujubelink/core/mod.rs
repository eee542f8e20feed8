//! Decision logic as pure state machines.
//!
//! Each module takes events and the current time and returns effects, and performs no I/O. The same
//! code runs in the instance, in the model checker and in the benchmarks.
//!
//! Some tasks have two modules, because there are two kinds of deployment (see [`PluginScope`]):
//!
//! - Standalone: this program keeps its configuration, sessions, leases and claims as objects in the
//!   platform's object API. Used only there: [`claim`], [`lease`], [`limit`], [`membership`],
//!   [`orders`] and [`spread`].
//! - Fleet store: configuration, targets and announced weights are read from the platform's store.
//!   Used only there: [`crash`], [`fleet`], [`kvcache`], [`overload`], [`quota`], [`relay`] and
//!   [`rollout`].
//!
//! So [`quota`] corresponds to [`limit`], and [`rollout`] to [`orders`]. [`config`] is used in both:
//! with a fleet store, [`fleet`] builds its snapshots.
//!
//! [`PluginScope`]: crate::ops::kernel::PluginScope

pub mod canary;
pub mod capacity;
pub mod claim;
pub mod config;
pub mod connection;
pub mod crash;
pub mod fleet;
pub mod ids;
pub mod kvcache;
pub mod lease;
pub mod limit;
pub mod membership;
pub mod orders;
pub mod overload;
pub mod pace;
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
pub mod stop;
