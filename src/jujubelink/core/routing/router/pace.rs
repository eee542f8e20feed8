//! Use of the targets' paces in the routing of one instance.

use super::choose::better_choice;
use super::{Choice, ModelState, RouteRequest, Router};
use crate::core::ids::Timestamp;
use crate::core::pace::{
    IgnoredPace, ReportedPace, ServicePace, choose_weighted, queue_wait_s, work_window,
};
use crate::core::routing::scan::PrefixScan;
use crate::core::routing::{TargetIndex, TargetState, unit_random};

/// Expected prefill time from which the time to the first token shows the pace of a target. Below it,
/// connections and single steps dominate.
const MIN_PACED_PREFILL_S: f64 = 0.005;

/// How fast a target works for a service, and how much concurrent work it takes.
#[derive(Debug, Clone, Copy)]
pub struct TargetSpeed {
    /// Ratio of the time that work takes to the usual time.
    pub pace: f64,
    /// Maximum number of concurrent requests.
    pub limit: u32,
}

/// Range of the speeds of several targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SpeedRange {
    /// Lowest pace, in percent of the usual time.
    pub min_pace_percent: u64,
    /// Highest pace, in percent of the usual time.
    pub max_pace_percent: u64,
    /// Lowest limit of concurrent requests.
    pub min_limit: u64,
}

/// Part of a request in the expected work of one candidate.
#[derive(Debug, Clone, Copy)]
pub(in crate::core::routing) struct ExpectedShare {
    target: TargetIndex,
    probability: f64,
    work_s: f64,
}

impl Router {
    /// Whether the targets of a model have reported paces, so that decisions use them.
    pub fn uses_pace(&self, model: &str) -> bool {
        let model = self.models.get(model);
        model.is_some_and(|model| model.service_pace.is_some())
    }

    /// Returns the speed of a target for a service with the given usual values.
    pub fn speed(&self, state: &TargetState, usual: &ServicePace, now: Timestamp) -> TargetSpeed {
        let slots = state.settings.map_or(1, |settings| settings.max_running);
        match &state.pace {
            Some(pace) => TargetSpeed {
                pace: pace.pace(usual, now),
                limit: pace.limit.limit(slots, now),
            },
            None => TargetSpeed {
                pace: 1.0,
                limit: slots,
            },
        }
    }

    /// Returns the expected wait at a target that other instances' requests cause, in seconds. `servers` is
    /// the number of requests that are processed at once.
    pub fn expected_wait_s(&self, state: &TargetState, servers: u32, now: Timestamp) -> f64 {
        let Some(pace) = &state.pace else {
            return 0.0;
        };
        let window = work_window(self.instances);
        let others = f64::from(self.instances - 1);
        let busy_s = others * pace.placed.utilization(window, now);
        queue_wait_s(busy_s, pace.placed.mean_work_s(), servers)
    }

    /// Applies the pace that a target reported. The first valid one enables paces for its models.
    pub(super) fn on_reported_pace(
        &mut self,
        target: TargetIndex,
        reported: ReportedPace,
        requests: u32,
        now: Timestamp,
    ) {
        let state = self.targets.get_mut(target);
        if state.pace.is_none() && reported.ratio().is_err() {
            if reported != ReportedPace::Missing {
                self.count_ignored(IgnoredPace::from(reported));
            }
            return;
        }
        let pace = state.pace.get_or_insert_default();
        let is_first = !pace.has_reported();
        if let Some(reason) = pace.on_report(reported, requests, now) {
            self.count_ignored(reason);
        }
        if is_first {
            self.enable_paces();
        }
    }

    fn count_ignored(&mut self, reason: IgnoredPace) {
        *self.ignored_paces.entry(reason).or_default() += 1;
    }

    /// Returns the numbers of ignored figures by reason since the last call.
    pub fn take_ignored_paces(&mut self) -> Vec<(IgnoredPace, u64)> {
        self.ignored_paces.drain().collect()
    }

    /// Enables paces for the models of which a target has reported one.
    pub(super) fn enable_paces(&mut self) {
        let targets = &self.targets;
        for model in self.models.values_mut() {
            let mut members = model.members.iter();
            let is_reported = members.any(|(target, _)| targets.get(*target).reports_pace());
            if is_reported && model.service_pace.is_none() {
                model.service_pace = Some(ServicePace::default());
            }
        }
    }

