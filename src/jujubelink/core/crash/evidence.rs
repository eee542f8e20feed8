//! Crashes and survivals that the fleet has observed.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

use super::cause::{Cause, InstancePlace, TRIAL_TURN, derive_causes};
use super::{CauseId, CrashId, CrashedRun, Features};
use crate::core::ids::{Fingerprint, Incarnation, TargetId, Timestamp};
use crate::util::hash::{combine, stable_hash};

/// Time for which a crash is remembered. A refusal renews it for the crashes behind it.
pub const EVIDENCE_RETENTION: Duration = Duration::from_secs(600);

/// Maximum number of crashes. At the limit, the oldest one is evicted, if possible one that is not
/// attributed to a cause.
pub const MAX_CRASHES: usize = 256;

/// Maximum number of requests that are recorded for a crash; the last ones that the target got are kept.
pub const MAX_RUNS_PER_CRASH: usize = 64;

/// Time for which a trial counts as in progress.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum number of trials in progress that are remembered.
const MAX_TRIALS: usize = 256;

/// Maximum number of survivals that are remembered beside those of suspected features. At the limit, those
/// are removed that are older than [`SURVIVAL_RETENTION`] and not of a recorded crash; if there are none, a
/// further one is not recorded.
pub const MAX_SURVIVALS: usize = 2_048;

/// Minimum time between two removals of old survivals, each of which looks at all of them.
const SURVIVAL_REMOVAL_INTERVAL: Duration = Duration::from_secs(1);

/// Time by which a crash may be recorded after it happened.
const SURVIVAL_RETENTION: Duration = Duration::from_secs(10);

/// Returns the identifier of the crash of a target.
pub fn crash_id(target: &TargetId, incarnation: Incarnation) -> CrashId {
    combine(stable_hash(0, target.as_bytes()), incarnation)
}

/// A crash of a target.
#[derive(Debug, Clone)]
pub(super) struct Crash {
    /// When it was observed.
    pub(super) at: Timestamp,
    pub(super) expires_at: Timestamp,
    /// Requests that were running, from all instances.
    pub(super) runs: Vec<CrashedRun>,
}

impl Crash {
    pub(super) fn has_run_with(&self, features: &Features) -> bool {
        let mut runs = self.runs.iter();
        runs.any(|run| run.features.contains_all(features))
    }
}

/// Whether a request may be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// It has not all features of any cause.
    Allowed,
    /// It is sent to find out whether the cause is gone.
    Trial(CauseId),
    /// It is refused.
    Refused {
        /// Features that it has in common with the requests under which targets crashed.
        features: Features,
        /// Number of crashes that are attributed to them.
        crashes: usize,
        /// Time until the next trial, or until the refusal ends.
        retry_after: Duration,
    },
}

/// Crashes and survivals, and the causes that follow from them.
#[derive(Debug, Default)]
pub struct CrashEvidence {
    crashes: BTreeMap<CrashId, Crash>,
    /// When a request with a feature last ran to its end.
    survived_at: HashMap<Fingerprint, Timestamp>,
    /// When old survivals were last removed.
    survivals_removed_at: Timestamp,
    /// When the last crash with a feature was observed.
    last_crash_at: HashMap<Fingerprint, Timestamp>,
    /// Derived from `crashes` and `survived_at`.
    causes: Vec<Cause>,
    trials: HashMap<CauseId, Timestamp>,
}

