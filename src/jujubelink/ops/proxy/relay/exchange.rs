//! Processing of one relayed request, from its arrival to the response head.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::request::Parts;
use http_body::Body as _;
use hyper::body::Incoming;

use super::Relay;
use super::admission::{Admission, admit, body_too_large, check_key, check_size, quota_units};
use super::body::TargetResponse;
use super::crashes::CrashCheck;
use super::send::{SendFailure, SendOutcome};
use super::stop::Progress;
use crate::core::canary::VersionChoice;
use crate::core::fleet::{PolicyRoute, TargetAddress, TargetRecord, model_key};
use crate::core::ids::{TargetId, Timestamp};
use crate::core::overload::{queue_deadline, retry_after};
use crate::core::prefix::PromptFingerprints;
use crate::core::relay::{
    AllowedTargets, Attempts, BLOCK_TOKENS, BlockCounting, EngineParams, FIRST_ATTEMPT_TIME_RATIO,
    Failure, MIN_SEND_TIME, NoResend, PromptHead, RelayHead,
};
use crate::core::stop::RequestTimes;
use crate::ops::canary::VersionUse;
use crate::ops::proxy::handler::Proxy;
use crate::ops::proxy::refusal::{Outcome, Refusal, RefusalCode};
use crate::ops::proxy::request_body::read_request_body;
use crate::ops::proxy::waits::{Awaited, ClientSide};
use crate::ops::services::{
    AttemptOutcome, Charge, ChargeError, LimitService, ModelRequest, Placement, PlacementError,
    SchedulerService,
};
use crate::util::duration::ms;
use crate::util::hash::stable_hash;
use crate::util::http::DEFAULT_SEND_TIME;
use crate::util::memory_budget::Reservation;

/// Fraction of the latency objective that a request may spend in the queue. A request sent later
/// would miss the objective even at an idle target, and an early refusal with a retry delay serves
/// the client better.
pub(super) const QUEUE_TIME_RATIO: f64 = 0.75;

/// Time after which an avoided target may be asked again for the rest of a stream.
const AVOIDANCE_TIME: Duration = Duration::from_millis(400);

/// Retry delay for clients if no target is available.
pub(in crate::ops::proxy) const NO_TARGET_RETRY_AFTER: Duration = Duration::from_millis(400);

/// Priorities sent to engines range from 0, the most urgent, to this value. Larger priorities of
/// routes and workspaces are clamped.
const MAX_PRIORITY_RANK: u8 = 9;

/// A relayed request. Dropping it releases its placement and settles its charge.
pub(super) struct Exchange {
    pub(super) proxy: Rc<Proxy>,
    pub(super) relay: Rc<Relay>,
    pub(super) parts: Parts,
    pub(super) head: RelayHead,
    pub(super) body: Bytes,
    /// What the request holds until its response has ended.
    pub(super) memory: Reservation,
    pub(super) arrived: Timestamp,
    pub(super) deadline: Timestamp,
    pub(super) admission: Option<Admission>,
    pub(super) charge: Option<Charge>,
    pub(super) placement: Option<Placement>,
    /// Whether another target is asked to take over from the silent one of `placement`.
    pub(super) is_taking_over: bool,
    /// Targets that were asked to take the request over and may still do so.
    pub(super) asked: Vec<TargetId>,
    /// Targets at which the request has failed.
    pub(super) excluded: Vec<TargetId>,
    /// Targets that get the request again only if no other one is left: they have refused it without running
    /// it, or were silent.
    pub(super) avoided: Vec<TargetId>,
    pub(super) attempts: Attempts,
    /// Whether a target may have run the request, other than one that runs it.
    pub(super) may_have_run: bool,
    /// Whether the client has received the start of a response that is forwarded as it arrives.
    pub(super) is_response_begun: bool,
    /// Number of the last stream event that the client has received.
    pub(super) last_event: Option<u64>,
    /// Weights version that the last send required.
    pub(super) weights: Option<u64>,
    queue_time: Duration,
    pub(super) progress: Rc<Progress>,
    /// Targets to which the request was sent, and when.
    pub(super) sent_to: Vec<(Rc<TargetRecord>, Timestamp)>,
    pub(super) crash_check: CrashCheck,
    /// Versions that the next send may use.
    pub(super) version_choice: RefCell<VersionChoice>,
    /// Counts the sends as open at the versions of their targets.
    pub(super) version_uses: Rc<RefCell<Vec<VersionUse>>>,
    /// Whether the end of the request was logged.
    is_ended: bool,
}