    /// Records the time from the start of a request's prefill to its first token.
    pub fn on_first_token(&mut self, model: &str, choice: &Choice, took_s: f64, now: Timestamp) {
        let usual = self.models.get_mut(model);
        let Some(usual) = usual.and_then(|model| model.service_pace.as_mut()) else {
            return;
        };
        let expected_s = (choice.prefill_s - choice.fetch_s) / choice.pace;
        if expected_s >= MIN_PACED_PREFILL_S {
            let pace = &mut self.targets.get_mut(choice.target).pace;
            let pace = pace.get_or_insert_default();
            pace.on_observed(took_s - choice.fetch_s, expected_s, usual, now);
        }
    }

    /// Chooses at random among the candidates with capacity, the cheaper ones more often. Returns the
    /// cheapest candidate if that has no capacity.
    pub(super) fn choose_spread(
        &self,
        model: &ModelState,
        request: &RouteRequest<'_>,
        scan: &mut PrefixScan,
        random: u64,
        now: Timestamp,
    ) -> Option<Choice> {
        let choices: Vec<Choice> = scan
            .candidates
            .iter()
            .filter(|target| self.is_eligible(model, request, **target, random, now))
            .map(|target| self.evaluate(model, scan, request, *target, now))
            .collect();
        let cheapest = choices.iter().copied().fold(None, |best, choice| {
            better_choice(request, best, Some(choice))
        })?;
        if !cheapest.has_capacity {
            return Some(cheapest);
        }
        let factor = |choice: &Choice| {
            let is_sampled = self.targets.get(choice.target).is_ramp_sampled(random, now);
            f64::from(u8::from(choice.has_capacity && is_sampled))
        };
        let mut costs: Vec<_> = choices
            .iter()
            .map(|choice| (choice.cost_s(), factor(choice)))
            .collect();
        let position = unit_random(random, SPREAD_SEED);
        let Some(chosen) = choose_weighted(&mut costs, position) else {
            return Some(cheapest);
        };
        let shares = choices
            .iter()
            .zip(&costs)
            .map(|(choice, (_, probability))| ExpectedShare {
                target: choice.target,
                probability: *probability,
                work_s: choice.prefill_s,
            });
        scan.shares.extend(shares);
        choices.get(chosen).copied()
    }

    /// Records the expected work of a request at its candidates, or at the chosen one if there was no choice.
    pub(super) fn add_placed_work(&mut self, choice: &Choice, now: Timestamp) {
        let window = work_window(self.instances);
        if self.scan.shares.is_empty() {
            self.scan.shares.push(ExpectedShare {
                target: choice.target,
                probability: 1.0,
                work_s: choice.prefill_s,
            });
        }
        for share in self.scan.shares.drain(..) {
            let pace = &mut self.targets.get_mut(share.target).pace;
            let placed = &mut pace.get_or_insert_default().placed;
            placed.add(share.probability, share.work_s, window, now);
        }
    }

    /// Records the time for new and returned targets. Called about once per second.
    pub fn on_tick(&mut self, now: Timestamp) {
        for index in 0..self.targets.len() {
            self.targets.get_mut(index as TargetIndex).ramp.on_tick(now);
        }
    }

    /// Returns the range of the speeds of all models' targets; `None` if no model uses paces.
    pub fn speed_range(&self, now: Timestamp) -> Option<SpeedRange> {
        let models = self.models.values();
        let speeds = models.filter_map(|model| Some((model, model.service_pace.as_ref()?)));
        let speeds = speeds.flat_map(|(model, usual)| {
            let members = model.members.iter();
            members.map(move |(target, _)| self.speed(self.targets.get(*target), usual, now))
        });
        speeds.fold(None, |range: Option<SpeedRange>, speed| {
            let pace_percent = (speed.pace * 100.0).round() as u64;
            let limit = u64::from(speed.limit);
            let range = range.unwrap_or(SpeedRange {
                min_pace_percent: pace_percent,
                max_pace_percent: pace_percent,
                min_limit: limit,
            });
            Some(SpeedRange {
                min_pace_percent: range.min_pace_percent.min(pace_percent),
                max_pace_percent: range.max_pace_percent.max(pace_percent),
                min_limit: range.min_limit.min(limit),
            })
        })
    }

    /// Returns the number of instances in the fleet, including this one.
    pub fn instances(&self) -> u32 {
        self.instances
    }
}

/// Seed that makes the choice independent of the random candidates.
const SPREAD_SEED: u64 = 0x7061_6365;
