//! Sequential test between the old and the new version of a service.
//!
//! A response is bad if it is a failure, or took several times as long as is usual at the old version on the
//! same route. The test compares the rate of bad responses of the new version with that of the old one in
//! the same seconds, so that bursts and slow dependencies, which affect both, decide nothing. The targets of
//! the new version are split into groups, and the worst one is left out, as a slow target says nothing about
//! its version. Failures and slow responses are tested apart.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::core::ids::Timestamp;

/// Maximum number of cells of a service. Further routes share the pooled test.
pub const MAX_CELLS: usize = 60;

/// Number of routes with a test of their own.
const MAX_ROUTES: usize = MAX_CELLS / (GROUPS + 1);

/// Number of groups that the targets of the new version are split into, by their place in the list.
pub const GROUPS: usize = 4;

/// Kinds of bad responses, which are tested apart: failures are rare at a good version, while a few percent of
/// all responses are slow. Counted together, the slow ones would hide the failures.
const KINDS: usize = 2;

/// Limits of the test for one kind of bad responses.
struct KindLimits {
    /// Smallest rate assumed for the old version. A lower one would let two bad responses decide.
    min_base_rate: f64,
    /// Increase of the rate that makes a version bad.
    increase: f64,
}

/// Limits for failures and for slow responses. Bad versions fail in one of five responses, or are slow in most.
const LIMITS: [KindLimits; KINDS] = [
    KindLimits {
        min_base_rate: 0.02,
        increase: 0.18,
    },
    KindLimits {
        min_base_rate: 0.05,
        increase: 0.3,
    },
];

/// Largest such rate. Above it, the versions cannot be told apart.
const MAX_BASE_RATE: f64 = 0.5;

/// Responses of the old version, weighted by age, that are needed to compare with.
const MIN_BASE_RESPONSES: f64 = 10.0;

/// Half-life of the responses of the old version.
const BASE_HALF_LIFE: Duration = Duration::from_secs(2);

/// The same for the second rate, which follows the start of a burst. The larger rate counts.
const FAST_HALF_LIFE: Duration = Duration::from_millis(300);

/// Responses of the old version that are needed for the second rate.
const MIN_FAST_RESPONSES: f64 = 5.0;

/// Time for which responses of the new version wait, so that those of the old version from the same time are
/// known. In a trial without it, 81 of 100 good versions were completed beside a burst of 1 s.
const WAIT: Duration = Duration::from_millis(200);

/// Time without a response of the old version from which on its rate is assumed to be at least
/// [`STALE_BASE_RATE`], as it says nothing about the present load.
const STALE_AGE: Duration = Duration::from_millis(600);
const STALE_BASE_RATE: f64 = 0.1;

/// Log-likelihood ratio, without the worst group, at which a version is bad. With 6, up to 3 of 100 good versions
/// with a slow target were rolled back.
const BAD_THRESHOLD: f64 = 8.0;

/// The same for a version with a single group, or with almost all responses from one.
const SINGLE_THRESHOLD: f64 = 10.0;

/// Responses of a group from which on it may decide alone, if the others together have this many times fewer.
const MIN_ALONE_RESPONSES: u64 = 30;
const MAX_ALONE_RATIO: u64 = 8;

/// Part of the bound at which a version is suspect, and not good for now.
const SUSPECT_RATIO: f64 = 0.375;

/// The same for the evidence under load, which further responses may not change. With the ratio above, 3 of 100
/// good versions with a slow target were not proved good in time.
const LOADED_SUSPECT_RATIO: f64 = 0.7;

/// Part of the recent responses that come from the new version while it counts as loaded. With 0.5, 35 of 100 good
/// versions were proved with 60 instances, whose parts of the bounds are used up at different times.
const LOADED_FRACTION: f64 = 0.4;

/// Half-life of the responses from which that part is computed, and the number that is needed.
const LOAD_HALF_LIFE: Duration = Duration::from_millis(300);
const MIN_LOAD_RESPONSES: f64 = 10.0;

/// Responses of the old version on a route, and their part of all, from which on the new version has to be
/// proved good there. With fewer, it gets too few responses there within the bounds on exposure.
const MIN_ROUTE_RESPONSES: u64 = 40;
const MIN_ROUTE_PART: f64 = 0.15;

