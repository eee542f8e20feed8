//! Connects the core scheduler with its callers and with other services.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use http::Request;
use serde_json::json;

use super::convert::refusal_name;
use super::log_limiter::LogRateLimiter;
use super::oneshot::Oneshot;
use crate::core::config::{ConfigSnapshot, TargetKind};
use crate::core::ids::{Fingerprint, RequestId, TargetId, Timestamp, WorkspaceId};
use crate::core::prompt::cache_namespace;
use crate::core::queue::JobId;
use crate::core::routing::LoadReport;
use crate::core::scheduler::{AttemptEnd, Dispatch, Effect, Scheduler};
use crate::ops::kernel::Context;
use crate::ops::services::{
    AttemptOutcome, ConfigService, GossipService, ModelRequest, Placement, PlacementError,
    QueueFigures, RetryAdvice, SchedulerService,
};
use crate::util::http::{Client, RequestOptions, full};

/// Interval at which dispatching is retried while requests are queued and no other event triggers
/// it.
const DISPATCH_PERIOD: Duration = Duration::from_millis(10);

/// Timeout for a transfer from the KV cache store. After it, the engine computes the blocks itself.
const IMPORT_TIMEOUT: Duration = Duration::from_millis(500);

type PlacementResult = Result<Placement, PlacementError>;

/// State shared by the service and the polling tasks.
pub(super) struct SchedulerState {
    pub(super) context: Context,
    pub(super) scheduler: RefCell<Scheduler>,
    pub(super) client: Client,
    pub(super) log_limiter: LogRateLimiter,
    queued_requests: RefCell<HashMap<JobId, QueuedRequest>>,
    is_dispatch_scheduled: Cell<bool>,
}

struct QueuedRequest {
    request: RequestId,
    result: Oneshot<PlacementResult>,
    arrived: Timestamp,
    /// Workspace and blocks of the prompt, for a transfer from the KV cache store.
    workspace: WorkspaceId,
    fingerprints: Vec<Fingerprint>,
}

impl SchedulerState {
    pub(super) fn new(context: &Context) -> Rc<Self> {
        let scheduler = match context.settings().fleet {
            Some(_) => Scheduler::new().with_engine_fetch(),
            None => Scheduler::new(),
        };
        Rc::new(Self {
            context: context.clone(),
            scheduler: RefCell::new(scheduler),
            client: Client::new(),
            log_limiter: LogRateLimiter::default(),
            queued_requests: RefCell::default(),
            is_dispatch_scheduled: Cell::new(false),
        })
    }

    pub(super) fn now(&self) -> Timestamp {
        self.context.timers().now()
    }

    pub(super) fn config(&self) -> Option<Rc<ConfigSnapshot>> {
        self.context.service::<dyn ConfigService>().current()
    }

    pub(super) fn address(&self, target: &TargetId) -> Option<SocketAddr> {
        let config = self.config()?;
        config
            .fleet
            .targets
            .get(target)
            .map(|target| target.address)
    }

    /// Logs a repeated failure, with a rate limit for each kind.
    pub(super) fn warn(&self, kind: &'static str, target: &str, error: &dyn std::fmt::Display) {
        if let Some(suppressed) = self.log_limiter.allow(kind, self.now()) {
            slog::warn!(self.context.log(), "{}", kind; "target" => target,
                "error" => %error, "left_out" => suppressed);
        }
    }

    /// Dispatches queued requests for which a target is available, and applies the resulting
    /// effects.
    pub(super) fn dispatch_waiting(self: &Rc<Self>) {
        let mut effects = Vec::new();
        let mut scheduler = self.scheduler.borrow_mut();
        scheduler.dispatch_waiting(rand::random(), self.now(), &mut effects);
        drop(scheduler);
        self.apply_effects(effects);
    }

