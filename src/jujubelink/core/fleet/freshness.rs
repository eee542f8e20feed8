//! How recently the configuration in force was proved to be the newest.

use std::time::Duration;

use crate::core::ids::{ConfigVersion, Timestamp};

/// A proof that no newer version than `version` had been acknowledged at `requested_at`.
///
/// `requested_at` is taken before the question is sent, from a clock that also runs while the machine is
/// suspended. A proof that a peer relays keeps its age.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FreshnessProof {
    /// Version that was the newest.
    pub version: ConfigVersion,
    /// When the question was asked.
    pub requested_at: Timestamp,
}

/// The newest proof for the version in force.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Freshness {
    proof: Option<FreshnessProof>,
}

impl Freshness {
    /// Takes a proof. One for an older version than `in_force` says nothing: a newer version is known
    /// to exist. One for a newer version is kept until that version is in force.
    pub fn on_proof(&mut self, proof: FreshnessProof, in_force: ConfigVersion) {
        if proof.version != in_force {
            return;
        }
        let is_newer = self
            .proof
            .is_none_or(|held| held.version != in_force || held.requested_at < proof.requested_at);
        if is_newer {
            self.proof = Some(proof);
        }
    }

    /// The newest proof of `in_force`.
    pub fn proof(&self, in_force: ConfigVersion) -> Option<FreshnessProof> {
        self.proof.filter(|proof| proof.version == in_force)
    }

    /// Age of the newest proof of `in_force`; `None` without one.
    pub fn age(&self, in_force: ConfigVersion, now: Timestamp) -> Option<Duration> {
        let proof = self.proof(in_force)?;
        Some(now.saturating_sub(proof.requested_at))
    }
}