/// Shortest time after which the weights by age are computed again.
const DECAY_INTERVAL: Duration = Duration::from_millis(20);

/// Hash that stands for all routes together.
const ALL_ROUTES: u32 = 0;

/// Responses of the new version with which a good one is proved in full, except by chance. In trials where the
/// late proof was enough with more of them, 2 of 100 versions that fail under load passed.
const MAX_LATE_RESPONSES: u64 = 100;

/// How much evidence a version needs to count as good: log-likelihood ratios of bad to good without the worst
/// group, below which they have to be.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Proof {
    /// Over all responses, and over those under load.
    overall: f64,
    /// Over those of each route.
    route: f64,
}

impl Proof {
    /// For a decision that may still wait.
    pub const FULL: Self = Self {
        overall: -5.5,
        route: -5.0,
    };

    /// For the last moment, at which a good version without it is rolled back. It is enough only if there are
    /// fewer than [`MAX_LATE_RESPONSES`].
    pub const LATE: Self = Self {
        overall: -3.0,
        route: -2.5,
    };
}

/// Part of the targets that a response came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Arm {
    /// The old version.
    Old,
    /// A group of targets of the new version, less than [`GROUPS`].
    New(u8),
}

/// Route, by the hash of its name, and part of the targets.
pub type CellKey = (u32, Arm);

/// Responses of one cell.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CellCounts {
    /// Number of responses.
    pub responses: u64,
    /// Number of failures among them.
    pub failed: u64,
    /// Number of slow ones among those that did not fail.
    pub slow: u64,
}

impl CellCounts {
    /// Returns the increase since earlier counts of the same process. Counts that fell come from a new
    /// process, and count from zero.
    pub fn since(self, earlier: Self) -> Self {
        let has_fallen = self.responses < earlier.responses
            || self.failed < earlier.failed
            || self.slow < earlier.slow;
        match has_fallen {
            true => self,
            false => Self {
                responses: self.responses - earlier.responses,
                failed: self.failed - earlier.failed,
                slow: self.slow - earlier.slow,
            },
        }
    }

    pub(super) fn add(&mut self, other: Self) {
        self.responses += other.responses;
        self.failed += other.failed;
        self.slow += other.slow;
    }

    fn bad(self) -> [u64; KINDS] {
        [self.failed, self.slow]
    }
}

/// Result of the test so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum Verdict {
    /// More responses are needed.
    Undecided,
    /// The new version is not worse than the old one so far.
    Good,
    /// The new version is worse.
    Bad,
}

/// Responses weighted by age.
#[derive(Debug, Clone, Copy, Default)]
struct Weighted {
    responses: f64,
    bad: [f64; KINDS],
}

impl Weighted {
    fn add(&mut self, counts: CellCounts) {
        self.responses += counts.responses as f64;
        for (bad, count) in self.bad.iter_mut().zip(counts.bad()) {
            *bad += count as f64;
        }
    }

    fn scale(&mut self, factor: f64) {
        self.responses *= factor;
        self.bad = self.bad.map(|bad| bad * factor);
    }
}

/// Evidence by kind and group.
type Evidence = [[f64; GROUPS]; KINDS];

#[derive(Debug, Clone, Default)]
struct RouteTest {
    /// Responses of the old version.
    base: Weighted,
    /// The same with [`FAST_HALF_LIFE`].
    fast: Weighted,
    /// Responses of the new version and of both, with [`LOAD_HALF_LIFE`].
    recent_new: f64,
    recent_all: f64,
    decayed_at: Timestamp,
    last_old_at: Timestamp,
    evaluated_at: Timestamp,
    old_responses: u64,
    new_responses: u64,
    /// Cumulative sums; they start again at zero while the version is as good as the old one.
    sums: Evidence,
    /// Log-likelihood ratios of bad to good over all responses.
    ratios: Evidence,
    /// Both over the responses that came while the version was loaded. Those from other times do not outweigh
    /// them.
    loaded_sums: Evidence,
    loaded_ratios: Evidence,
    /// Responses of the new version by group.
    group_responses: [u64; GROUPS],
    /// Responses of the new version that wait for enough ones of the old version, those that came while it was
    /// not loaded first.
    waiting: [[CellCounts; GROUPS]; 2],
}

