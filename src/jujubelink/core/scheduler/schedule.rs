//! The scheduler: queues model requests, dispatches them to targets and evaluates the outcomes.

use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use super::running::{Attempt, ModelAttempt, RunningTable};
use super::types::{
    AttemptEnd, Dispatch, Effect, NewRequest, PacedEstimate, Refusal, Retry, SuspectUpdate,
};
use crate::core::config::ConfigSnapshot;
use crate::core::ids::{Fingerprint, TargetId, Timestamp, Tokens, WorkspaceId};
use crate::core::overload::{Decision, Prospect, WorkMix, decide};
use crate::core::queue::{FairQueue, JobId, QueuedJob};
use crate::core::retry::{
    MAX_EJECTED_PERCENT, MAX_EJECTED_SERVICE_PERCENT, RetryBudgets, SuspectState, SuspectTable,
    TargetHealth, backoff,
};
use crate::core::routing::{
    Choice, LoadReport, RouteRequest, Router, TargetIndex, rendezvous_score,
};

/// Retry delay sent to a refused client when there is no better estimate.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Time for which the router penalizes a target after a connection to it failed or was refused, or after a
/// silence that is too short for a failure.
const UNRELIABLE_PERIOD: Duration = Duration::from_millis(1500);

/// Time before its deadline from which a request takes any target with capacity instead of waiting
/// for its cheapest one.
const URGENT_WINDOW: Duration = Duration::from_millis(150);

/// Time within which a stream that failed after its first token has to be resumed.
const RESUME_WINDOW: Duration = Duration::from_millis(500);

/// Returns the time that a retry may take beyond the dispatch deadline: the time of a full prefill,
/// because the deadline of the first token is the dispatch deadline plus the prefill.
fn prefill_allowance(cost_tokens: u64) -> Duration {
    Duration::from_micros(cost_tokens.saturating_mul(PREFILL_MICROS_PER_TOKEN))
        .min(MAX_PREFILL_ALLOWANCE)
}

/// 20,000 tokens per second, the default of `prefill_tokens_per_s`.
const PREFILL_MICROS_PER_TOKEN: u64 = 50;
const MAX_PREFILL_ALLOWANCE: Duration = Duration::from_secs(5);

/// Scheduler of one instance.
#[derive(Debug)]
pub struct Scheduler {
    pub(super) router: Router,
    queue: FairQueue,
    /// Requests in the queue.
    waiting: HashMap<JobId, NewRequest>,
    last_job: JobId,
    pub(super) running: RunningTable,
    /// Health of the targets that have had attempts.
    pub(super) health: HashMap<TargetIndex, TargetHealth>,
    workspace_budgets: RetryBudgets<WorkspaceId>,
    target_budgets: RetryBudgets<TargetIndex>,
    suspects: SuspectTable,
    workspace_weights: HashMap<WorkspaceId, u32>,
    /// Rate limits of workspaces, from which the demand for the first blocks of their prompts is
    /// estimated.
    workspace_rates: HashMap<WorkspaceId, Tokens>,
    /// Targets of each model and each route to a plain service; the limit on ejected targets
    /// applies to each group. Plain services without a route have their group in their attempts.
    ejection_groups: Vec<Vec<TargetIndex>>,
    /// Work of requests with aims that was sent recently.
    work_mix: WorkMix,
}

impl Default for Scheduler {
    fn default() -> Self {
        Self::new()
    }
}

impl Scheduler {
    /// Creates a scheduler without targets.
    pub fn new() -> Self {
        Self {
            router: Router::new(),
            queue: FairQueue::default(),
            waiting: HashMap::new(),
            last_job: 0,
            running: RunningTable::default(),
            health: HashMap::new(),
            workspace_budgets: RetryBudgets::default(),
            target_budgets: RetryBudgets::default(),
            suspects: SuspectTable::default(),
            workspace_weights: HashMap::new(),
            workspace_rates: HashMap::new(),
            ejection_groups: Vec::new(),
            work_mix: WorkMix::default(),
        }
    }

