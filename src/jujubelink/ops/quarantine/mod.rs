//! Quarantine of requests under which targets crash.
//!
//! An interrupted response may be due to its connection or to a fault of a target that lives on. It counts as
//! a crash only once the target is known to have ended: it refuses connections, or another incarnation or
//! target has its address. What follows from the crashes is decided in [`crate::core::crash`]. Instances
//! exchange crashes and survivals in their messages. An instance that starts asks the others for the causes
//! of crashes, or reads them from the store, where the first instance keeps them.
//!
//! Only part of deployments with a fleet store. Standalone, the module `spread` exchanges the requests that
//! crashed targets.

mod end_probes;
mod message;
mod outbox;
mod plugin;
mod probe;
mod service;
mod stored;

pub use message::EvidenceMessage;
pub use service::{InterruptedRun, Quarantine};
pub use stored::{StoredCrash, StoredEvidence};