    fn apply_effects(self: &Rc<Self>, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Dispatch(dispatch) => self.deliver_placement(dispatch),
                Effect::Refuse { job, reason } => {
                    let name = format!("scheduler.refused.{}", refusal_name(reason));
                    self.context.metrics().count(&name, 1);
                    if let Some(queued_request) = self.queued_requests.borrow_mut().remove(&job) {
                        queued_request.result.send(Err(reason.into()));
                    }
                }
                Effect::Publish(update) => {
                    let gossip = self.context.service::<dyn GossipService>();
                    gossip.publish(update.into());
                }
            }
        }
        self.schedule_dispatch();
    }

    /// Passes a placement to the waiting caller, after a transfer of cached blocks if one was
    /// planned.
    fn deliver_placement(self: &Rc<Self>, dispatch: Dispatch) {
        let Some(queued_request) = self.queued_requests.borrow_mut().remove(&dispatch.job) else {
            self.cancel(dispatch.placement);
            return;
        };
        let queue_wait = self.now().saturating_sub(queued_request.arrived);
        self.context
            .metrics()
            .time("scheduler.queue_wait", queue_wait);
        self.record_placement(&queued_request.request, &dispatch);
        let placement = Placement::from(&dispatch);
        if dispatch.import_blocks == 0 {
            queued_request.result.send(Ok(placement));
            return;
        }
        let state = Rc::clone(self);
        compio::runtime::spawn(async move {
            let range = dispatch.cached_blocks as usize..dispatch.import_blocks as usize;
            let blocks = queued_request.fingerprints.get(range).unwrap_or_default();
            let import = state.import(&dispatch.target, &queued_request.workspace, blocks);
            state.context.timers().timeout(IMPORT_TIMEOUT, import).await;
            queued_request.result.send(Ok(placement));
        })
        .detach();
    }

    /// Counts the shared blocks that the target of a placement lacks, by cause, and logs the placement.
    fn record_placement(&self, request: &RequestId, dispatch: &Dispatch) {
        let metrics = self.context.metrics();
        metrics.count("scheduler.shared_blocks", dispatch.shared_blocks.into());
        if let Some(missing) = &dispatch.missing {
            let name = format!("scheduler.missing_blocks.{}", missing.cause);
            metrics.count(&name, missing.blocks.into());
        }
        self.log_placement(request, dispatch);
    }

    /// Logs the estimates that decided a placement by the paces of targets, and otherwise a placement at a
    /// target that lacks shared blocks.
    fn log_placement(&self, request: &RequestId, dispatch: &Dispatch) {
        let missing_blocks = dispatch.missing.map_or(0, |missing| missing.blocks);
        let cause = dispatch.missing.map(|missing| missing.cause.to_string());
        let Some(estimate) = &dispatch.paced_estimate else {
            if dispatch.missing.is_some() {
                slog::info!(self.context.log(), "request placed without cached parts";
                    "request" => &**request, "target" => &*dispatch.target,
                    "cached_blocks" => dispatch.cached_blocks,
                    "missing_blocks" => missing_blocks, "missing" => cause);
            }
            return;
        };
        self.context
            .metrics()
            .time("scheduler.expected_wait", estimate.wait);
        slog::info!(self.context.log(), "request placed by pace"; "request" => &**request,
            "target" => &*dispatch.target, "pace_percent" => estimate.pace_percent,
            "limit" => estimate.limit, "wait_ms" => estimate.wait.as_millis() as u64,
            "prefill_ms" => estimate.prefill.as_millis() as u64,
            "cached_blocks" => dispatch.cached_blocks,
            "missing_blocks" => missing_blocks, "missing" => cause);
    }

    /// Has an engine fetch blocks from the KV cache store. A failure only costs time, because the
    /// engine computes the blocks instead.
    async fn import(&self, target: &TargetId, workspace: &str, blocks: &[Fingerprint]) {
        let Some(config) = self.config() else { return };
        let mut targets = config.fleet.targets.values();
        let store = targets.find(|target| target.kind == TargetKind::KvStore);
        let (Some(store), Some(address)) = (store, self.address(target)) else {
            return;
        };
        let body = json!({ "from": store.address.to_string(), "fingerprints": blocks,
            "workspace": cache_namespace(workspace) });
        let request = Request::post("/v1/kv/import")
            .header("host", address.to_string())
            .header("content-type", "application/json")
            .body(full(body.to_string()));
        let Ok(request) = request else { return };
        self.context.metrics().count("scheduler.imports", 1);
        let result = self
            .client
            .send(address, request, RequestOptions::default());
        if let Err(error) = result.await {
            self.warn(
                "cannot request a transfer from the KV cache store",
                target,
                &error,
            );
        }
    }

    fn cancel(self: &Rc<Self>, placement: u64) {
        let mut effects = Vec::new();
        let mut scheduler = self.scheduler.borrow_mut();
        let now = self.now();
        scheduler.on_end(placement, AttemptEnd::Cancelled, 0, now, &mut effects);
    }

    /// Schedules another dispatch while requests are queued.
    fn schedule_dispatch(self: &Rc<Self>) {
        let is_idle = self.scheduler.borrow().queued() == 0;
        if is_idle || self.is_dispatch_scheduled.replace(true) {
            return;
        }
        let state = Rc::clone(self);
        compio::runtime::spawn(async move {
            state.context.timers().sleep(DISPATCH_PERIOD).await;
            state.is_dispatch_scheduled.set(false);
            state.dispatch_waiting();
        })
        .detach();
    }

    fn enqueue(self: &Rc<Self>, request: &ModelRequest) -> (JobId, Oneshot<PlacementResult>) {
        let result = Oneshot::new();
        let now = self.now();
        let mut effects = Vec::new();
        let mut scheduler = self.scheduler.borrow_mut();
        let job = scheduler.on_request(request.into(), now, &mut effects);
        let queued_request = QueuedRequest {
            request: request.id.clone(),
            result: result.clone(),
            arrived: now,
            workspace: request.workspace.clone(),
            fingerprints: request.prompt.blocks.clone(),
        };
        self.queued_requests
            .borrow_mut()
            .insert(job, queued_request);
        scheduler.dispatch_waiting(rand::random(), now, &mut effects);
        drop(scheduler);
        self.apply_effects(effects);
        (job, result)
    }

    fn record_attempt(
        &self,
        request: &ModelRequest,
        placement: &Placement,
        outcome: &AttemptOutcome,
    ) {
        let metrics = self.context.metrics();
        let AttemptOutcome::Completed {
            prompt_tokens,
            cached_tokens,
            first_token,
            ..
        } = outcome
        else {
            let name = format!("scheduler.attempts.{}", outcome_name(outcome));
            metrics.count(&name, 1);
            return;
        };
        let block_tokens = crate::core::routing::BLOCK_TOKENS as u64;
        let expected_tokens = u64::from(placement.expected_cached_blocks) * block_tokens;
        metrics.count("scheduler.attempts.completed", 1);
        metrics.count("scheduler.prompt_tokens", *prompt_tokens);
        metrics.count("scheduler.cached_tokens", *cached_tokens);
        metrics.count(
            "scheduler.recomputed_tokens",
            expected_tokens.saturating_sub(*cached_tokens),
        );
        metrics.time("scheduler.first_token", *first_token);
        let workspace = sanitize_metric_name(&request.workspace);
        metrics.time(&format!("scheduler.first_token.{workspace}"), *first_token);
    }
}