impl CrashEvidence {
    /// Creates an empty record.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records requests that were running at a target when it crashed. Several calls for one crash add up.
    /// Returns the features of these requests that are known to have survived since.
    pub fn on_crash(
        &mut self,
        id: CrashId,
        runs: Vec<CrashedRun>,
        at: Timestamp,
    ) -> Vec<Fingerprint> {
        if !self.crashes.contains_key(&id) && self.crashes.len() >= MAX_CRASHES {
            self.evict_one();
        }
        let crash = self.crashes.entry(id).or_insert(Crash {
            at,
            expires_at: at + EVIDENCE_RETENTION,
            runs: Vec::new(),
        });
        let before = crash.runs.len();
        for run in runs {
            if crash.runs.iter().all(|known| known.request != run.request) {
                crash.runs.push(run);
            }
        }
        if crash.runs.len() == before {
            return Vec::new();
        }
        crash.runs.sort_by_key(|run| run.ran_for);
        crash.runs.truncate(MAX_RUNS_PER_CRASH);
        let (crash_at, survived_at) = (crash.at, &self.survived_at);
        let mut survived: Vec<Fingerprint> = crash
            .runs
            .iter()
            .flat_map(|run| run.features.iter())
            .filter(|f| survived_at.get(f).is_some_and(|at| *at >= crash_at))
            .collect();
        survived.sort_unstable();
        survived.dedup();
        for fingerprint in crash.runs.iter().flat_map(|run| run.features.iter()) {
            let last_crash_at = self.last_crash_at.entry(fingerprint).or_default();
            *last_crash_at = crash_at.max(*last_crash_at);
        }
        self.derive();
        survived
    }

    /// Whether a crash is recorded.
    pub fn contains(&self, id: CrashId) -> bool {
        self.crashes.contains_key(&id)
    }

    /// Records that a request ran to its end, or for so long that it does not crash targets. Returns those of
    /// its features that were suspected until then.
    pub fn on_survival(
        &mut self,
        features: impl IntoIterator<Item = Fingerprint>,
        at: Timestamp,
    ) -> Vec<Fingerprint> {
        let mut cleared = Vec::new();
        for fingerprint in features {
            let is_suspected = self.is_suspected(fingerprint, at);
            if is_suspected {
                cleared.push(fingerprint);
            }
            let is_full = self.survived_at.len() >= MAX_SURVIVALS;
            if is_full && at >= self.survivals_removed_at + SURVIVAL_REMOVAL_INTERVAL {
                self.remove_old_survivals(at);
            }
            let has_room = self.survived_at.len() < MAX_SURVIVALS;
            if has_room || is_suspected || self.survived_at.contains_key(&fingerprint) {
                let survived_at = self.survived_at.entry(fingerprint).or_default();
                *survived_at = at.max(*survived_at);
            }
        }
        // The survival of any other feature neither adds nor removes a cause.
        let is_of_cause = |fingerprint: &Fingerprint| {
            let mut causes = self.causes.iter();
            causes.any(|cause| cause.features.contains(*fingerprint))
        };
        if cleared.iter().any(is_of_cause) {
            self.derive();
        }
        cleared
    }

    /// Whether a feature is suspected in a crash up to `at`.
    fn is_suspected(&self, fingerprint: Fingerprint, at: Timestamp) -> bool {
        let survived_at = self.survived_at.get(&fingerprint).copied();
        // Most requests have features that are in no crash, or survived since.
        match self.last_crash_at.get(&fingerprint) {
            None => return false,
            Some(last) if survived_at.is_some_and(|survived_at| survived_at >= *last) => {
                return false;
            }
            Some(_) => {}
        }
        let crashes = self.crashes.values().filter(|crash| crash.at <= at);
        crashes
            .filter(|crash| survived_at.is_none_or(|survived_at| survived_at < crash.at))
            .any(|crash| {
                let mut runs = crash.runs.iter();
                runs.any(|run| run.features.contains(fingerprint))
            })
    }

    /// Decides whether a request may be sent, and records the trial if it is one. `place` returns the place of
    /// this instance in the order for a cause, or `None` if the request cannot be a trial.
    pub fn admit(
        &mut self,
        features: &Features,
        place: impl Fn(CauseId) -> Option<InstancePlace>,
        now: Timestamp,
    ) -> Admission {
        self.expire(now);
        let Some(cause) = self.cause_of(features).cloned() else {
            return Admission::Allowed;
        };
        let id = cause.id();
        let is_tried = self
            .trials
            .get(&id)
            .is_some_and(|started| now.saturating_sub(*started) < TRIAL_TIMEOUT);
        let is_turn = place(id).is_some_and(|place| cause.is_turn_of(place, now));
        if !is_tried && is_turn {
            self.on_trial(id, now);
            return Admission::Trial(id);
        }
        self.renew(&cause, now);
        // The result of a trial is known soon after it is due.
        let retry_after = cause
            .trial_at()
            .map_or(EVIDENCE_RETENTION, |at| at.saturating_sub(now));
        Admission::Refused {
            features: cause.features,
            crashes: cause.crashes.len(),
            retry_after: retry_after.max(TRIAL_TURN),
        }
    }