impl Exchange {
    /// Creates the exchange of a request that has arrived. `memory` is what was reserved for it.
    pub(super) fn new(
        proxy: &Rc<Proxy>,
        relay: &Rc<Relay>,
        parts: Parts,
        head: RelayHead,
        memory: Reservation,
    ) -> Self {
        let arrived = proxy.context.timers().boot_now();
        Self {
            proxy: Rc::clone(proxy),
            relay: Rc::clone(relay),
            parts,
            last_event: head.last_event,
            head,
            body: Bytes::new(),
            memory,
            arrived,
            deadline: Timestamp::MAX,
            admission: None,
            charge: None,
            placement: None,
            is_taking_over: false,
            asked: Vec::new(),
            excluded: Vec::new(),
            avoided: Vec::new(),
            attempts: Attempts::default(),
            may_have_run: false,
            is_response_begun: false,
            weights: None,
            queue_time: Duration::ZERO,
            progress: Rc::default(),
            sent_to: Vec::new(),
            crash_check: CrashCheck::default(),
            version_choice: RefCell::default(),
            version_uses: Rc::default(),
            is_ended: false,
        }
    }

    pub(super) fn now(&self) -> Timestamp {
        self.proxy.context.timers().boot_now()
    }

    /// Time until the deadline.
    pub(super) fn remaining(&self) -> Duration {
        self.deadline.saturating_sub(self.now())
    }

    pub(super) fn admission(&self) -> Result<&Admission, Refusal> {
        let admission = self.admission.as_ref();
        admission.ok_or_else(|| Refusal::not_run(RefusalCode::Internal, "not admitted"))
    }

    /// Runs the request up to the response head.
    pub(super) async fn run(
        &mut self,
        body: &mut Option<Incoming>,
    ) -> Result<TargetResponse, Refusal> {
        let admission = admit(&self.relay.fleet, &self.head, self.parts.uri.path())?;
        let body_bytes = body.as_ref().map_or(0, |body| body.size_hint().lower());
        let policy = &admission.policy;
        check_size(&self.relay.fleet, policy, &self.parts, body_bytes)?;
        let route = Rc::clone(&admission.route);
        self.set_times(&route);
        let body_limit = admission.policy.max_body_bytes;
        let service = admission.service.clone();
        self.admission = Some(admission);
        self.relay.with_resend_budget(&service, |budget| {
            budget.on_request(self.proxy.context.timers().boot_now());
        });
        self.read_body(body, body_limit).await?;
        self.acquire_charge().await?;
        loop {
            let placed = self.place().await;
            if self.readmit().await? {
                continue;
            }
            placed?;
            match self.send(|_| true).await {
                Ok(SendOutcome::Response(response)) => return Ok(response),
                Ok(SendOutcome::TargetFailure(response)) => {
                    let placement = self.placement.take();
                    if let Some(placement) = &placement {
                        self.record_version_response(&placement.target, true);
                        self.record_failed_run(&placement.target);
                    }
                    if let Err(reason) = self.acquire_resend(Failure::MayHaveRun) {
                        self.placement = placement;
                        self.log_no_resend(reason);
                        return Ok(response);
                    }
                    if let Some(placement) = placement {
                        self.release(placement, AttemptOutcome::Failed);
                    }
                }
                Err(failure) => self.handle_failure(failure)?,
            }
        }
    }

    /// Sets the deadline of a request that is admitted by a route.
    pub(super) fn set_times(&mut self, route: &PolicyRoute) {
        let client_timeout = self.head.client_timeout.unwrap_or(route.timeout);
        self.deadline = self.arrived + client_timeout.min(route.timeout);
        self.progress.set_times(RequestTimes {
            kind: route.kind,
            deadline: self.deadline,
            latency_objective: route.latency_objective,
        });
    }

    /// Time for which the client may go on sending the body.
    pub(super) fn send_time(&self) -> Duration {
        let route_timeout = self
            .admission
            .as_ref()
            .map(|admission| admission.route.timeout);
        let client_timeout = self.head.client_timeout.or(route_timeout);
        let elapsed = self.now().saturating_sub(self.arrived);
        client_timeout.map_or(DEFAULT_SEND_TIME, |timeout| timeout.saturating_sub(elapsed))
    }