    /// Enables the mode in which engines fetch cached blocks from each other.
    pub fn with_engine_fetch(mut self) -> Self {
        self.router = self.router.with_engine_fetch();
        self
    }

    /// Applies a configuration. The state of unchanged targets is kept.
    pub fn on_config(&mut self, config: &ConfigSnapshot) {
        self.router.on_config(config);
        let fleet = &config.fleet;
        self.workspace_weights = fleet
            .workspaces
            .iter()
            .map(|(id, workspace)| (id.clone(), workspace.weight))
            .collect();
        self.workspace_rates = fleet
            .workspaces
            .iter()
            .map(|(id, workspace)| (id.clone(), workspace.rate_tokens_per_s))
            .collect();
        let router = &self.router;
        let models = fleet
            .models
            .keys()
            .map(|model| router.targets_of(model).to_vec());
        let routes = fleet.routes.values().map(|route| {
            let names = route.targets.iter();
            names.filter_map(|id| router.targets().index(id)).collect()
        });
        self.ejection_groups = models.chain(routes).collect();
        self.health
            .retain(|target, _| router.targets().get(*target).settings.is_some());
    }

    /// Returns the routing state.
    pub fn router(&self) -> &Router {
        &self.router
    }

    /// Returns the mutable routing state, for load reports and cache events.
    pub fn router_mut(&mut self) -> &mut Router {
        &mut self.router
    }

    /// Returns the number of queued requests.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of attempts in progress.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Queues a request and returns its identifier. It is dispatched by [`Self::dispatch_waiting`].
    /// If it can't be queued, the effects contain its refusal.
    pub fn on_request(
        &mut self,
        mut request: NewRequest,
        now: Timestamp,
        effects: &mut Vec<Effect>,
    ) -> JobId {
        self.last_job += 1;
        let job = self.last_job;
        if let Err(reason) = self.admit(&mut request, now) {
            effects.push(Effect::Refuse { job, reason });
            return job;
        }
        let weight = self
            .workspace_weights
            .get(&request.workspace)
            .copied()
            .unwrap_or(1);
        if !request.is_retry() {
            self.workspace_budgets
                .get(&request.workspace, now)
                .on_request();
        }
        let queued = QueuedJob {
            id: job,
            cost_tokens: request.cost_tokens.max(1),
            bytes: request.prompt.prompt_bytes,
            deadline: request.deadline,
            aims: request.aims,
        };
        let shed = self.queue.push(&request.workspace, weight, queued, now);
        self.waiting.insert(job, request);
        for job in shed {
            self.refuse(job, overloaded(DEFAULT_RETRY_AFTER), effects);
        }
        job
    }

    /// Refuses requests that can't be dispatched in time, and marks suspects.
    fn admit(&mut self, request: &mut NewRequest, now: Timestamp) -> Result<(), Refusal> {
        match self.suspects.state(request.prompt.whole, now) {
            SuspectState::Clear => {}
            SuspectState::Suspect => request.is_suspect = true,
            SuspectState::Quarantined { remaining } => {
                let retry_after = remaining;
                return Err(Refusal::Quarantined { retry_after });
            }
        }
        if self.running.is_full() || request.deadline <= now {
            return Err(overloaded(DEFAULT_RETRY_AFTER));
        }
        let weight = self
            .workspace_weights
            .get(&request.workspace)
            .copied()
            .unwrap_or(1);
        if let Some(wait) =
            self.queue
                .expected_wait(&request.workspace, weight, request.aims.as_ref(), now)
        {
            let left = request.deadline - now;
            if wait > left {
                return Err(overloaded(wait - left));
            }
        }
        Ok(())
    }

