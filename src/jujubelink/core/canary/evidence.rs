//! Sequential test between the old and the new version of a service.
//!
//! A response is bad if it is a failure, or took several times as long as is usual at the old version on the
//! same route. The test compares the rate of bad responses of the new version with that of the old one in
//! the same seconds, so that bursts and slow dependencies, which affect both, decide nothing. The targets of
//! the new version are split into two groups, and both have to be worse: one slow or crashing target is in
//! one group only.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::core::ids::Timestamp;

/// Maximum number of cells of a service, three for each route. Further routes share the pooled test.
pub const MAX_CELLS: usize = 48;

/// Increase of the rate of bad responses that makes a version bad.
const BAD_INCREASE: f64 = 0.2;

/// Smallest rate of bad responses assumed for the old version. A lower one would let two failures decide.
const MIN_BASE_RATE: f64 = 0.05;

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

/// Log-likelihood ratio at which a group of targets counts as worse. Both groups together make a false
/// roll-back unlikely, which `canary::error_rates_of_good_versions` counts.
const GROUP_THRESHOLD: f64 = 6.0;

/// The same for a version with a single target, which has one group only.
const SINGLE_THRESHOLD: f64 = 10.0;

/// Responses of a group from which on it may decide alone, if the other one has this many times fewer.
const MIN_ALONE_RESPONSES: u64 = 30;
const MAX_ALONE_RATIO: u64 = 8;

/// Log-likelihood ratio over all routes below which the version counts as good.
const GOOD_THRESHOLD: f64 = -4.0;

/// The same for each route with enough responses.
const ROUTE_GOOD_THRESHOLD: f64 = -4.0;

/// Responses of the old version on a route from which on the new version has to be proved good there.
const MIN_ROUTE_RESPONSES: u64 = 40;

/// Hash that stands for all routes together.
const ALL_ROUTES: u32 = 0;

/// Part of the targets that a response came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Arm {
    /// The old version.
    Old,
    /// Targets of the new version at even places in the list.
    NewEven,
    /// Targets of the new version at odd places in the list.
    NewOdd,
}

/// Route, by the hash of its name, and part of the targets.
pub type CellKey = (u32, Arm);

/// Responses of one cell.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CellCounts {
    /// Number of responses.
    pub responses: u64,
    /// Number of bad ones among them.
    pub bad: u64,
}