/// Replaces the characters that the statsd format reserves.
fn sanitize_metric_name(name: &str) -> String {
    let replace_reserved = |c: char| if c.is_ascii_alphanumeric() { c } else { '_' };
    name.chars().map(replace_reserved).collect()
}

fn outcome_name(outcome: &AttemptOutcome) -> &'static str {
    match outcome {
        AttemptOutcome::Completed { .. } => "completed",
        AttemptOutcome::ConnectFailed => "connect_failed",
        AttemptOutcome::Refused => "refused",
        AttemptOutcome::Failed => "failed",
        AttemptOutcome::Crashed => "crashed",
        AttemptOutcome::Interrupted => "interrupted",
        AttemptOutcome::TimedOut => "timed_out",
        AttemptOutcome::Cancelled => "cancelled",
    }
}

/// Removes a request from the scheduler if its caller stops waiting.
struct WaitGuard {
    state: Rc<SchedulerState>,
    job: JobId,
    result: Oneshot<PlacementResult>,
    is_done: bool,
}

impl WaitGuard {
    /// Marks the result as received.
    fn finish(&mut self) {
        self.is_done = true;
    }
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        if self.is_done {
            return;
        }
        self.state.queued_requests.borrow_mut().remove(&self.job);
        let now = self.state.now();
        self.state.scheduler.borrow_mut().on_cancel(self.job, now);
        if let Some(Ok(placement)) = self.result.take() {
            self.state.cancel(placement.id);
        }
    }
}

