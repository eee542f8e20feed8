//! Placement of requests to plain services.

use std::rc::Rc;
use std::time::Duration;

use super::Scheduler;
use super::running::Attempt;
use crate::core::ids::{TargetId, Timestamp};
use crate::core::pace::{ServicePace, choose_weighted, work_window};
use crate::core::routing::{TargetIndex, TargetState, rendezvous_score, unit_random};

/// Time of a call until one has been observed, in seconds.
const INITIAL_CALL_S: f64 = 0.05;

/// Time added to the cost of a target whose last connection failed, in seconds.
const UNRELIABLE_PENALTY_S: f64 = 0.5;

/// Seed that makes the choice independent of other random ones.
const SPREAD_SEED: u64 = 0x7061_6365;

/// Age of a load report at which the expected wait, instead of the reported requests, has most of the weight.
const REPORT_AGE_S: f64 = 0.5;

impl Scheduler {
    /// Selects a target that accepts requests for a request to a plain service, and records the attempt.
    /// It is the least loaded one, or, once a target of the service has reported its pace, one with a low
    /// expected time to the end. `targets` are all targets of the service that take new work, as the limit
    /// on ejected targets applies to them. Returns the identifier of the attempt and the target.
    pub fn place_plain(
        &mut self,
        targets: &[TargetId],
        excluded: &[TargetId],
        random: u64,
        now: Timestamp,
    ) -> Option<(u64, TargetId)> {
        if self.running.is_full() {
            return None;
        }
        let table = self.router.targets();
        let service: Rc<[TargetIndex]> = targets.iter().filter_map(|id| table.index(id)).collect();
        // If the only ones left are ejected, a request may as well try them.
        let are_all_out = !service
            .iter()
            .any(|index| table.get(*index).is_in_service());
        let candidates: Vec<TargetIndex> = service
            .iter()
            .copied()
            .filter(|index| {
                let state = table.get(*index);
                let accepts_requests = match are_all_out {
                    true => state.is_ejected() && state.paused_until <= now,
                    false => state.accepts_requests(now),
                };
                accepts_requests && !excluded.contains(&state.id)
            })
            .collect();
        let uses_pace = service.iter().any(|index| table.get(*index).reports_pace());
        let target = match uses_pace {
            true => self.choose_by_time(&service, &candidates, random, now)?,
            false => self.least_loaded(&candidates, random, now)?,
        };
        self.health.entry(target).or_default().on_sent(now);
        let state = self.router.targets_mut().get_mut(target);
        state.load.on_sent(Duration::ZERO, now);
        state.load.on_prefilled(now);
        let id = state.id.clone();
        let attempt = Attempt {
            target,
            generation: state.generation,
            incarnation: state.incarnation,
            sent_at: now,
            service,
            model: None,
        };
        Some((self.running.add(attempt), id))
    }

    fn least_loaded(
        &self,
        candidates: &[TargetIndex],
        random: u64,
        now: Timestamp,
    ) -> Option<TargetIndex> {
        let table = self.router.targets();
        candidates.iter().copied().min_by(|a, b| {
            let (a, b) = (table.get(*a), table.get(*b));
            let load = |state: &TargetState| {
                (
                    now < state.unreliable_until,
                    state.load.total_requests(0.0, now),
                )
            };
            let tie_breaker = |hash: u64| rendezvous_score(random, hash);
            let ((a_is_unreliable, a_load), (b_is_unreliable, b_load)) = (load(a), load(b));
            a_is_unreliable
                .cmp(&b_is_unreliable)
                .then(a_load.total_cmp(&b_load))
                .then(tie_breaker(a.name_hash).cmp(&tie_breaker(b.name_hash)))
        })
    }

    /// Chooses at random, more often a target at which a call is expected to end sooner.
    fn choose_by_time(
        &mut self,
        service: &[TargetIndex],
        candidates: &[TargetIndex],
        random: u64,
        now: Timestamp,
    ) -> Option<TargetIndex> {
        let (usual, call_s) = self.usual_call(service, now);
        let table = self.router.targets();
        let times_and_limits: Vec<(f64, u32)> = candidates
            .iter()
            .map(|index| {
                let speed = self.router.speed(table.get(*index), &usual, now);
                (call_s * speed.pace, speed.limit)
            })
            .collect();
        let mut costs: Vec<(f64, f64)> = candidates
            .iter()
            .zip(&times_and_limits)
            .map(|(index, &(time_s, limit))| {
                let state = table.get(*index);
                let requests = state.load.total_requests(0.0, now);
                let excess = (requests + 1.0 - f64::from(limit)).max(0.0);
                let queued_s = excess * time_s / f64::from(limit);
                let penalty_s = match now < state.unreliable_until {
                    true => UNRELIABLE_PENALTY_S,
                    false => 0.0,
                };
                // A recent report shows the other instances' requests.
                let unreported = match state.load.report_age(now) {
                    Some(age) => 1.0 - (-age.as_secs_f64() / REPORT_AGE_S).exp(),
                    None => 1.0,
                };
                let wait_s = unreported * self.router.expected_wait_s(state, limit, now);
                (
                    time_s + queued_s + wait_s + penalty_s,
                    state.ramp.share(now),
                )
            })
            .collect();
        if costs.iter().all(|(_, factor)| *factor == 0.0) {
            // All of them are new.
            costs.iter_mut().for_each(|(_, factor)| *factor = 1.0);
        }
        let chosen = choose_weighted(&mut costs, unit_random(random, SPREAD_SEED))?;
        let window = work_window(self.router.instances());
        for ((index, (time_s, _)), (_, probability)) in
            candidates.iter().zip(&times_and_limits).zip(&costs)
        {
            let pace = &mut self.router.targets_mut().get_mut(*index).pace;
            let placed = &mut pace.get_or_insert_default().placed;
            placed.add(*probability, *time_s, window, now);
        }
        candidates.get(chosen).copied()
    }

    /// Returns the usual values of a service and the usual time of a call, in seconds: the means over its
    /// targets, so that they do not depend on which targets get the most calls.
    fn usual_call(&self, service: &[TargetIndex], now: Timestamp) -> (ServicePace, f64) {
        let table = self.router.targets();
        let (mut observed, mut reported, mut count) = (0.0, 0.0, 0.0);
        for index in service {
            let pace = table.get(*index).pace.as_ref();
            if let Some(means) = pace.and_then(|pace| pace.observed_means(now)) {
                observed += means.0;
                reported += means.1;
                count += 1.0;
            }
        }
        if count == 0.0 {
            return (ServicePace::default(), INITIAL_CALL_S);
        }
        let (observed, reported) = (observed / count, reported / count);
        let usual = ServicePace::from_means(observed, reported, now);
        (usual, (observed - reported).exp())
    }

    /// Records the time that a call took at a target of a service that uses paces.
    pub(super) fn record_call_time(&mut self, attempt: &Attempt, now: Timestamp) {
        let (mut usual, _) = self.usual_call(&attempt.service, now);
        let took_s = now.saturating_sub(attempt.sent_at).as_secs_f64();
        let state = self.router.targets_mut().get_mut(attempt.target);
        if let (Some(pace), true) = (&mut state.pace, state.generation == attempt.generation) {
            // The time of a call is compared with the other targets' times, not with an expected one.
            pace.on_observed(took_s, 1.0, &mut usual, now);
        }
    }
}