impl CellCounts {
    /// Returns the increase since earlier counts of the same process. Counts that fell come from a new
    /// process, and count from zero.
    pub fn since(self, earlier: Self) -> Self {
        match self.responses < earlier.responses || self.bad < earlier.bad {
            true => self,
            false => Self {
                responses: self.responses - earlier.responses,
                bad: self.bad - earlier.bad,
            },
        }
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

#[derive(Debug, Clone, Default)]
struct RouteTest {
    /// Responses of the old version, weighted by age.
    base_responses: f64,
    base_bad: f64,
    base_at: Timestamp,
    /// The same with [`FAST_HALF_LIFE`].
    fast_responses: f64,
    fast_bad: f64,
    last_old_at: Timestamp,
    evaluated_at: Timestamp,
    old_responses: u64,
    new_responses: u64,
    /// Cumulative sums by group; they start again at zero while the version is as good as the old one.
    sums: [f64; 2],
    /// Log-likelihood ratios of bad to good over all responses by group.
    ratios: [f64; 2],
    /// Responses of the new version by group.
    group_responses: [u64; 2],
    /// Responses of the new version that wait for enough ones of the old version.
    waiting: [CellCounts; 2],
}

impl RouteTest {
    fn decay(&mut self, now: Timestamp) {
        let elapsed = now.saturating_sub(self.base_at);
        self.base_at = self.base_at.max(now);
        let kept = 0.5f64.powf(elapsed.as_secs_f64() / BASE_HALF_LIFE.as_secs_f64());
        // The last responses are kept as the base while the old version gets no requests.
        let floor = MIN_BASE_RESPONSES.min(self.base_responses);
        let kept = kept.max(floor / self.base_responses.max(floor).max(1.0));
        self.base_responses *= kept;
        self.base_bad *= kept;
        let fast = 0.5f64.powf(elapsed.as_secs_f64() / FAST_HALF_LIFE.as_secs_f64());
        self.fast_responses *= fast;
        self.fast_bad *= fast;
    }

    fn add(&mut self, arm: Arm, counts: CellCounts, now: Timestamp) {
        self.decay(now);
        match arm {
            Arm::Old => {
                self.base_responses += counts.responses as f64;
                self.base_bad += counts.bad as f64;
                self.fast_responses += counts.responses as f64;
                self.fast_bad += counts.bad as f64;
                self.last_old_at = now;
                self.old_responses += counts.responses;
            }
            Arm::NewEven | Arm::NewOdd => {
                let waiting = &mut self.waiting[usize::from(arm == Arm::NewOdd)];
                waiting.responses += counts.responses;
                waiting.bad += counts.bad;
            }
        }
        let is_due = now >= self.evaluated_at + WAIT;
        if self.base_responses < MIN_BASE_RESPONSES || !is_due {
            return;
        }
        self.evaluated_at = now;
        // Half a bad response is added, as a rate of zero is never certain.
        let base = (self.base_bad + 0.5) / (self.base_responses + 1.0);
        let fast = match self.fast_responses >= MIN_FAST_RESPONSES {
            true => self.fast_bad / self.fast_responses,
            false => 0.0,
        };
        let floor = match now.saturating_sub(self.last_old_at) > STALE_AGE {
            true => STALE_BASE_RATE,
            false => MIN_BASE_RATE,
        };
        let base = base.max(fast).clamp(floor, MAX_BASE_RATE);
        let (on_bad, on_good) = (
            ((base + BAD_INCREASE) / base).ln(),
            ((1.0 - base - BAD_INCREASE) / (1.0 - base)).ln(),
        );
        for (group, sum) in self.sums.iter_mut().enumerate() {
            let counts = std::mem::take(&mut self.waiting[group]);
            let good = counts.responses - counts.bad.min(counts.responses);
            let step = on_bad * counts.bad as f64 + on_good * good as f64;
            *sum = (*sum + step).max(0.0);
            self.ratios[group] += step;
            self.new_responses += counts.responses;
            self.group_responses[group] += counts.responses;
        }
    }

    /// Returns the evidence over both groups, or that of the better group: a bad version is bad at all targets,
    /// while one slow target is in one group.
    fn ratio(&self) -> f64 {
        let [even, odd] = self.ratios;
        (even + odd).min(even).min(odd)
    }

    fn is_bad(&self, groups: usize) -> bool {
        match groups {
            0 | 1 => self.sums.iter().any(|sum| *sum >= SINGLE_THRESHOLD),
            _ => {
                self.sums.iter().all(|sum| *sum >= GROUP_THRESHOLD)
                    || (0..2)
                        .any(|group| self.sums[group] >= SINGLE_THRESHOLD && self.is_alone(group))
            }
        }
    }

    /// Whether almost all responses come from one group, so that the other one can prove nothing. Engines get
    /// the prompts of a route by their cached parts, which may be at one target.
    fn is_alone(&self, group: usize) -> bool {
        let [own, other] = [self.group_responses[group], self.group_responses[1 - group]];
        own >= MIN_ALONE_RESPONSES && other * MAX_ALONE_RATIO < own
    }

    /// Whether both groups look worse, but not by enough to decide.
    fn is_suspect(&self, groups: usize) -> bool {
        let largest = self.sums.iter().copied().fold(0.0, f64::max);
        match groups {
            0 | 1 => largest >= SINGLE_THRESHOLD / 2.0,
            _ => {
                self.sums.iter().all(|sum| *sum >= GROUP_THRESHOLD / 2.0)
                    || (0..2).any(|group| {
                        self.sums[group] >= SINGLE_THRESHOLD / 2.0 && self.is_alone(group)
                    })
            }
        }
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

    /// Adds responses. `groups` is the number of groups with targets, 1 or 2.
    pub fn add(&mut self, key: CellKey, counts: CellCounts, groups: usize, now: Timestamp) {
        let (route, arm) = key;
        if counts.responses == 0 {
            return;
        }
        let has_room = self.routes.len() <= MAX_CELLS / 3 || self.routes.contains_key(&route);
        let routes = [ALL_ROUTES, route];
        for route in &routes[..if has_room { 2 } else { 1 }] {
            let test = self.routes.entry(*route).or_default();
            test.add(arm, counts, now);
            self.is_bad |= test.is_bad(groups);
        }
    }

    /// Returns the result. A bad version stays bad.
    pub fn verdict(&self, groups: usize) -> Verdict {
        if self.is_bad {
            return Verdict::Bad;
        }
        let is_good = |(route, test): (&u32, &RouteTest)| {
            let threshold = match *route {
                ALL_ROUTES => GOOD_THRESHOLD,
                _ if test.old_responses < MIN_ROUTE_RESPONSES => return !test.is_suspect(groups),
                _ => ROUTE_GOOD_THRESHOLD,
            };
            test.ratio() <= threshold && !test.is_suspect(groups)
        };
        match !self.routes.is_empty() && self.routes.iter().all(is_good) {
            true => Verdict::Good,
            false => Verdict::Undecided,
        }
    }

    /// Describes the route with the strongest evidence: its hash, the sums of both groups, and the responses
    /// of the old and the new version.
    pub fn strongest(&self) -> Option<(u32, [f64; 2], u64, u64)> {
        let weight = |test: &RouteTest| test.sums[0] + test.sums[1];
        let (route, test) = self
            .routes
            .iter()
            .max_by(|a, b| weight(a.1).total_cmp(&weight(b.1)))?;
        Some((*route, test.sums, test.old_responses, test.new_responses))
    }
}