    /// Removes a queued request whose client has disconnected.
    pub fn on_cancel(&mut self, job: JobId, now: Timestamp) {
        if let Some(request) = self.waiting.remove(&job) {
            self.queue.remove(&request.workspace, job, now);
        }
    }

    /// Dispatches queued requests to targets with capacity, in fair order, and refuses those whose
    /// deadline has passed. A request that waits for a particular target does not block the ones
    /// behind it.
    pub fn dispatch_waiting(&mut self, random: u64, now: Timestamp, effects: &mut Vec<Effect>) {
        for job in self.queue.expire(now) {
            self.refuse(job, overloaded(DEFAULT_RETRY_AFTER), effects);
        }
        let mut skipped = HashSet::new();
        while !self.queue.is_empty() {
            // Each dispatch changes the fair order, so the order is read again. A skipped request
            // is not tried again in this call.
            let candidates = self.queue.dispatch_order(now);
            let is_sent = candidates
                .into_iter()
                .filter(|(_, job)| !skipped.contains(job))
                .collect::<Vec<_>>()
                .into_iter()
                .any(|(_, job)| {
                    let is_sent = self.try_dispatch(job, random, now, effects);
                    if !is_sent {
                        skipped.insert(job);
                    }
                    is_sent
                });
            if !is_sent {
                break;
            }
        }
    }

    /// Dispatches or refuses one request if possible. Returns whether it left the queue.
    fn try_dispatch(
        &mut self,
        job: JobId,
        random: u64,
        now: Timestamp,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let Some(request) = self.waiting.get(&job) else {
            return false;
        };
        let is_urgent = request.deadline.saturating_sub(now) < URGENT_WINDOW;
        let route = RouteRequest {
            is_urgent,
            rate_tokens_per_s: self
                .workspace_rates
                .get(&request.workspace)
                .copied()
                .unwrap_or(0),
            ..route_request(request)
        };
        let choice = self
            .router
            .choose(&route, rendezvous_score(random, job), now);
        let refusal = match choice {
            Some(choice) => match self.decide(job, &choice, now) {
                Decision::Place => return self.dispatch(job, choice, now, effects),
                Decision::Wait => None,
                Decision::Refuse => Some(overloaded(DEFAULT_RETRY_AFTER)),
            },
            None => self.unavailability(job, now),
        };
        let Some(reason) = refusal else {
            return false;
        };
        let workspace = self.waiting[&job].workspace.clone();
        self.queue.remove(&workspace, job, now);
        self.refuse(job, reason, effects);
        true
    }

    /// Decides whether a queued request is sent to the selected target.
    fn decide(&self, job: JobId, choice: &Choice, now: Timestamp) -> Decision {
        let Some(aims) = &self.waiting[&job].aims else {
            return match choice.has_capacity {
                true => Decision::Place,
                false => Decision::Wait,
            };
        };
        let state = self.router.targets().get(choice.target);
        let prospect = Prospect {
            wait_s: choice.wait_s,
            prefill_s: choice.prefill_s,
            share_ahead: self.work_mix.share_ahead(aims.rank(now)),
            has_capacity: choice.has_capacity,
            is_reliable: state.busy_until <= now && state.unreliable_until <= now,
        };
        decide(aims, &prospect, now)
    }

    /// Returns why the request cannot get a target before its deadline: all of its targets are out of
    /// service, excluded, or asked for a pause that outlasts the deadline. `None` if it may get one.
    fn unavailability(&self, job: JobId, now: Timestamp) -> Option<Refusal> {
        let request = &self.waiting[&job];
        let members = self.router.targets_of(&request.model).iter();
        let first_pause_end = members
            .map(|target| self.router.targets().get(*target))
            .filter(|state| state.is_in_service() && !request.excluded.contains(&state.id))
            .map(|state| state.paused_until)
            .min();
        match first_pause_end {
            None => Some(Refusal::NoTarget),
            Some(end) if end >= request.deadline => Some(overloaded(end.saturating_sub(now))),
            Some(_) => None,
        }
    }