impl RouteTest {
    fn decay(&mut self, now: Timestamp) {
        let elapsed = now.saturating_sub(self.decayed_at);
        if elapsed < DECAY_INTERVAL {
            return;
        }
        self.decayed_at = now;
        let elapsed = elapsed.as_secs_f64();
        let kept = |half_life: Duration| 0.5f64.powf(elapsed / half_life.as_secs_f64());
        // The last responses are kept as the base while the old version gets no requests.
        let floor = MIN_BASE_RESPONSES.min(self.base.responses);
        let least = floor / self.base.responses.max(floor).max(1.0);
        self.base.scale(kept(BASE_HALF_LIFE).max(least));
        self.fast.scale(kept(FAST_HALF_LIFE));
        let load = kept(LOAD_HALF_LIFE);
        self.recent_new *= load;
        self.recent_all *= load;
    }

    fn is_loaded(&self) -> bool {
        self.recent_all >= MIN_LOAD_RESPONSES
            && self.recent_new >= LOADED_FRACTION * self.recent_all
    }

    /// Adds responses. Returns whether the evidence has changed.
    fn add(&mut self, arm: Arm, counts: CellCounts, now: Timestamp) -> bool {
        self.decay(now);
        self.recent_all += counts.responses as f64;
        match arm {
            Arm::Old => {
                self.base.add(counts);
                self.fast.add(counts);
                self.last_old_at = now;
                self.old_responses += counts.responses;
            }
            Arm::New(group) => {
                self.recent_new += counts.responses as f64;
                let waiting = &mut self.waiting[usize::from(self.is_loaded())];
                waiting[usize::from(group) % GROUPS].add(counts);
            }
        }
        let is_due = now >= self.evaluated_at + WAIT && self.base.responses >= MIN_BASE_RESPONSES;
        if is_due {
            self.evaluated_at = now;
            self.evaluate(now);
        }
        is_due
    }

    /// Compares the responses that wait with those of the old version.
    fn evaluate(&mut self, now: Timestamp) {
        let waiting = std::mem::take(&mut self.waiting);
        for (kind, limits) in LIMITS.iter().enumerate() {
            // Half a bad response is added, as a rate of zero is never certain.
            let base = (self.base.bad[kind] + 0.5) / (self.base.responses + 1.0);
            let fast = match self.fast.responses >= MIN_FAST_RESPONSES {
                // A single bad response is no burst.
                true => (self.fast.bad[kind] - 1.0).max(0.0) / self.fast.responses,
                false => 0.0,
            };
            let floor = match now.saturating_sub(self.last_old_at) > STALE_AGE {
                true => STALE_BASE_RATE,
                false => limits.min_base_rate,
            };
            let base = base.max(fast).clamp(floor, MAX_BASE_RATE);
            let on_bad = ((base + limits.increase) / base).ln();
            let on_good = ((1.0 - base - limits.increase) / (1.0 - base)).ln();
            for (is_loaded, counts) in [false, true].into_iter().zip(&waiting) {
                for (group, counts) in counts.iter().enumerate() {
                    let bad = counts.bad()[kind].min(counts.responses);
                    let step = on_bad * bad as f64 + on_good * (counts.responses - bad) as f64;
                    let sum = &mut self.sums[kind][group];
                    *sum = (*sum + step).max(0.0);
                    self.ratios[kind][group] += step;
                    if is_loaded {
                        let sum = &mut self.loaded_sums[kind][group];
                        *sum = (*sum + step).max(0.0);
                        self.loaded_ratios[kind][group] += step;
                    }
                }
            }
        }
        for (group, counts) in waiting.iter().flat_map(|counts| counts.iter().enumerate()) {
            self.new_responses += counts.responses;
            self.group_responses[group] += counts.responses;
        }
    }

    /// Whether one group decides alone: there is no other one, or almost all responses come from it. Engines
    /// get the prompts of a route by their cached parts, which may be at one target.
    fn is_single(&self, groups: usize) -> bool {
        let most = self.group_responses.iter().copied().max().unwrap_or(0);
        let others = self.group_responses.iter().sum::<u64>() - most;
        groups <= 1 || (most >= MIN_ALONE_RESPONSES && others * MAX_ALONE_RATIO < most)
    }