    /// Reads the whole body. On an error, the rest of it stays in `body`.
    async fn read_body(
        &mut self,
        body: &mut Option<Incoming>,
        limit: usize,
    ) -> Result<(), Refusal> {
        let Some(incoming) = body.as_mut() else {
            return Ok(());
        };
        self.progress.wait.set(Awaited::Body);
        let remaining = self.remaining();
        let admission = self.admission.as_ref();
        let workspace = admission.and_then(|admission| admission.workspace.clone());
        self.memory.set_workspace(workspace);
        let read = read_request_body(incoming, limit, &self.memory);
        let read = self.proxy.context.timers().timeout(remaining, read).await;
        match read {
            Some(Ok(Some(bytes))) => {
                self.body = bytes;
                body.take();
                Ok(())
            }
            Some(Ok(None)) => Err(body_too_large(&self.relay.fleet, limit)),
            Some(Err(failure)) => Err(failure.refuse(self.proxy.context.metrics())),
            None => Err(Refusal::not_run(
                RefusalCode::DeadlineExceeded,
                "the body did not arrive in time",
            )),
        }
    }

    pub(super) async fn acquire_charge(&mut self) -> Result<(), Refusal> {
        let admission = self.admission()?;
        let units = quota_units(admission, &self.head);
        let Some(workspace) = admission.workspace.clone() else {
            return Ok(());
        };
        self.progress.wait.set(Awaited::Limit);
        let limits = self.proxy.service::<dyn LimitService>();
        match limits.charge(&workspace, units, self.deadline).await {
            Ok(charge) => {
                self.charge = Some(charge);
                Ok(())
            }
            Err(ChargeError::RateLimited { retry_after }) => Err(Refusal::not_run(
                RefusalCode::RateLimited,
                "the workspace has used its rate",
            )
            .with_retry_after(retry_after)),
            Err(_) => Err(Refusal::not_run(
                RefusalCode::NotReady,
                "the other instances are not known yet",
            )
            .with_retry_after(NO_TARGET_RETRY_AFTER)),
        }
    }

    /// Ends the charge. A request that has not arrived at a target has used nothing.
    pub(super) fn settle_charge(&mut self) {
        let Some(charge) = self.charge.take() else {
            return;
        };
        let used = match self.attempts.may_have_arrived() {
            true => charge.tokens,
            false => 0,
        };
        let limits = self.proxy.service::<dyn LimitService>();
        limits.settle(charge, used);
    }

    /// Obtains a placement from the scheduler, unless the request is to be admitted again first.
    pub(super) async fn place(&mut self) -> Result<(), Refusal> {
        self.progress.wait.set(match self.attempts.sends() {
            0 => Awaited::Place,
            _ => Awaited::Resend,
        });
        let delay = self.attempts.connection_delay().min(self.remaining());
        if !delay.is_zero() {
            self.proxy.context.timers().sleep(delay).await;
        }
        self.check_stop()?;
        self.check_crashes()?;
        let started = self.now();
        let result = self.choose_admitted_target().await;
        self.queue_time += self.now().saturating_sub(started);
        self.placement = result?;
        Ok(())
    }

    /// Obtains a placement at a target other than the current one.
    pub(super) async fn choose_target(&self) -> Result<Placement, Refusal> {
        self.choose_version();
        let placement = self.choose_permitted_target().await;
        match placement {
            Err(_) if self.choose_other_version() => self.choose_permitted_target().await,
            placement => placement,
        }
    }

    /// Obtains a placement at a target of the chosen version.
    async fn choose_permitted_target(&self) -> Result<Placement, Refusal> {
        if !self.is_model_request() {
            return self.place_plain();
        }
        let remaining = self.remaining();
        if self.avoided.is_empty() {
            let wait = self.queue_limit(remaining);
            return self.place_model(self.excluded_targets(), wait).await;
        }
        let avoided_until = self.now() + self.avoidance_time(remaining);
        let avoided = self.avoided.iter().cloned();
        let unavailable = self.excluded_targets().into_iter().chain(avoided);
        let wait = remaining.mul_f64(FIRST_ATTEMPT_TIME_RATIO);
        let placement = self.place_model(unavailable.collect(), wait).await;
        // A response that has begun cannot be refused any more, so its request waits for a target that
        // had no place before.
        match placement {
            Err(_) if self.may_have_run => {
                let wait = avoided_until.saturating_sub(self.now());
                self.proxy.context.timers().sleep(wait).await;
                let wait = self.queue_limit(self.remaining());
                self.place_model(self.excluded_targets(), wait).await
            }
            placement => placement,
        }
    }

