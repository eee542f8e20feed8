//! The witness's side of sessions.

use std::collections::BTreeSet;

use super::{Safeguards, SessionId};
use crate::core::ids::Incarnation;

/// Denials that a witness remembers. A denial may never be forgotten, so at the bound further ones
/// are refused, and takeovers of those sessions need other witnesses or the whole term. A fleet that
/// replaces 137 instances a day leaves about two denials a day with each witness.
pub const MAX_DENIALS: usize = 1024;

/// Vouches for sessions until they are denied. Nothing is stored: a restarted witness has another
/// incarnation and denies whatever the earlier one was asked to vouch for.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Witness {
    incarnation: Incarnation,
    safeguards: Safeguards,
    denied: BTreeSet<SessionId>,
}

impl Witness {
    /// A witness of this run.
    pub fn new(incarnation: Incarnation, safeguards: Safeguards) -> Self {
        Self {
            incarnation,
            safeguards,
            denied: BTreeSet::new(),
        }
    }

    /// Answers a request to vouch. `witness_incarnation` is the incarnation of the witness that the session names.
    pub fn on_vouch(&self, session: &SessionId, witness_incarnation: Incarnation) -> bool {
        witness_incarnation == self.incarnation && !self.denied.contains(session)
    }

    /// Answers a request to deny. `true` means that this witness, in the incarnation that was named,
    /// never vouches for the session again.
    pub fn on_deny(&mut self, session: &SessionId, witness_incarnation: Incarnation) -> bool {
        if witness_incarnation != self.incarnation {
            // The earlier process at this address has ended; it vouches for nobody.
            return true;
        }
        if !self.safeguards.denials_are_permanent {
            return true;
        }
        if self.denied.len() >= MAX_DENIALS && !self.denied.contains(session) {
            return false;
        }
        self.denied.insert(session.clone());
        true
    }
}