    /// Sends one request to the selected target. Returns whether it left the queue.
    fn dispatch(
        &mut self,
        job: JobId,
        choice: Choice,
        now: Timestamp,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let Some(request) = self.waiting.remove(&job) else {
            return false;
        };
        let paced_estimate = self
            .router
            .uses_pace(&request.model)
            .then(|| PacedEstimate {
                pace_percent: (choice.pace * 100.0).round() as u32,
                limit: choice.limit,
                wait: Duration::from_secs_f64(choice.wait_s),
                prefill: Duration::from_secs_f64(choice.prefill_s),
            });
        let blocks = &request.prompt.blocks;
        let shared_blocks = blocks.len() as u32;
        let estimate_ages = self.router.estimate_ages(blocks, &choice, now);
        let missing = self
            .router
            .missing_blocks(&route_request(&request), &choice, now);
        let local_prefill_ahead_s = self
            .router
            .targets()
            .get(choice.target)
            .load
            .local_prefill_s(now);
        self.router.on_sent(&route_request(&request), &choice, now);
        self.queue.on_dispatched(&request.workspace, job, now);
        if let Some(aims) = &request.aims {
            let prefill = Duration::from_secs_f64(choice.prefill_s.max(0.0));
            self.work_mix.on_sent(aims.rank(now), prefill, now);
        }
        self.target_budgets.get(&choice.target, now).on_request();
        self.health.entry(choice.target).or_default().on_sent(now);
        let state = self.router.targets().get(choice.target);
        let (target, incarnation) = (state.id.clone(), state.incarnation);
        let source = choice.fetch_from;
        let fetch_from = source.map(|source| self.router.targets().get(source).id.clone());
        let placement = self.running.add(Attempt {
            target: choice.target,
            generation: state.generation,
            incarnation,
            sent_at: now,
            service: Rc::default(),
            model: Some(ModelAttempt {
                earlier_attempts: request.excluded.len() as u32,
                choice,
                local_prefill_ahead_s,
                estimate_ages,
                is_suspect: request.is_suspect,
                retry_deadline: request.deadline + prefill_allowance(request.cost_tokens),
                first_token_at: None,
                silence: Duration::ZERO,
                workspace: request.workspace,
                model: request.model,
                prompt: request.prompt,
            }),
        });
        effects.push(Effect::Dispatch(Dispatch {
            job,
            placement,
            target,
            incarnation,
            cached_blocks: choice.cached_blocks,
            import_blocks: choice.import_blocks,
            fetch_from,
            expected_first_token: Duration::from_secs_f64(choice.first_token_s()),
            missing,
            shared_blocks,
            paced_estimate,
        }));
        true
    }

    fn refuse(&mut self, job: JobId, reason: Refusal, effects: &mut Vec<Effect>) {
        self.waiting.remove(&job);
        effects.push(Effect::Refuse { job, reason });
    }

    /// Records the first token of an attempt.
    pub fn on_first_token(&mut self, placement: u64, now: Timestamp) {
        let Some(attempt) = self.running.get_mut(placement) else {
            return;
        };
        let (target, sent_at) = (attempt.target, attempt.sent_at);
        let Some(model) = &mut attempt.model else {
            return;
        };
        if model.first_token_at.replace(now).is_none() {
            let took_s = now.saturating_sub(sent_at).as_secs_f64();
            let prefill_s = took_s - model.local_prefill_ahead_s;
            self.router
                .on_first_token(&model.model, &model.choice, prefill_s, now);
            let load = &mut self.router.targets_mut().get_mut(target).load;
            load.on_prefilled(now);
            let wait_s = (took_s - model.local_prefill_ahead_s - model.choice.prefill_s).max(0.0);
            let queue_wait_s = load.on_observed_wait(placement, wait_s, now);
            model.silence = Duration::from_secs_f64(wait_s - queue_wait_s);
            self.health.entry(target).or_default().on_response(now);
        }
    }

