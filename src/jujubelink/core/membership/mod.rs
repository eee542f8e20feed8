//! Failure detection and the member table, after the SWIM protocol.
//!
//! [`Detector`] is a state machine that takes ticks and messages and returns [`Effect`]s. Records
//! about a member are ordered by [`MemberRecord::rank`]. Only the member itself increases its
//! refutation number, so its newest record about itself always wins, in whatever order datagrams
//! arrive and however often they are repeated.

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