    /// Returns how long a request that is sent again may wait in the queue. A response that has begun
    /// cannot be refused any more, so it waits until its deadline.
    fn queue_limit(&self, remaining: Duration) -> Duration {
        match self.is_response_begun {
            true => remaining,
            false => remaining.mul_f64(FIRST_ATTEMPT_TIME_RATIO),
        }
    }

    /// Returns how long the rest of a response is withheld from the avoided targets, if no other one is
    /// left. The last send waits longer, as the response ends if it fails.
    fn avoidance_time(&self, remaining: Duration) -> Duration {
        match (self.is_response_begun, self.attempts.is_last_send()) {
            (false, _) => Duration::ZERO,
            (true, false) => AVOIDANCE_TIME.min(remaining),
            (true, true) => remaining.mul_f64(FIRST_ATTEMPT_TIME_RATIO),
        }
    }

    pub(super) fn is_model_request(&self) -> bool {
        let Some(admission) = &self.admission else {
            return false;
        };
        let service = admission.policy.services.get(&admission.service);
        self.head.prompt.is_some() && service.is_some_and(|service| service.engine.is_some())
    }

    /// Whether the request has been sent to a target before.
    pub(super) fn was_sent_to(&self, target: &TargetId) -> bool {
        self.sent_to.iter().any(|(record, _)| record.id == *target)
    }

    /// Whether a target is listed at which the request has not failed, and that may run it.
    pub(super) fn has_other_target(&self) -> bool {
        let Ok(admission) = self.admission() else {
            return false;
        };
        let excluded = self.excluded_targets();
        let targets = self.relay.fleet.state().serving_targets(&admission.service);
        targets.iter().any(|target| !excluded.contains(target))
    }

    /// Returns the targets at which the request has failed, those that run it, and those that it may not
    /// be sent to.
    fn excluded_targets(&self) -> Vec<TargetId> {
        let failed = self.excluded.iter().chain(&self.asked).cloned();
        let mut excluded: Vec<_> = failed.chain(self.current_target()).collect();
        excluded.extend(self.other_versions());
        if let Ok(allowed @ AllowedTargets::Only(_)) = self.check_attempts(Failure::NotSent) {
            let state = self.relay.fleet.state();
            let others = state.targets().map(|record| &record.id);
            excluded.extend(others.filter(|id| !allowed.contains(id)).cloned());
        }
        excluded
    }

    /// Queues the request for a target. A request that is sent again waits for `resend_wait` at least.
    async fn place_model(
        &self,
        mut excluded: Vec<TargetId>,
        resend_wait: Duration,
    ) -> Result<Placement, Refusal> {
        let Some(prompt) = &self.head.prompt else {
            return self.place_plain();
        };
        let admission = self.admission()?;
        let key = model_key(&admission.service, &prompt.model);
        let scope = format!("{}/{}", key, self.cache_namespace(admission));
        let counting = BlockCounting::for_fleet(self.relay.peers.fleet_size());
        let fingerprints: Rc<PromptFingerprints> = Rc::new(prompt.fingerprints(&scope, counting));
        // The scheduler's clock stops while the machine is suspended, so it is given the remaining
        // time only. `check_send` computes the remaining time again after the wait.
        let latency_objective = admission.route.latency_objective.mul_f64(QUEUE_TIME_RATIO);
        let first_token_due = (self.arrived + latency_objective).min(self.deadline);
        let (now, scheduler_now) = (self.now(), self.proxy.context.timers().now());
        let aims = self.aims(admission);
        let queued_until = aims.as_ref().map_or(first_token_due, queue_deadline);
        let mut wait = queued_until.saturating_sub(now);
        if self.attempts.sends() > 0 {
            wait = wait.max(resend_wait);
        }
        excluded.extend(self.targets_with_stale_weights(admission));
        let request = ModelRequest {
            id: self.head.id.clone(),
            workspace: admission.workspace.clone().unwrap_or_else(|| "".into()),
            model: key,
            prompt: fingerprints,
            cost_tokens: prompt.prompt_tokens + prompt.max_output_tokens,
            first_token_deadline: scheduler_now + wait,
            excluded,
            is_suspect: false,
            aims: aims.map(|aims| aims.on_clock(now, scheduler_now)),
        };
        let scheduler = self.proxy.service::<dyn SchedulerService>();
        let placement = scheduler.place(&request).await;
        if let Some(aims) = &aims {
            self.log_wait(aims, now, placement.as_ref().err());
        }
        placement.map_err(|error| self.with_outcome(placement_refusal(error)))
    }

