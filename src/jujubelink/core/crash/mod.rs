//! Attribution of target crashes to what prompts have in common.
//!
//! A prompt is described by its features: a fingerprint for each of its shared parts, and one for the whole
//! request. Each crash of a target is recorded with the requests that were running there. A feature is
//! suspected in the crashes since a request with it last ran to its end. Features that are suspected in
//! enough crashes, and in more than all others, are taken for the cause, together with those that always
//! occurred with them. Requests that have all features of a cause are refused, except for a few trials by
//! which the fleet finds out whether the cause is gone.
//!
//! Instances exchange crashes and survivals. The causes follow from these alone, so that instances with the
//! same evidence refuse the same requests, and a crash that several of them see counts once.

mod cause;
mod evidence;

pub use cause::{
    Cause, InstancePlace, PART_CRASHES, REQUEST_CRASHES, SIMULTANEOUS, TRIAL_DELAYS, TRIAL_TURN,
};
pub use evidence::{
    Admission, CrashEvidence, EVIDENCE_RETENTION, MAX_CRASHES, MAX_RUNS_PER_CRASH, MAX_SURVIVALS,
    crash_id,
};

use std::rc::Rc;
use std::time::Duration;

use crate::core::ids::Fingerprint;

/// Identifies a crash: a hash of the target and its incarnation.
pub type CrashId = u64;

/// Identifies a cause: a hash of its features.
pub type CauseId = u64;

/// What a request has in common with others.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Features {
    /// Fingerprints of the shared parts of the prompt, without repetitions, in ascending order.
    parts: Vec<Fingerprint>,
    /// Fingerprint of the whole request; `None` if only parts are known.
    request: Option<Fingerprint>,
}

impl Features {
    /// Creates the features of a request.
    pub fn new(parts: impl IntoIterator<Item = Fingerprint>, request: Option<Fingerprint>) -> Self {
        let mut parts: Vec<_> = parts.into_iter().collect();
        parts.sort_unstable();
        parts.dedup();
        Self { parts, request }
    }

    /// Fingerprints of the parts, in ascending order.
    pub fn parts(&self) -> &[Fingerprint] {
        &self.parts
    }

    /// Fingerprint of the whole request.
    pub fn request(&self) -> Option<Fingerprint> {
        self.request
    }

    /// Iterates over all fingerprints.
    pub fn iter(&self) -> impl Iterator<Item = Fingerprint> + '_ {
        self.parts.iter().copied().chain(self.request)
    }

    /// Whether a fingerprint is among the features.
    pub fn contains(&self, fingerprint: Fingerprint) -> bool {
        self.request == Some(fingerprint) || self.parts.binary_search(&fingerprint).is_ok()
    }

    /// Whether all `others` are among the features.
    pub fn contains_all(&self, others: &Features) -> bool {
        others.iter().all(|other| self.contains(other))
    }

    /// Keeps the features that satisfy `is_kept`.
    fn retain(&mut self, is_kept: impl Fn(Fingerprint) -> bool) {
        self.parts.retain(|part| is_kept(*part));
        self.request = self.request.filter(|request| is_kept(*request));
    }
}

/// A request that was running at a target when the target crashed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashedRun {
    /// Hash of the identifier of the client's attempt.
    pub request: u64,
    /// What the request has in common with others.
    pub features: Rc<Features>,
    /// Time from the send to the crash.
    pub ran_for: Duration,
    /// Whether the request was sent to find out whether a cause is gone.
    pub is_trial: bool,
}
