//! Failure detection and the member table, after SWIM.
//!
//! [`Detector`] is a state machine: ticks and messages in, [`Effect`]s out. An instance orders what
//! it hears about a member by [`MemberRecord::rank`]. Only the member itself raises its refutation
//! number, so the newest statement of a member about itself always wins, whatever order datagrams
//! arrive in and however often they are repeated.

mod broadcast;
mod detector;
mod outgoing;
mod probe;
mod record;
mod table;
mod targets;

pub use detector::{Detector, Effect, Identity};
pub use record::{ConfigSummary, Health, MemberRecord, Message, MessageKind, TargetRecord};
pub use table::{MAX_MEMBERS, MemberEntry};
pub use targets::MAX_TARGET_STATES;