    /// Returns the engines whose weights are too old to be used.
    fn targets_with_stale_weights(&self, admission: &Admission) -> Vec<TargetId> {
        let state = self.relay.fleet.state();
        let Some(prompt) = &self.head.prompt else {
            return Vec::new();
        };
        state
            .targets()
            .filter(|record| record.service == admission.service)
            .filter(|record| {
                state
                    .weights_of(record, &prompt.model)
                    .is_some_and(|weights| {
                        !self.relay.fleet.may_use_weights(&prompt.model, weights)
                    })
            })
            .map(|record| record.id.clone())
            .collect()
    }

    fn place_plain(&self) -> Result<Placement, Refusal> {
        let service = self.admission()?.service.clone();
        let mut candidates = self.relay.fleet.state().serving_targets(&service);
        candidates.retain(|target| self.permits_version(target));
        if let Ok(allowed) = self.check_attempts(Failure::NotSent) {
            candidates.retain(|target| allowed.contains(target));
        }
        let scheduler = self.proxy.service::<dyn SchedulerService>();
        let placement = scheduler
            .place_plain(
                &candidates,
                &[self.excluded_targets(), self.avoided.clone()].concat(),
            )
            .or_else(|| match self.is_taking_over {
                // A target that runs the request and may go on is no replacement for itself.
                true => None,
                false => scheduler.place_plain(&candidates, &[]),
            });
        placement.ok_or_else(|| {
            let refusal = match scheduler.remaining_pause(&candidates) {
                Some(pause) => {
                    Refusal::not_run(RefusalCode::Overloaded, "all targets asked for a pause")
                        .with_retry_after(pause)
                }
                None => no_target(),
            };
            self.with_outcome(refusal)
        })
    }

    /// Returns the parameters for an engine with the given weights. The weights version is part of
    /// the cache salt, because targets and cache stores do not check the weights of cached prompts.
    pub(super) fn engine_params(&self, weights: Option<u64>) -> Result<EngineParams, Refusal> {
        let admission = self.admission()?;
        let cache_namespace = self.cache_namespace(admission);
        let version = weights.unwrap_or(0);
        let cache_salt = format!("{version}/{cache_namespace}");
        let prompt = self.head.prompt.as_ref();
        let placement = self.placement.as_ref();
        let cached_blocks =
            placement.map_or(0, |placement| u64::from(placement.expected_cached_blocks));
        let stores = &self.relay.cache_stores;
        let store = prompt
            .map(|prompt| stores.plan_usage(prompt, &cache_salt, cached_blocks * BLOCK_TOKENS));
        let store = store.unwrap_or_default();
        let aims = self.aims(admission);
        Ok(EngineParams {
            weights,
            cache_salt,
            priority: aims
                .map_or_else(|| admission.priority(), |aims| aims.rank(self.now()))
                .min(MAX_PRIORITY_RANK),
            fetch_from: self.fetch_address(weights).or(store.fetch_from),
            save_to: store.save_to,
        })
    }

    /// Returns the address of the engine to fetch cached blocks from, if it has the same weights.
    fn fetch_address(&self, weights: Option<u64>) -> Option<TargetAddress> {
        let source = self.placement.as_ref()?.fetch_from.as_ref()?;
        let model = &self.head.prompt.as_ref()?.model;
        let state = self.relay.fleet.state();
        let record = state.target(source)?;
        (state.weights_of(record, model) == weights).then_some(record.address)
    }

