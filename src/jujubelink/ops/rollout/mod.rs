//! Rollout of the newest announced weights to model engines.
//!
//! One instance at a time sends orders to engines, under a lease in the store. The lease is renewed
//! only while engines are out of date.

mod coordinator;
mod plugin;