/// Implements [`SchedulerService`] on the shared state.
pub(super) struct SchedulerHandle(pub(super) Rc<SchedulerState>);

impl SchedulerService for SchedulerHandle {
    fn place(&self, request: &ModelRequest) -> LocalBoxFuture<'static, PlacementResult> {
        let (job, result) = self.0.enqueue(request);
        let mut guard = WaitGuard {
            state: Rc::clone(&self.0),
            job,
            result: result.clone(),
            is_done: false,
        };
        async move {
            let result = result.recv().await;
            guard.finish();
            result
        }
        .boxed_local()
    }

    fn queue_figures(&self) -> QueueFigures {
        let scheduler = self.0.scheduler.borrow();
        QueueFigures {
            queued: scheduler.queued(),
            running: scheduler.running(),
        }
    }

    fn record_first_token(&self, placement: &Placement) {
        let now = self.0.now();
        self.0
            .scheduler
            .borrow_mut()
            .on_first_token(placement.id, now);
        self.0.dispatch_waiting();
    }

    fn report(
        &self,
        request: &ModelRequest,
        placement: Placement,
        outcome: AttemptOutcome,
    ) -> RetryAdvice {
        self.0.record_attempt(request, &placement, &outcome);
        let mut effects = Vec::new();
        let now = self.0.now();
        let end = AttemptEnd::from(&outcome);
        let mut scheduler = self.0.scheduler.borrow_mut();
        let retry = scheduler.on_end(placement.id, end, rand::random(), now, &mut effects);
        drop(scheduler);
        self.0.apply_effects(effects);
        self.0.dispatch_waiting();
        retry.into()
    }

    fn hedge(&self, placement: &Placement) -> RetryAdvice {
        let now = self.0.now();
        let mut scheduler = self.0.scheduler.borrow_mut();
        scheduler
            .decide_hedge(placement.id, rand::random(), now)
            .into()
    }

    fn place_plain(&self, targets: &[TargetId], excluded: &[TargetId]) -> Option<Placement> {
        let now = self.0.now();
        let mut scheduler = self.0.scheduler.borrow_mut();
        let (id, target) = scheduler.place_plain(targets, excluded, rand::random(), now)?;
        Some(Placement {
            id,
            target,
            incarnation: 0,
            expected_cached_blocks: 0,
            fetch_from: None,
        })
    }

    fn record_load(&self, target: &TargetId, report: &LoadReport) {
        let now = self.0.now();
        self.0.scheduler.borrow_mut().on_load(target, report, now);
    }

    fn mark_busy(&self, target: &TargetId, duration: Duration) {
        let until = self.0.now() + duration;
        self.0.scheduler.borrow_mut().set_busy(target, until);
    }

    fn pause(&self, target: &TargetId, duration: Duration) {
        let until = self.0.now() + duration;
        self.0.scheduler.borrow_mut().set_paused(target, until);
    }

    fn remaining_pause(&self, targets: &[TargetId]) -> Option<Duration> {
        let now = self.0.now();
        self.0.scheduler.borrow().remaining_pause(targets, now)
    }

    fn record_engine_state(&self, target: &TargetId, report: &LoadReport) {
        self.0
            .scheduler
            .borrow_mut()
            .on_engine_state(target, report);
    }

    fn report_plain(&self, placement: Placement, outcome: AttemptOutcome) {
        let mut effects = Vec::new();
        let now = self.0.now();
        let end = AttemptEnd::from(&outcome);
        let mut scheduler = self.0.scheduler.borrow_mut();
        scheduler.on_end(placement.id, end, rand::random(), now, &mut effects);
    }
}