    /// Whether a target may have run the request, or runs it.
    pub(super) fn has_begun(&self) -> bool {
        self.may_have_run || self.is_taking_over
    }

    /// Checks whether the active configuration still admits the request to its service. A request that
    /// may have run is finished as it was admitted, as long as its key is valid.
    fn check_admission(&self) -> Result<(), Refusal> {
        let admission = self.admission()?;
        let fleet = &self.relay.fleet;
        let is_unchanged = if self.has_begun() {
            let is_key_checked = admission.workspace.is_some();
            !is_key_checked || admission.workspace == Some(check_key(fleet, &self.head)?)
        } else {
            let current = admit(fleet, &self.head, self.parts.uri.path())?;
            current.service == admission.service && current.workspace == admission.workspace
        };
        match is_unchanged {
            true => Ok(()),
            false => Err(Refusal::not_run(
                RefusalCode::Overloaded,
                "the configuration changed while the request waited",
            )
            .with_retry_after(Duration::ZERO)),
        }
    }

    /// Repeats the checks before a send: the configuration may have changed while the request was
    /// queued, and the machine may have been suspended. Returns the remaining time.
    pub(super) fn check_send(&self) -> Result<Duration, Refusal> {
        self.check_admission()?;
        self.check_crashes()?;
        let remaining = self.remaining().min(self.check_stop()?);
        if remaining < MIN_SEND_TIME {
            return Err(Refusal::not_run(
                RefusalCode::DeadlineExceeded,
                "the deadline passed before the request was sent",
            ));
        }
        Ok(remaining)
    }

    fn handle_failure(&mut self, failure: SendFailure) -> Result<(), Refusal> {
        self.record_failure(&failure);
        if failure.is_final {
            return Err(self.with_outcome(failure.refusal));
        }
        self.acquire_resend(failure.kind).map_err(|reason| {
            self.log_no_resend(reason);
            self.with_outcome(failure.refusal)
        })
    }

    /// Records a failed send and ends its placement.
    pub(super) fn record_failure(&mut self, failure: &SendFailure) {
        let placement = self.placement.take();
        self.record_failure_at(placement, failure);
    }

    /// Records a failed send at a placement, and ends it.
    pub(super) fn record_failure_at(
        &mut self,
        placement: Option<Placement>,
        failure: &SendFailure,
    ) {
        let target = placement.as_ref().map(|placement| placement.target.clone());
        if let (Failure::MayHaveRun, Some(target)) = (failure.kind, &target) {
            match failure.outcome {
                AttemptOutcome::Cancelled => self.record_cancelled_run(target),
                AttemptOutcome::Interrupted => self.record_failed_run(target),
                _ => {
                    self.record_version_response(target, true);
                    self.record_failed_run(target);
                }
            }
        }
        if let (AttemptOutcome::ConnectFailed, Some(target)) = (&failure.outcome, &target) {
            self.attempts.on_connection_failed(target);
        }
        // A silent target may run the request while another one fails to take it over.
        let is_passed_on = self.may_have_run || self.is_taking_over;
        self.progress.set_passed_on(is_passed_on);
        slog::info!(self.proxy.context.log(), "send failed"; "request" => &*self.head.id,
            "target" => target.as_ref().map(ToString::to_string),
            "failure" => format!("{:?}", failure.kind), "reason" => &*failure.refusal.message,
            "parts" => self.shared_part_names(), "sends" => self.attempts.sends());
        if let Some(target) = target {
            if failure.outcome == AttemptOutcome::Interrupted {
                self.record_interruption(&target);
            }
            match failure.kind {
                _ if !failure.exclude_target => {}
                Failure::NotRun => self.avoided.push(target),
                Failure::NotSent | Failure::MayHaveRun => self.excluded.push(target),
            }
        }
        if let Some(placement) = placement {
            self.release(placement, failure.outcome.clone());
        }
    }

    /// Sets the outcome of a refusal to that of all sends so far. Where requests are ordered by urgency,
    /// the returns of refused clients are spread over time.
    pub(super) fn with_outcome(&self, mut refusal: Refusal) -> Refusal {
        let is_spread = matches!(
            refusal.code,
            RefusalCode::Overloaded | RefusalCode::NoTarget
        );
        if let (true, Some(expected)) = (is_spread && self.has_pressure(), refusal.retry_after) {
            let hash = stable_hash(0, self.head.id.as_bytes());
            refusal.retry_after = Some(retry_after(expected, self.remaining(), hash));
        }
        if self.may_have_run {
            refusal.outcome = Outcome::OutcomeUnknown;
            refusal.retry_after = None;
        }
        refusal
    }

