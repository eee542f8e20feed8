//! Brings model engines to the newest named weights.
//!
//! One instance at a time gives orders, under a lease in the store. The lease is renewed only while
//! there is work.

mod coordinator;
mod plugin;
