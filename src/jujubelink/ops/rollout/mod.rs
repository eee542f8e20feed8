//! Rollout of the newest announced weights to model engines.
//!
//! One instance at a time sends engines the orders to load weights, under a lease in the store. The
//! lease is renewed only while engines have outdated weights.

mod coordinator;
mod plugin;