    /// Records the outcome of an attempt. Returns whether the caller should retry.
    pub fn on_end(
        &mut self,
        placement: u64,
        end: AttemptEnd,
        random: u64,
        now: Timestamp,
        effects: &mut Vec<Effect>,
    ) -> Retry {
        let Some(attempt) = self.running.remove(placement) else {
            return Retry::No;
        };
        self.release(&attempt, now);
        self.update_target_health(&attempt, end, now);
        let Some(model) = &attempt.model else {
            if matches!(end, AttemptEnd::Completed { .. }) {
                self.record_call_time(&attempt, now);
            }
            return Retry::No;
        };
        if let AttemptEnd::Completed {
            incarnation,
            cached_tokens,
        } = end
        {
            self.record_completion(&attempt, model, incarnation, cached_tokens, now, effects);
        }
        if end == AttemptEnd::Crashed {
            return self.on_crash(&attempt, model, random, now, effects);
        }
        if !end.is_retriable() {
            return Retry::No;
        }
        self.decide_retry(&attempt, model, model.is_suspect, random, now)
    }

    /// Removes the attempt from the load of its target.
    fn release(&mut self, attempt: &Attempt, now: Timestamp) {
        let state = self.router.targets_mut().get_mut(attempt.target);
        state.load.on_ended();
        if let Some(model) = &attempt.model {
            if model.first_token_at.is_none() {
                state.load.on_prefilled(now);
            }
            if model.is_suspect {
                state.has_suspect = false;
            }
        }
    }

    /// Updates the health of the target: ejects it after too many failures, and after a failed
    /// connection penalizes it and invalidates its cache entries.
    fn update_target_health(&mut self, attempt: &Attempt, end: AttemptEnd, now: Timestamp) {
        let target = attempt.target;
        let health = self.health.entry(target).or_default();
        match end {
            AttemptEnd::Completed { .. } | AttemptEnd::Failed => health.on_response(now),
            // A refusal does not show that the target works on the requests that it has accepted.
            AttemptEnd::Cancelled | AttemptEnd::Refused => health.on_withdrawn(attempt.sent_at),
            _ => {}
        }
        if end == AttemptEnd::TimedOut && !health.is_timeout_a_failure(attempt.sent_at, now) {
            self.router.targets_mut().get_mut(target).unreliable_until = now + UNRELIABLE_PERIOD;
            return;
        }
        if matches!(end, AttemptEnd::Cancelled | AttemptEnd::Refused) {
            return;
        }
        let should_eject = health.on_outcome(end.is_failure(), now);
        if should_eject && self.may_eject(attempt) {
            self.health.entry(target).or_default().eject(now);
        }
        let state = self.router.targets_mut().get_mut(target);
        match end {
            AttemptEnd::Crashed | AttemptEnd::Interrupted | AttemptEnd::ConnectFailed => {
                state.unreliable_until = now + UNRELIABLE_PERIOD;
                if state.generation == attempt.generation {
                    state.invalidate_cache();
                }
            }
            AttemptEnd::Completed { .. } => state.unreliable_until = Timestamp::ZERO,
            _ => {}
        }
        self.refresh_traffic_fraction(target, now);
    }

    /// Whether the limit on ejected targets allows another one in each group of the target.
    fn may_eject(&self, attempt: &Attempt) -> bool {
        let count_ejected = |group: &[TargetIndex]| {
            let health = group.iter().filter_map(|target| self.health.get(target));
            health.filter(|health| health.is_ejected()).count()
        };
        let is_allowed = |group: &[TargetIndex], max_percent: usize| {
            (count_ejected(group) + 1) * 100 <= group.len() * max_percent
        };
        let mut groups = self
            .ejection_groups
            .iter()
            .filter(|group| group.contains(&attempt.target));
        let service = &attempt.service;
        (service.is_empty() || is_allowed(service, MAX_EJECTED_SERVICE_PERCENT))
            && groups.all(|group| is_allowed(group, MAX_EJECTED_PERCENT))
    }