    /// Returns evidence over all groups but the worst one: a bad version is bad at all targets, while one slow
    /// target is in one group.
    fn without_worst(&self, values: &[f64; GROUPS], groups: usize) -> f64 {
        let worst = match self.is_single(groups) {
            true => 0.0,
            false => values.iter().copied().fold(0.0, f64::max),
        };
        values.iter().sum::<f64>() - worst
    }

    /// The same for the kind with the strongest evidence.
    fn strongest(&self, evidence: &Evidence, groups: usize) -> f64 {
        let values = evidence
            .iter()
            .map(|values| self.without_worst(values, groups));
        values.fold(f64::MIN, f64::max)
    }

    fn threshold(&self, groups: usize) -> f64 {
        match self.is_single(groups) {
            true => SINGLE_THRESHOLD,
            false => BAD_THRESHOLD,
        }
    }

    fn is_bad(&self, groups: usize) -> bool {
        self.strongest(&self.sums, groups) >= self.threshold(groups)
    }

    /// Whether the version looks worse, but not by enough to decide.
    fn is_suspect(&self, groups: usize) -> bool {
        let threshold = self.threshold(groups);
        self.strongest(&self.sums, groups) >= SUSPECT_RATIO * threshold
            || self.strongest(&self.loaded_sums, groups) >= LOADED_SUSPECT_RATIO * threshold
    }
}

/// The test of one order.
#[derive(Debug, Clone, Default)]
pub struct VersionTest {
    routes: BTreeMap<u32, RouteTest>,
    is_bad: bool,
}

impl VersionTest {
    /// Creates a test without any responses.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds responses. `groups` is the number of groups with targets.
    pub fn add(&mut self, key: CellKey, counts: CellCounts, groups: usize, now: Timestamp) {
        let (route, arm) = key;
        if counts.responses == 0 {
            return;
        }
        let has_room = self.routes.len() <= MAX_ROUTES || self.routes.contains_key(&route);
        let routes = [ALL_ROUTES, route];
        for route in &routes[..if has_room { 2 } else { 1 }] {
            let test = self.routes.entry(*route).or_default();
            let has_changed = test.add(arm, counts, now);
            self.is_bad |= has_changed && test.is_bad(groups);
        }
    }

    /// Whether the version is worse than the old one.
    pub fn is_bad(&self) -> bool {
        self.is_bad
    }

    /// Returns the result. A bad version stays bad.
    pub fn verdict(&self, groups: usize, proof: Proof) -> Verdict {
        if self.is_bad {
            return Verdict::Bad;
        }
        let Some(all) = self.routes.get(&ALL_ROUTES) else {
            return Verdict::Undecided;
        };
        let proof = match all.new_responses < MAX_LATE_RESPONSES {
            true => proof,
            false => Proof::FULL,
        };
        let is_good = |(route, test): (&u32, &RouteTest)| {
            let is_large = test.old_responses >= MIN_ROUTE_RESPONSES
                && test.old_responses as f64 >= MIN_ROUTE_PART * all.old_responses as f64;
            let threshold = match *route {
                ALL_ROUTES => proof.overall,
                _ if is_large => proof.route,
                _ => f64::MAX,
            };
            test.strongest(&test.ratios, groups) <= threshold && !test.is_suspect(groups)
        };
        // A version that was good with few requests may be bad with many.
        let is_proved = all.strongest(&all.loaded_ratios, groups) <= proof.overall
            && self.routes.iter().all(is_good);
        match is_proved {
            true => Verdict::Good,
            false => Verdict::Undecided,
        }
    }

    /// Describes the route with the strongest evidence: its hash, the sums for failures and for slow responses
    /// without the worst group, and the responses of the old and the new version.
    pub fn strongest(&self, groups: usize) -> Option<(u32, [f64; 2], u64, u64)> {
        let weight = |test: &RouteTest| test.strongest(&test.sums, groups);
        let (route, test) = self
            .routes
            .iter()
            .max_by(|a, b| weight(a.1).total_cmp(&weight(b.1)))?;
        let sums = test.sums.map(|values| test.without_worst(&values, groups));
        Some((*route, sums, test.old_responses, test.new_responses))
    }
}