    /// Returns the cause of which a request has all features.
    pub fn cause_of(&self, features: &Features) -> Option<&Cause> {
        let mut causes = self.causes.iter();
        causes.find(|cause| features.contains_all(&cause.features))
    }

    /// Records that an instance tries whether a cause is gone.
    pub fn on_trial(&mut self, cause: CauseId, started_at: Timestamp) {
        self.trials
            .retain(|_, at| started_at.saturating_sub(*at) < TRIAL_TIMEOUT);
        if self.trials.len() < MAX_TRIALS {
            self.trials.insert(cause, started_at);
        }
    }

    /// Returns the causes, the best supported one first.
    pub fn causes(&self) -> &[Cause] {
        &self.causes
    }

    /// Returns the number of crashes.
    pub fn len(&self) -> usize {
        self.crashes.len()
    }

    /// Whether no crash is recorded.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    /// Returns the least evidence from which the same causes follow, for an instance that starts: each crash
    /// with its time and one request that has the features of its cause only.
    pub fn essence(&self) -> Vec<(CrashId, Timestamp, CrashedRun)> {
        let mut essence = Vec::new();
        for cause in &self.causes {
            let features = Rc::new(cause.features.clone());
            for id in &cause.crashes {
                let crash = &self.crashes[id];
                let mut runs = crash.runs.iter();
                let is_trial = runs.any(|run| run.is_trial && run.features.contains_all(&features));
                let run = CrashedRun {
                    // The cause stands for the request, so that it is added to a crash only once.
                    request: cause.id(),
                    features: Rc::clone(&features),
                    ran_for: Duration::ZERO,
                    is_trial,
                };
                essence.push((*id, crash.at, run));
            }
        }
        essence
    }

    /// Removes the crashes that have expired.
    pub fn expire(&mut self, now: Timestamp) {
        let before = self.crashes.len();
        self.crashes.retain(|_, crash| crash.expires_at > now);
        if self.crashes.len() < before {
            self.index_crashes();
            self.derive();
        }
    }

    /// Rebuilds `last_crash_at`.
    fn index_crashes(&mut self) {
        self.last_crash_at.clear();
        for crash in self.crashes.values() {
            for fingerprint in crash.runs.iter().flat_map(|run| run.features.iter()) {
                let last_crash_at = self.last_crash_at.entry(fingerprint).or_default();
                *last_crash_at = crash.at.max(*last_crash_at);
            }
        }
    }

    /// Keeps the crashes behind a cause, as requests with its features still arrive.
    fn renew(&mut self, cause: &Cause, now: Timestamp) {
        for id in &cause.crashes {
            if let Some(crash) = self.crashes.get_mut(id) {
                crash.expires_at = now + EVIDENCE_RETENTION;
            }
        }
    }

    fn evict_one(&mut self) {
        let is_attributed = |id| self.causes.iter().any(|cause| cause.crashes.contains(id));
        let oldest = self
            .crashes
            .iter()
            .min_by_key(|(id, crash)| (is_attributed(id), crash.at))
            .map(|(id, _)| *id);
        if let Some(oldest) = oldest {
            self.crashes.remove(&oldest);
            self.index_crashes();
        }
    }

    fn derive(&mut self) {
        let survived_at = &self.survived_at;
        self.causes = derive_causes(&self.crashes, |fingerprint, crash| {
            survived_at
                .get(&fingerprint)
                .is_none_or(|survived_at| *survived_at < crash.at)
        });
    }

    fn remove_old_survivals(&mut self, now: Timestamp) {
        self.survivals_removed_at = now;
        let last_crash_at = &self.last_crash_at;
        self.survived_at.retain(|fingerprint, at| {
            let is_recent = now.saturating_sub(*at) < SURVIVAL_RETENTION;
            is_recent || last_crash_at.contains_key(fingerprint)
        });
    }
}
