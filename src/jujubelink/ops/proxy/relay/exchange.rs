//! Processing of one relayed request, from its arrival to the response head.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::request::Parts;
use hyper::body::Incoming;

use super::Relay;
use super::admission::{Admission, admit, quota_units};
use super::body::TargetResponse;
use super::send::{SendFailure, SendOutcome};
use super::stop::Progress;
use crate::core::fleet::{TargetAddress, model_key};
use crate::core::ids::{TargetId, Timestamp};
use crate::core::prefix::PromptFingerprints;
use crate::core::relay::{BLOCK_TOKENS, EngineParams, Failure, NoResend, RelayHead};
use crate::core::stop::RequestTimes;
use crate::ops::proxy::handler::Proxy;
use crate::ops::proxy::refusal::{Outcome, Refusal, RefusalCode};
use crate::ops::services::{
    AttemptOutcome, Charge, ChargeError, LimitService, ModelRequest, Placement, PlacementError,
    SchedulerService,
};
use crate::util::duration::ms;
use crate::util::http::collect_limited;

/// Fraction of the latency objective that a request may spend in the queue. A request sent later
/// would miss the objective even at an idle target, and an early refusal with a retry delay serves
/// the client better.
const QUEUE_TIME_RATIO: f64 = 0.75;

/// Limit on the wait for a response head, as a fraction of the remaining time, while another target
/// could still be tried. A request that is sent again may wait in the queue for at least the same
/// fraction, even if the latency objective has passed.
pub(super) const FIRST_ATTEMPT_TIME_RATIO: f64 = 0.45;

/// A request is not sent if less time remains before its deadline, because no target could respond
/// in time.
pub(super) const MIN_SEND_TIME: Duration = Duration::from_millis(10);

/// Retry delay for clients if no target is available.
const NO_TARGET_RETRY_AFTER: Duration = Duration::from_millis(400);

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
    pub(super) arrived: Timestamp,
    pub(super) deadline: Timestamp,
    pub(super) admission: Option<Admission>,
    charge: Option<Charge>,
    pub(super) placement: Option<Placement>,
    is_model_placement: bool,
    pub(super) excluded: Vec<TargetId>,
    /// Number of attempts to send the request to a target, including failed ones.
    pub(super) sends: u32,
    /// Number of sends that a target may have run.
    pub(super) runs: u32,
    pub(super) may_have_run: bool,
    /// Number of the last stream event that the client has received.
    pub(super) last_event: Option<u64>,
    /// Weights version that the last send required.
    pub(super) weights: Option<u64>,
    queue_time: Duration,
    pub(super) progress: Rc<Progress>,
    /// Whether the end of the request was logged.
    is_ended: bool,
}