    fn refresh_traffic_fraction(&mut self, target: TargetIndex, now: Timestamp) {
        if let Some(health) = self.health.get_mut(&target) {
            self.router.targets_mut().get_mut(target).traffic_fraction =
                health.traffic_fraction(now);
        }
    }

    /// Updates the traffic of ejected and returning targets. Called about once per second.
    pub fn on_tick(&mut self, now: Timestamp) {
        self.router.on_tick(now);
        let targets: Vec<_> = self.health.keys().copied().collect();
        for target in targets {
            self.refresh_traffic_fraction(target, now);
        }
    }

    /// Updates the routing state from a complete response, and clears a suspect.
    fn record_completion(
        &mut self,
        attempt: &Attempt,
        model: &ModelAttempt,
        incarnation: u64,
        cached_tokens: Option<u64>,
        now: Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let target = attempt.target;
        let state = self.router.targets_mut().get_mut(target);
        // A response from an earlier incarnation carries no information about the current cache.
        let is_current_generation = attempt.generation == state.generation;
        if is_current_generation {
            state.set_incarnation(incarnation);
            if let Some(cached) = cached_tokens {
                let blocks = &model.prompt.blocks;
                self.router.on_cached(
                    &model.model,
                    blocks,
                    &model.choice,
                    model.estimate_ages,
                    cached,
                    now,
                );
            } else {
                self.router.on_cached_unstated(&model.model);
            }
        }
        if let Some(first) = model.first_token_at {
            let prefill = (first - attempt.sent_at).saturating_sub(model.silence);
            let occupied = now - attempt.sent_at;
            // The usual times are those at a pace of 1.
            let (occupied, prefill) = match model.choice.pace {
                1.0 => (occupied, prefill),
                pace => (occupied.div_f64(pace), prefill.div_f64(pace)),
            };
            self.router.on_completed(&model.model, occupied, prefill);
        }
        let fingerprint = model.prompt.whole;
        if self.suspects.clear(fingerprint, now) {
            effects.push(Effect::Publish(SuspectUpdate {
                fingerprint,
                crashes: 0,
                remaining: Duration::ZERO,
            }));
        }
    }

    /// Records that a request was running at a target that crashed.
    fn on_crash(
        &mut self,
        attempt: &Attempt,
        model: &ModelAttempt,
        random: u64,
        now: Timestamp,
        effects: &mut Vec<Effect>,
    ) -> Retry {
        let fingerprint = model.prompt.whole;
        let target = self.router.targets().get(attempt.target).id.clone();
        // Without a known incarnation, the generation distinguishes crashes of the same target.
        let incarnation = match attempt.incarnation {
            0 => u64::from(attempt.generation),
            incarnation => incarnation,
        };
        let verdict = self
            .suspects
            .on_crash(fingerprint, &target, incarnation, now);
        if verdict.is_new {
            effects.push(Effect::Publish(SuspectUpdate {
                fingerprint,
                crashes: verdict.crashes,
                remaining: verdict.remaining,
            }));
        }
        match self.suspects.state(fingerprint, now) {
            SuspectState::Quarantined { remaining } => Retry::Quarantined {
                retry_after: remaining,
            },
            _ => self.decide_retry(attempt, model, true, random, now),
        }
    }

    /// Returns whether the retry budgets and the deadline allow a retry.
    /// Decides whether another target may be asked for the rest of a response while its run goes on silently.
    pub fn decide_hedge(&mut self, placement: u64, random: u64, now: Timestamp) -> Retry {
        let Some(attempt) = self.running.get_mut(placement).cloned() else {
            return Retry::No;
        };
        let Some(model) = &attempt.model else {
            return Retry::No;
        };
        self.decide_retry(&attempt, model, model.is_suspect, random, now)
    }

