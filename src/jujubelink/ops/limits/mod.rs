//! Rate limits: charges at local and remote slots, and the slots that this instance holds.

mod charging;
mod handover;
mod plugin;
mod server;
mod slots;
mod state;

pub use state::Limits;