impl Exchange {
    pub(super) fn new(proxy: &Rc<Proxy>, relay: &Rc<Relay>, parts: Parts, head: RelayHead) -> Self {
        let arrived = proxy.context.timers().boot_now();
        Self {
            proxy: Rc::clone(proxy),
            relay: Rc::clone(relay),
            parts,
            last_event: head.last_event,
            head,
            body: Bytes::new(),
            arrived,
            deadline: Timestamp::MAX,
            admission: None,
            charge: None,
            placement: None,
            is_model_placement: false,
            excluded: Vec::new(),
            sends: 0,
            runs: 0,
            may_have_run: false,
            weights: None,
            queue_time: Duration::ZERO,
            progress: Rc::default(),
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
        let route = Rc::clone(&admission.route);
        let client_timeout = self.head.client_timeout.unwrap_or(route.timeout);
        self.deadline = self.arrived + client_timeout.min(route.timeout);
        self.progress.set_times(RequestTimes {
            kind: route.kind,
            deadline: self.deadline,
            latency_objective: route.latency_objective,
        });
        let body_limit = admission.policy.max_body_bytes;
        let service = admission.service.clone();
        self.admission = Some(admission);
        self.relay.with_resend_budget(&service, |budget| {
            budget.on_request(self.proxy.context.timers().boot_now());
        });
        self.read_body(body, body_limit).await?;
        self.acquire_charge().await?;
        loop {
            self.place().await?;
            match self.send().await {
                Ok(SendOutcome::Response(response)) => return Ok(response),
                Ok(SendOutcome::TargetFailure(response)) => {
                    self.runs += 1;
                    self.may_have_run = true;
                    if let Err(reason) = self.acquire_resend(Failure::MayHaveRun) {
                        self.log_no_resend(reason);
                        return Ok(response);
                    }
                    self.end_placement(AttemptOutcome::Failed);
                }
                Err(failure) => self.handle_failure(failure)?,
            }
        }
    }

    async fn read_body(
        &mut self,
        body: &mut Option<Incoming>,
        limit: usize,
    ) -> Result<(), Refusal> {
        let Some(incoming) = body.take() else {
            return Ok(());
        };
        let remaining = self.remaining();
        let read = collect_limited(incoming, limit);
        let read = self.proxy.context.timers().timeout(remaining, read).await;
        match read {
            Some(Ok(Some(body))) => {
                self.body = body;
                Ok(())
            }
            Some(Ok(None)) => Err(Refusal::not_run(
                RefusalCode::RequestTooLarge,
                format!("the body is larger than {limit} bytes"),
            )),
            Some(Err(_)) => Err(Refusal::not_run(
                RefusalCode::InvalidRequest,
                "the body broke off",
            )),
            None => Err(Refusal::not_run(
                RefusalCode::DeadlineExceeded,
                "the body did not arrive in time",
            )),
        }
    }

    async fn acquire_charge(&mut self) -> Result<(), Refusal> {
        let admission = self.admission()?;
        let units = quota_units(admission, &self.head);
        let Some(workspace) = admission.workspace.clone() else {
            return Ok(());
        };
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

    /// Obtains a placement from the scheduler.
    pub(super) async fn place(&mut self) -> Result<(), Refusal> {
        self.check_stop()?;
        let started = self.now();
        let result = match &self.head.prompt {
            Some(_) if self.is_engine_service()? => self.place_model().await,
            _ => self.place_plain(),
        };
        self.queue_time += self.now().saturating_sub(started);
        result
    }

    fn is_engine_service(&self) -> Result<bool, Refusal> {
        let admission = self.admission()?;
        let service = admission.policy.services.get(&admission.service);
        Ok(service.is_some_and(|service| service.engine.is_some()))
    }

    async fn place_model(&mut self) -> Result<(), Refusal> {
        let Some(prompt) = &self.head.prompt else {
            return self.place_plain();
        };
        let admission = self.admission()?;
        let key = model_key(&admission.service, &prompt.model);
        let scope = format!("{}/{}", key, self.isolation_namespace(admission));
        let fingerprints: Rc<PromptFingerprints> = Rc::new(prompt.fingerprints(&scope));
        // The scheduler's clock stops while the machine is suspended, so it is given the remaining
        // time only. `check_send` computes the remaining time again after the wait.
        let latency_objective = admission.route.latency_objective.mul_f64(QUEUE_TIME_RATIO);
        let first_token_due = (self.arrived + latency_objective).min(self.deadline);
        let mut wait = first_token_due.saturating_sub(self.now());
        if self.sends > 0 {
            let remaining = self.remaining();
            wait = wait.max(remaining.mul_f64(FIRST_ATTEMPT_TIME_RATIO));
        }
        let mut excluded = self.excluded.clone();
        excluded.extend(self.targets_with_stale_weights(admission));
        let request = ModelRequest {
            id: self.head.id.clone(),
            workspace: admission.workspace.clone().unwrap_or_else(|| "".into()),
            model: key,
            prompt: fingerprints,
            cost_tokens: prompt.prompt_tokens + prompt.max_output_tokens,
            first_token_deadline: self.proxy.context.timers().now() + wait,
            excluded,
            is_suspect: false,
        };
        let scheduler = self.proxy.service::<dyn SchedulerService>();
        match scheduler.place(&request).await {
            Ok(placement) => {
                self.placement = Some(placement);
                self.is_model_placement = true;
                Ok(())
            }
            Err(error) => Err(self.with_outcome(placement_refusal(error))),
        }
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

    fn place_plain(&mut self) -> Result<(), Refusal> {
        let service = self.admission()?.service.clone();
        let candidates = self.relay.fleet.state().serving_targets(&service);
        let scheduler = self.proxy.service::<dyn SchedulerService>();
        let placement = scheduler
            .place_plain(&candidates, &self.excluded)
            .or_else(|| scheduler.place_plain(&candidates, &[]));
        match placement {
            Some(placement) => {
                self.placement = Some(placement);
                self.is_model_placement = false;
                Ok(())
            }
            None => {
                let refusal = match scheduler.remaining_pause(&candidates) {
                    Some(pause) => {
                        Refusal::not_run(RefusalCode::Overloaded, "all targets asked for a pause")
                            .with_retry_after(pause)
                    }
                    None => no_target(),
                };
                Err(self.with_outcome(refusal))
            }
        }
    }

    /// Returns the namespace that separates the cached prompts of a workspace with cache isolation.
    fn isolation_namespace(&self, admission: &Admission) -> String {
        let workspace = admission.workspace.as_ref();
        let policy = workspace.and_then(|name| admission.policy.workspaces.get(name));
        match (workspace, policy) {
            (Some(name), Some(policy)) if policy.is_cache_isolated => name.to_string(),
            _ => String::new(),
        }
    }

    /// Returns the parameters for an engine with the given weights. The weights version is part of
    /// the cache salt, because targets and cache stores do not check the weights of cached prompts.
    pub(super) fn engine_params(&self, weights: Option<u64>) -> Result<EngineParams, Refusal> {
        let admission = self.admission()?;
        let isolation_namespace = self.isolation_namespace(admission);
        let version = weights.unwrap_or(0);
        let cache_salt = format!("{version}/{isolation_namespace}");
        let prompt = self.head.prompt.as_ref();
        let placement = self.placement.as_ref();
        let cached_blocks =
            placement.map_or(0, |placement| u64::from(placement.expected_cached_blocks));
        let stores = &self.relay.cache_stores;
        let store = prompt
            .map(|prompt| stores.plan_usage(prompt, &cache_salt, cached_blocks * BLOCK_TOKENS));
        let store = store.unwrap_or_default();
        let workspace = admission.workspace.as_ref();
        let policy = workspace.and_then(|name| admission.policy.workspaces.get(name));
        let rank = policy.and_then(|policy| policy.priority);
        Ok(EngineParams {
            weights,
            cache_salt,
            priority: rank
                .unwrap_or(admission.route.priority)
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

    /// Repeats the checks before a send: the configuration may have changed while the request was
    /// queued, and the machine may have been suspended. Returns the remaining time.
    pub(super) fn check_send(&self) -> Result<Duration, Refusal> {
        let admission = self.admission()?;
        let current = admit(&self.relay.fleet, &self.head, self.parts.uri.path())?;
        if current.service != admission.service || current.workspace != admission.workspace {
            return Err(Refusal::not_run(
                RefusalCode::Overloaded,
                "the configuration changed while the request waited",
            )
            .with_retry_after(Duration::ZERO));
        }
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
        if failure.kind == Failure::MayHaveRun {
            self.runs += 1;
            self.may_have_run = true;
        }
        self.progress.set_passed_on(self.may_have_run);
        slog::info!(self.proxy.context.log(), "send failed"; "request" => &*self.head.id,
            "target" => self.placement.as_ref().map(|placement| placement.target.to_string()),
            "failure" => format!("{:?}", failure.kind), "reason" => &*failure.refusal.message,
            "sends" => self.sends);
        if let Some(placement) = &self.placement
            && failure.exclude_target
        {
            self.excluded.push(placement.target.clone());
        }
        self.end_placement(failure.outcome.clone());
        if failure.is_final {
            return Err(self.with_outcome(failure.refusal));
        }
        self.acquire_resend(failure.kind).map_err(|reason| {
            self.log_no_resend(reason);
            self.with_outcome(failure.refusal)
        })
    }

    /// Sets the outcome of a refusal to that of all sends so far.
    pub(super) fn with_outcome(&self, mut refusal: Refusal) -> Refusal {
        if self.may_have_run {
            refusal.outcome = Outcome::OutcomeUnknown;
            refusal.retry_after = None;
        }
        refusal
    }

    /// Records the first event or byte of the response.
    pub(super) fn record_first_token(&self) {
        if let (Some(placement), true) = (&self.placement, self.is_model_placement) {
            let scheduler = self.proxy.service::<dyn SchedulerService>();
            scheduler.record_first_token(placement);
        }
    }

    /// Reports the end of the send to the scheduler.
    pub(super) fn end_placement(&mut self, outcome: AttemptOutcome) {
        let Some(placement) = self.placement.take() else {
            return;
        };
        let scheduler = self.proxy.service::<dyn SchedulerService>();
        if !self.is_model_placement {
            scheduler.report_plain(placement, outcome);
            return;
        }
        let request = ModelRequest {
            id: self.head.id.clone(),
            workspace: "".into(),
            model: "".into(),
            prompt: Rc::default(),
            cost_tokens: 0,
            first_token_deadline: Timestamp::ZERO,
            excluded: Vec::new(),
            is_suspect: false,
        };
        scheduler.report(&request, placement, outcome);
    }

    /// Logs why a failed request is not sent again.
    pub(super) fn log_no_resend(&self, reason: NoResend) {
        slog::info!(self.proxy.context.log(), "request not sent again"; "request" => &*self.head.id,
            "reason" => reason.to_string(), "sends" => self.sends, "runs" => self.runs,
            "remaining_ms" => ms(self.remaining()));
    }

    /// Logs that a response stopped before it was complete.
    pub(super) fn log_interruption(&self, reason: &str) {
        slog::info!(self.proxy.context.log(), "response interrupted"; "request" => &*self.head.id,
            "target" => self.placement.as_ref().map(|placement| placement.target.to_string()),
            "reason" => reason, "last_event" => self.last_event, "sends" => self.sends,
            "took_ms" => ms(self.now().saturating_sub(self.arrived)),
            "remaining_ms" => ms(self.remaining()));
    }

    /// Logs a response that ends before it is complete: why it ended, and why no target continues it.
    pub(super) fn log_early_end(&mut self, reason: &str, resend: &str) {
        self.is_ended = true;
        slog::info!(self.proxy.context.log(), "response ended early"; "request" => &*self.head.id,
            "reason" => reason, "resend" => resend, "last_event" => self.last_event,
            "sends" => self.sends, "runs" => self.runs,
            "took_ms" => ms(self.now().saturating_sub(self.arrived)),
            "remaining_ms" => ms(self.remaining()));
        self.proxy.context.metrics().count("relay.ended_early", 1);
    }

    /// Logs a request that ended with neither a response nor a refusal, as its client left or its
    /// connection was closed.
    fn log_abandoned(&self) {
        slog::info!(self.proxy.context.log(), "request abandoned"; "request" => &*self.head.id,
            "target" => self.placement.as_ref().map(|placement| placement.target.to_string()),
            "last_event" => self.last_event, "sends" => self.sends,
            "lifecycle" => format!("{:?}", self.proxy.context.shutdown().lifecycle()),
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
            "sends" => self.sends, "queued_ms" => ms(self.queue_time),
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
        let admission = self.admission.as_ref();
        slog::info!(self.proxy.context.log(), "request refused"; "request" => &*self.head.id,
            "code" => refusal.code.to_string(), "outcome" => refusal.outcome.to_string(),
            "reason" => &*refusal.message,
            "route" => admission.map(|admission| admission.route.name.to_string()),
            "workspace" => admission.and_then(|admission| admission.workspace.as_ref()).map(ToString::to_string),
            "sends" => self.sends, "queued_ms" => ms(self.queue_time),
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
        if let Some(charge) = self.charge.take() {
            // A request that was never sent has used nothing.
            let used = match self.sends > 0 {
                true => charge.tokens,
                false => 0,
            };
            self.proxy
                .service::<dyn LimitService>()
                .settle(charge, used);
        }
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