    /// Records the first event or byte of the response.
    pub(super) fn record_first_token(&self) {
        if let Some(placement) = &self.placement {
            self.record_version_response(&placement.target, false);
        }
        if let (Some(placement), true) = (&self.placement, self.is_model_request()) {
            let scheduler = self.proxy.service::<dyn SchedulerService>();
            scheduler.record_first_token(placement);
        }
    }

    /// Logs why a failed request is not sent again.
    pub(super) fn log_no_resend(&self, reason: NoResend) {
        slog::info!(self.proxy.context.log(), "request not sent again"; "request" => &*self.head.id,
            "reason" => reason.to_string(), "sends" => self.attempts.sends(), "attempts" => self.attempts.used(),
            "remaining_ms" => ms(self.remaining()));
    }

    /// Logs what happens with a target that has not responded in time. `sent_at` is when the request
    /// was sent to `other`.
    pub(super) fn log_silent_target(
        &self,
        message: &'static str,
        other: Option<TargetId>,
        reason: &str,
        sent_at: Option<Timestamp>,
    ) {
        let awaited = sent_at.map(|at| self.now().saturating_sub(at));
        slog::info!(self.proxy.context.log(), "{}", message; "request" => &*self.head.id,
            "target" => other.map(|target| target.to_string()),
            "silent_target" => self.current_target().map(|target| target.to_string()),
            "reason" => reason, "awaited_ms" => awaited.map(ms), "last_event" => self.last_event,
            "sends" => self.attempts.sends(), "attempts" => self.attempts.used(), "remaining_ms" => ms(self.remaining()));
    }

    /// Logs that a response stopped before it was complete.
    pub(super) fn log_interruption(&self, reason: &str) {
        slog::info!(self.proxy.context.log(), "response interrupted"; "request" => &*self.head.id,
            "target" => self.placement.as_ref().map(|placement| placement.target.to_string()),
            "parts" => self.shared_part_names(), "reason" => reason,
            "last_event" => self.last_event, "sends" => self.attempts.sends(),
            "took_ms" => ms(self.now().saturating_sub(self.arrived)),
            "remaining_ms" => ms(self.remaining()));
    }

    /// Returns the names of the shared parts of the prompt for the log.
    pub(super) fn shared_part_names(&self) -> Option<String> {
        let prompt = self.head.prompt.as_ref();
        prompt.map(PromptHead::shared_part_names)
    }

    /// Logs that another target continues a stream.
    pub(super) fn log_resumed(&self) {
        slog::info!(self.proxy.context.log(), "stream resumed"; "request" => &*self.head.id,
            "last_event" => self.last_event, "sends" => self.attempts.sends(),
            "target" => self.placement.as_ref().map(|placement| placement.target.to_string()));
    }

    /// Logs a response that ends before it is complete: why it ended, and why no target continues it.
    pub(super) fn log_early_end(&mut self, reason: &str, resend: &str) {
        self.is_ended = true;
        slog::info!(self.proxy.context.log(), "response ended early"; "request" => &*self.head.id,
            "reason" => reason, "resend" => resend, "last_event" => self.last_event,
            "sends" => self.attempts.sends(), "attempts" => self.attempts.used(),
            "took_ms" => ms(self.now().saturating_sub(self.arrived)),
            "remaining_ms" => ms(self.remaining()));
        self.proxy.context.metrics().count("relay.ended_early", 1);
    }

