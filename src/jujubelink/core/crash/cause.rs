//! Derivation of causes from crashes.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::time::Duration;

use super::evidence::Crash;
use super::{CauseId, CrashId, CrashedRun, Features};
use crate::core::ids::{Fingerprint, Timestamp};
use crate::util::hash::combine;

/// Number of crashes from which on a part is refused. The platform allows five, some of which may not be
/// reported in time.
pub const PART_CRASHES: usize = 4;

/// Number of crashes from which on equal requests are refused.
pub const REQUEST_CRASHES: usize = 2;

/// Time within which crashes count as simultaneous. Targets that lose their power or network together crash
/// so, whatever they run; requests crash one target after the other.
pub const SIMULTANEOUS: Duration = Duration::from_millis(50);

/// Number of crashes at different times from which on a part is refused: one less than
/// [`PART_CRASHES`], as two crashes of a cause can fall together.
const PART_CRASH_TIMES: usize = 3;

/// Time from the last crash to each trial. A first trial soon after ends the refusal of an innocent part.
/// As the platform allows three requests with a part that crashes targets, there are no further trials.
pub const TRIAL_DELAYS: [Duration; 3] = [
    Duration::from_millis(2_500),
    Duration::from_secs(20),
    Duration::from_secs(300),
];

/// Time for which one instance may start a trial, before it is the turn of the next one in the order for the
/// cause.
pub const TRIAL_TURN: Duration = Duration::from_secs(2);

/// Time at the end of a turn in which no trial is started, so that the next instance hears of the last one.
const TURN_MARGIN: Duration = Duration::from_millis(500);

/// Place of an instance in the order in which the reachable instances try a cause.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InstancePlace {
    /// Number of instances that come before it.
    pub position: u32,
    /// Number of instances.
    pub instances: u32,
}

/// Features that were common to the requests under which targets crashed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Cause {
    /// Requests that have all of these are refused.
    pub features: Features,
    /// Crashes that are attributed to the cause.
    pub crashes: BTreeSet<CrashId>,
    /// When the last of these crashes was observed.
    pub last_crash_at: Timestamp,
    /// Number of these crashes that happened under a trial.
    pub failed_trials: usize,
}

impl Cause {
    /// Identifier, which is the same on all instances.
    pub fn id(&self) -> CauseId {
        self.features.iter().fold(0, combine)
    }

    /// Returns when the next trial is due. `None` if there are no more trials.
    pub fn trial_at(&self) -> Option<Timestamp> {
        let delay = *TRIAL_DELAYS.get(self.failed_trials)?;
        Some(self.last_crash_at + delay)
    }

    /// Whether an instance may start a trial now.
    pub fn is_turn_of(&self, place: InstancePlace, now: Timestamp) -> bool {
        let due_for = self.trial_at().and_then(|at| now.checked_sub(at));
        due_for.is_some_and(|due_for| {
            let turns = due_for.as_nanos() / TRIAL_TURN.as_nanos();
            let in_turn = due_for.as_nanos() % TRIAL_TURN.as_nanos();
            turns % u128::from(place.instances.max(1)) == u128::from(place.position)
                && in_turn < (TRIAL_TURN - TURN_MARGIN).as_nanos()
        })
    }
}

/// The crashes in which one feature is suspected.
struct Suspicion {
    crashes: BTreeSet<CrashId>,
    /// Sum over these crashes of the shortest time for which a request with the feature was running. The
    /// request under which a target crashes tends to be one of the last that it got.
    ran_for: Duration,
    /// Features of all requests with this one that were running.
    common: Features,
    is_request: bool,
    /// When the crashes were observed.
    crashed_at: Vec<Timestamp>,
}

impl Suspicion {
    fn is_sufficient(&self) -> bool {
        let (required, required_times) = match self.is_request {
            true => (REQUEST_CRASHES, REQUEST_CRASHES),
            false => (PART_CRASHES, PART_CRASH_TIMES),
        };
        self.crashes.len() >= required && self.distinct_times() >= required_times
    }

    /// Number of crashes that are not simultaneous with others.
    fn distinct_times(&self) -> usize {
        let mut crashed_at = self.crashed_at.clone();
        crashed_at.sort_unstable();
        let mut times = 0;
        let mut simultaneous_until = Timestamp::ZERO;
        for at in crashed_at {
            if at >= simultaneous_until {
                times += 1;
                simultaneous_until = at + SIMULTANEOUS;
            }
        }
        times
    }
}

