//! Witness side of sessions.

use std::collections::BTreeSet;

use super::{Safeguards, SessionId};
use crate::core::ids::Incarnation;

/// Largest number of denials that a witness keeps.
///
/// A denial must never be dropped. At the bound, further ones are refused, and takeovers of those
/// sessions need other witnesses or the whole term. A fleet that replaces 137 instances a day
/// causes about two denials a day at each witness.
pub const MAX_DENIALS: usize = 1024;

/// Vouches for sessions until they are denied.
///
/// Keeps its state in memory only: a restarted witness has another incarnation, and does not vouch
/// for any session that lists the earlier one.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Witness {
    incarnation: Incarnation,
    safeguards: Safeguards,
    denied: BTreeSet<SessionId>,
}

impl Witness {
    /// Creates the witness of this run of the instance.
    pub fn new(incarnation: Incarnation, safeguards: Safeguards) -> Self {
        Self {
            incarnation,
            safeguards,
            denied: BTreeSet::new(),
        }
    }

    /// Handles a request to vouch. `witness_incarnation` is the incarnation of the witness that the
    /// session lists.
    pub fn on_vouch(&self, session: &SessionId, witness_incarnation: Incarnation) -> bool {
        witness_incarnation == self.incarnation && !self.denied.contains(session)
    }

    /// Handles a request to deny. `true` means that this witness, in the listed incarnation, never
    /// vouches for the session again.
    pub fn on_deny(&mut self, session: &SessionId, witness_incarnation: Incarnation) -> bool {
        if witness_incarnation != self.incarnation {
            // The process with that incarnation has ended and cannot vouch.
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
