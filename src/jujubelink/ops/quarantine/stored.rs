//! Form in which crashes are kept in the store and given to instances that start.

use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::core::crash::{CrashEvidence, CrashedRun, Features};
use crate::core::ids::Timestamp;
use crate::util::duration::ms;

/// A crash and the features of its cause. Numbers of 64 bits are written in hexadecimal, as a JSON number
/// may be rounded.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredCrash {
    /// Hash of the target and its incarnation.
    pub crash: String,
    /// Time since the crash, in milliseconds. In the store, which cannot tell when it was written, this is the
    /// time from the crash to the last one.
    #[serde(default)]
    pub age_ms: u64,
    /// Identifier of the cause.
    pub cause: String,
    /// Fingerprints of the shared parts of the prompts.
    #[serde(default)]
    pub parts: Vec<String>,
    /// Fingerprint of the whole request, if only equal requests are refused.
    #[serde(default)]
    pub request: Option<String>,
    /// Whether the crash happened under a trial.
    #[serde(default)]
    pub is_trial: bool,
}

/// The causes of crashes, as the crashes behind them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredEvidence {
    /// The crashes.
    pub crashes: Vec<StoredCrash>,
}

impl StoredEvidence {
    /// Extracts the evidence for the present causes.
    pub fn new(evidence: &CrashEvidence, now: Timestamp) -> Self {
        let essence = evidence.essence().into_iter();
        let mut crashes: Vec<_> = essence
            .map(|(crash, at, run)| StoredCrash {
                crash: to_hex(crash),
                age_ms: ms(now.saturating_sub(at)),
                cause: to_hex(run.request),
                parts: run.features.parts().iter().copied().map(to_hex).collect(),
                request: run.features.request().map(to_hex),
                is_trial: run.is_trial,
            })
            .collect();
        crashes.sort_by(|a, b| (&a.crash, &a.cause).cmp(&(&b.crash, &b.cause)));
        Self { crashes }
    }

    /// Counts the ages from the last crash.
    pub fn relative_to_last_crash(mut self) -> Self {
        let ages = self.crashes.iter().map(|crash| crash.age_ms);
        let last = ages.min().unwrap_or(0);
        for crash in &mut self.crashes {
            crash.age_ms -= last;
        }
        self
    }

    /// Adds the crashes to those that are known. Entries that cannot be read are left out. Returns how many
    /// these are.
    pub fn apply(&self, evidence: &mut CrashEvidence, now: Timestamp) -> usize {
        let mut unreadable = 0;
        for crash in &self.crashes {
            match crash.decode() {
                Some((id, run)) => {
                    let age = Duration::from_millis(crash.age_ms);
                    evidence.on_crash(id, vec![run], now.saturating_sub(age));
                }
                None => unreadable += 1,
            }
        }
        unreadable
    }
}

impl StoredCrash {
    fn decode(&self) -> Option<(u64, CrashedRun)> {
        let parts: Option<Vec<u64>> = self.parts.iter().map(|part| from_hex(part)).collect();
        let request = match &self.request {
            Some(request) => Some(from_hex(request)?),
            None => None,
        };
        let run = CrashedRun {
            request: from_hex(&self.cause)?,
            features: Rc::new(Features::new(parts?, request)),
            ran_for: Duration::ZERO,
            is_trial: self.is_trial,
        };
        Some((from_hex(&self.crash)?, run))
    }
}

/// Writes a fingerprint as it is shown in logs and stored.
pub(super) fn to_hex(fingerprint: u64) -> String {
    format!("{fingerprint:016x}")
}

fn from_hex(text: &str) -> Option<u64> {
    u64::from_str_radix(text, 16).ok()
}
