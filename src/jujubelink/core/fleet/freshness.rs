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
    /// Takes a proof. One for an older version than `active_version` says nothing: a newer version is known
    /// to exist. One for a newer version is kept until that version is in force.
    pub fn on_proof(&mut self, proof: FreshnessProof, active_version: ConfigVersion) {
        if proof.version != active_version {
            return;
        }
        let is_newer = self.proof.is_none_or(|current| {
            current.version != active_version || current.requested_at < proof.requested_at
        });
        if is_newer {
            self.proof = Some(proof);
        }
    }

    /// The newest proof of `active_version`.
    pub fn proof(&self, active_version: ConfigVersion) -> Option<FreshnessProof> {
        self.proof.filter(|proof| proof.version == active_version)
    }

    /// Age of the newest proof of `active_version`; `None` without one.
    pub fn age(&self, active_version: ConfigVersion, now: Timestamp) -> Option<Duration> {
        let proof = self.proof(active_version)?;
        Some(now.saturating_sub(proof.requested_at))
    }
}