/// Derives the causes, the best supported one first. A crash is attributed to one cause only: the other
/// requests that were running then are not suspected because of it.
pub(super) fn derive_causes(
    crashes: &BTreeMap<CrashId, Crash>,
    is_suspected: impl Fn(Fingerprint, &Crash) -> bool,
) -> Vec<Cause> {
    let mut unexplained: BTreeSet<CrashId> = crashes.keys().copied().collect();
    let mut causes = Vec::new();
    loop {
        let suspicions = suspicions(crashes, &unexplained, &is_suspected);
        let strongest = suspicions
            .into_iter()
            .filter(|(_, suspicion)| suspicion.is_sufficient())
            .max_by_key(|(fingerprint, suspicion)| {
                let (count, ran_for) = (suspicion.crashes.len(), suspicion.ran_for);
                (count, Reverse(ran_for), Reverse(*fingerprint))
            });
        let Some((_, suspicion)) = strongest else {
            return causes;
        };
        let features = suspicion.common;
        unexplained.retain(|id| !crashes[id].has_run_with(&features));
        let explained = crashes
            .iter()
            .filter(|(id, _)| suspicion.crashes.contains(id));
        let failed_trials = explained.clone().filter(|(_, crash)| {
            let mut runs = crash.runs.iter();
            runs.any(|run| run.is_trial && run.features.contains_all(&features))
        });
        causes.push(Cause {
            failed_trials: failed_trials.count(),
            last_crash_at: explained
                .map(|(_, crash)| crash.at)
                .max()
                .unwrap_or_default(),
            crashes: suspicion.crashes,
            features,
        });
    }
}

fn suspicions(
    crashes: &BTreeMap<CrashId, Crash>,
    unexplained: &BTreeSet<CrashId>,
    is_suspected: &impl Fn(Fingerprint, &Crash) -> bool,
) -> HashMap<Fingerprint, Suspicion> {
    let frequent = frequent_features(crashes, unexplained, is_suspected);
    let mut suspicions: HashMap<Fingerprint, Suspicion> = HashMap::new();
    if frequent.is_empty() {
        return suspicions;
    }
    for id in unexplained {
        let crash = &crashes[id];
        let mut shortest: HashMap<Fingerprint, Duration> = HashMap::new();
        for run in &crash.runs {
            let suspects = run.features.iter().filter(|f| is_suspected(*f, crash));
            for fingerprint in suspects.filter(|f| frequent.contains(f)) {
                let ran_for = shortest.entry(fingerprint).or_insert(run.ran_for);
                *ran_for = run.ran_for.min(*ran_for);
                add_run(&mut suspicions, fingerprint, *id, run, |f| {
                    is_suspected(f, crash)
                });
            }
        }
        for (fingerprint, ran_for) in shortest {
            if let Some(suspicion) = suspicions.get_mut(&fingerprint) {
                suspicion.ran_for += ran_for;
                suspicion.crashed_at.push(crash.at);
            }
        }
    }
    suspicions
}

/// Returns the features that are suspected in enough crashes to be a cause. With many crashes that have other
/// reasons, few are.
fn frequent_features(
    crashes: &BTreeMap<CrashId, Crash>,
    unexplained: &BTreeSet<CrashId>,
    is_suspected: &impl Fn(Fingerprint, &Crash) -> bool,
) -> HashSet<Fingerprint> {
    // Number of crashes with the feature, the last of these, and the number that is required.
    let mut counts: HashMap<Fingerprint, (usize, CrashId, usize)> = HashMap::new();
    for id in unexplained {
        let crash = &crashes[id];
        for run in &crash.runs {
            for fingerprint in run.features.iter().filter(|f| is_suspected(*f, crash)) {
                let required = match run.features.request() == Some(fingerprint) {
                    true => REQUEST_CRASHES,
                    false => PART_CRASHES,
                };
                let (count, last, _) = counts.entry(fingerprint).or_insert((1, *id, required));
                if last != id {
                    *count += 1;
                    *last = *id;
                }
            }
        }
    }
    let frequent = counts.into_iter();
    frequent
        .filter(|(_, (count, _, required))| count >= required)
        .map(|(fingerprint, _)| fingerprint)
        .collect()
}

fn add_run(
    suspicions: &mut HashMap<Fingerprint, Suspicion>,
    fingerprint: Fingerprint,
    id: CrashId,
    run: &CrashedRun,
    is_suspected: impl Fn(Fingerprint) -> bool,
) {
    let suspicion = suspicions.entry(fingerprint).or_insert_with(|| Suspicion {
        crashes: BTreeSet::new(),
        ran_for: Duration::ZERO,
        common: (*run.features).clone(),
        is_request: run.features.request() == Some(fingerprint),
        crashed_at: Vec::new(),
    });
    suspicion.crashes.insert(id);
    suspicion
        .common
        .retain(|f| run.features.contains(f) && is_suspected(f));
}
