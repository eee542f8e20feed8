//! Rate limits of workspaces.
//!
//! The limit of a workspace is divided into slots, each of which carries an equal fraction of the
//! rate and the burst and has a level, the number of tokens currently available. The slots are held
//! by different instances (see [`crate::core::limit`]). This module charges requests to local and
//! remote slots, claims the slots that this instance should hold, and hands slots over to other
//! instances.

mod charging;
mod handover;
mod plugin;
mod server;
mod slots;
mod state;

pub use state::Limits;