    fn decide_retry(
        &mut self,
        attempt: &Attempt,
        model: &ModelAttempt,
        is_suspect: bool,
        random: u64,
        now: Timestamp,
    ) -> Retry {
        let deadline = match model.first_token_at {
            Some(_) => now + RESUME_WINDOW,
            None => model.retry_deadline,
        };
        let Some(delay) = backoff(model.earlier_attempts, random, now, deadline) else {
            return Retry::No;
        };
        let workspace = self.workspace_budgets.get(&model.workspace, now);
        let target = self.target_budgets.get(&attempt.target, now);
        if !workspace.allows(now) || !target.allows(now) {
            return Retry::No;
        }
        workspace.consume();
        target.consume();
        Retry::After { delay, is_suspect }
    }

    /// Applies a change of a suspect sent by another instance.
    pub fn on_suspect_update(&mut self, update: SuspectUpdate, now: Timestamp) {
        self.suspects
            .on_gossip(update.fingerprint, update.crashes, update.remaining, now);
    }

    /// Returns the quarantine state of a request's content.
    pub fn suspect_state(&self, fingerprint: Fingerprint, now: Timestamp) -> SuspectState {
        self.suspects.state(fingerprint, now)
    }

    /// Applies a load report.
    pub fn on_load(&mut self, target: &str, report: &LoadReport, now: Timestamp) {
        if let Some(index) = self.router.targets().index(target) {
            self.router.on_load(index, report, now);
            self.refresh_traffic_fraction(index, now);
        }
    }

    /// Applies a load report except for the load itself: the incarnation and the reported state.
    pub fn on_engine_state(&mut self, target: &str, report: &LoadReport) {
        if let Some(index) = self.router.targets().index(target) {
            let state = self.router.targets_mut().get_mut(index);
            state.set_incarnation(report.incarnation);
            state.set_reported(report.reported_state());
        }
    }

    /// Records that a target is loading weights and refuses requests until the given time.
    pub fn set_busy(&mut self, target: &str, until: Timestamp) {
        if let Some(index) = self.router.targets().index(target) {
            let state = self.router.targets_mut().get_mut(index);
            state.busy_until = state.busy_until.max(until);
        }
    }

    /// Records that a target asked this instance to send it no requests until the given time.
    pub fn set_paused(&mut self, target: &str, until: Timestamp) {
        if let Some(index) = self.router.targets().index(target) {
            let state = self.router.targets_mut().get_mut(index);
            state.paused_until = state.paused_until.max(until);
        }
    }

    /// Returns the time until the first of the targets that asked for a pause accepts requests again.
    /// `None` if one of those in service accepts them now, or if none is in service.
    pub fn remaining_pause(&self, targets: &[TargetId], now: Timestamp) -> Option<Duration> {
        let table = self.router.targets();
        let states = targets
            .iter()
            .filter_map(|id| table.index(id))
            .map(|index| table.get(index))
            .filter(|state| state.is_in_service());
        let end = states.map(|state| state.paused_until).min()?;
        Some(end.saturating_sub(now)).filter(|remaining| !remaining.is_zero())
    }

    /// Records whether a target is shutting down and takes no new work.
    pub fn set_leaving(&mut self, target: &str, is_leaving: bool) {
        if let Some(index) = self.router.targets().index(target) {
            self.router.targets_mut().get_mut(index).is_leaving = is_leaving;
        }
    }
}

fn overloaded(retry_after: Duration) -> Refusal {
    Refusal::Overloaded { retry_after }
}

fn route_request(request: &NewRequest) -> RouteRequest<'_> {
    RouteRequest {
        model: &request.model,
        blocks: &request.prompt.blocks,
        prompt_bytes: request.prompt.prompt_bytes,
        excluded: &request.excluded,
        is_suspect: request.is_suspect,
        is_urgent: false,
        rate_tokens_per_s: 0,
    }
}