    /// Logs a request that ended with neither a response nor a refusal: who ended it, and what it waited
    /// for.
    fn log_abandoned(&self) {
        let awaited = self.progress.wait.get();
        let lifecycle = self.proxy.context.shutdown().lifecycle();
        let client = ClientSide::of(&self.parts);
        let ended_by = client.ended_by(awaited, lifecycle, self.remaining().is_zero());
        slog::info!(self.proxy.context.log(), "request abandoned"; "request" => &*self.head.id,
            "reason" => ended_by.to_string(), "awaited" => awaited.to_string(),
            "route" => self.admission.as_ref().map(|admission| admission.route.name.to_string()),
            "target" => self.placement.as_ref().map(|placement| placement.target.to_string()),
            "last_event" => self.last_event, "sends" => self.attempts.sends(),
            "lifecycle" => format!("{lifecycle:?}"), "queued_ms" => ms(self.queue_time),
            "took_ms" => ms(self.now().saturating_sub(self.arrived)),
            "remaining_ms" => ms(self.remaining()));
        self.proxy.context.metrics().count("relay.abandoned", 1);
    }

    /// Logs a request that a target answered.
    pub(super) fn log_response(&mut self, outcome: &str, status: u16) {
        self.is_ended = true;
        let now = self.now();
        let admission = self.admission.as_ref();
        slog::info!(self.proxy.context.log(), "request answered"; "request" => &*self.head.id,
            "outcome" => outcome, "status" => status,
            "route" => admission.map(|admission| admission.route.name.to_string()),
            "workspace" => admission.and_then(|admission| admission.workspace.as_ref()).map(ToString::to_string),
            "target" => self.placement.as_ref().map(|placement| placement.target.to_string()),
            "weights" => self.weights, "superseded_ms" => self.superseded_age().map(ms),
            "sends" => self.attempts.sends(), "queued_ms" => ms(self.queue_time),
            "took_ms" => ms(now.saturating_sub(self.arrived)),
            "config" => admission.map(|admission| admission.policy.version),
            "config_age_ms" => self.relay.fleet.config_age().map(ms),
            "targets_age_ms" => ms(self.relay.fleet.targets_age()));
        let elapsed = now.saturating_sub(self.arrived);
        self.proxy.context.metrics().time("relay.answered", elapsed);
    }

    /// Time since newer weights than those of the last send were announced.
    fn superseded_age(&self) -> Option<Duration> {
        let prompt = self.head.prompt.as_ref()?;
        self.relay
            .fleet
            .superseded_age(&prompt.model, self.weights?)
    }

    /// Logs a request that was refused or failed in the router.
    pub(super) fn log_refusal(&mut self, refusal: &Refusal) {
        self.is_ended = true;
        if ClientSide::of(&self.parts).loss().is_some() {
            // The refusal has no receiver, for example if the client left within the body.
            return self.log_abandoned();
        }
        let admission = self.admission.as_ref();
        slog::info!(self.proxy.context.log(), "request refused"; "request" => &*self.head.id,
            "code" => refusal.code.to_string(), "outcome" => refusal.outcome.to_string(),
            "reason" => &*refusal.message,
            "route" => admission.map(|admission| admission.route.name.to_string()),
            "workspace" => admission.and_then(|admission| admission.workspace.as_ref()).map(ToString::to_string),
            "sends" => self.attempts.sends(), "queued_ms" => ms(self.queue_time),
            "took_ms" => ms(self.now().saturating_sub(self.arrived)),
            "retry_after_ms" => refusal.retry_after.map(ms),
            "config" => self.relay.fleet.state().config_version(),
            "config_age_ms" => self.relay.fleet.config_age().map(ms));
        let name = format!("relay.refused.{}", refusal.code);
        self.proxy.context.metrics().count(&name, 1);
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        if !self.is_ended {
            self.log_abandoned();
        }
        self.end_placement(AttemptOutcome::Cancelled);
        self.settle_charge();
    }
}

fn placement_refusal(error: PlacementError) -> Refusal {
    match error {
        PlacementError::Overloaded { retry_after } => Refusal::not_run(
            RefusalCode::Overloaded,
            "no target can take the request in time",
        )
        .with_retry_after(retry_after),
        PlacementError::NoTarget => no_target(),
        PlacementError::Quarantined { retry_after } => {
            Refusal::not_run(RefusalCode::Quarantined, "the request has crashed targets")
                .with_retry_after(retry_after)
        }
        PlacementError::NoRetryBudget => Refusal::not_run(
            RefusalCode::Overloaded,
            "the budget for sending again is used up",
        ),
    }
}

fn no_target() -> Refusal {
    Refusal::not_run(RefusalCode::NoTarget, "no target is in service")
        .with_retry_after(NO_TARGET_RETRY_AFTER)
}
