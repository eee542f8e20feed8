//! Sending a request to one target, up to the response head.

use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use http::{Request, Response, Uri, Version};
use hyper::body::Incoming;

use super::Relay;
use super::body::TargetResponse;
use super::exchange::Exchange;
use super::takeover::SilentTarget;
use super::versions::may_send_version;
use crate::core::fleet::{RequestKind, TargetRecord, model_key};
use crate::core::ids::{RequestId, TargetId, Timestamp};
use crate::core::relay::{AttemptHead, Failure, ResponseHead, ResponseVerdict, classify_response};
use crate::core::routing::LoadReport;
use crate::ops::proxy::handler::Proxy;
use crate::ops::proxy::refusal::{Refusal, RefusalCode};
use crate::ops::proxy::waits::Awaited;
use crate::ops::services::{AttemptOutcome, SchedulerService};
use crate::platform::{decode_response_head, encode_request, read_report};
use crate::util::duration::ms;
use crate::util::http::{
    ClientError, ConnectionReuse, RequestOptions, SendFailure as ClientSendFailure,
    collect_limited, full,
};

/// Responses up to this size are read completely before they are forwarded, so that an interrupted
/// one can be requested again.
const MAX_BUFFERED_RESPONSE_BYTES: u64 = 256 * 1024;

/// Backoff for an engine that refuses requests while it has free slots, because it is loading
/// weights. Loading takes 1.3 s, but its end may be reported earlier.
const LOADING_BACKOFF: Duration = Duration::from_millis(400);

/// Retry delay for clients if no target had a free slot.
const NO_SLOT_RETRY_AFTER: Duration = Duration::from_millis(250);

/// The result of a send that received a response.
pub(super) enum SendOutcome {
    /// A response to forward.
    Response(TargetResponse),
    /// An error response of the target, which may be forwarded.
    TargetFailure(TargetResponse),
}

/// The failure of a send.
pub(super) struct SendFailure {
    pub(super) kind: Failure,
    pub(super) refusal: Refusal,
    pub(super) outcome: AttemptOutcome,
    /// Whether to exclude the target from further sends of this request.
    pub(super) exclude_target: bool,
    /// Whether sending to another target is pointless.
    pub(super) is_final: bool,
}

impl SendFailure {
    fn new(kind: Failure, code: RefusalCode, message: &str, outcome: AttemptOutcome) -> Self {
        let refusal = match kind {
            Failure::MayHaveRun => Refusal::outcome_unknown(code, message),
            _ => Refusal::not_run(code, message).with_retry_after(NO_SLOT_RETRY_AFTER),
        };
        Self {
            kind,
            refusal,
            outcome,
            exclude_target: true,
            is_final: false,
        }
    }

    fn before_send(refusal: Refusal) -> Self {
        Self {
            kind: Failure::NotSent,
            refusal,
            outcome: AttemptOutcome::Cancelled,
            exclude_target: false,
            is_final: true,
        }
    }

    fn removed() -> Self {
        Self::new(
            Failure::NotSent,
            RefusalCode::NoTarget,
            "the target was removed",
            AttemptOutcome::Cancelled,
        )
    }

    /// The version of the target may not get requests any more. The request is placed again.
    fn withheld() -> Self {
        Self::new(
            Failure::NotSent,
            RefusalCode::NoTarget,
            "the version of the target is not in force",
            AttemptOutcome::Cancelled,
        )
    }

    /// The request may not be sent as it was prepared. It is checked and placed again.
    fn outdated() -> Self {
        Self {
            exclude_target: false,
            ..Self::new(
                Failure::NotSent,
                RefusalCode::NoTarget,
                "the request was outdated when its connection was open",
                AttemptOutcome::Cancelled,
            )
        }
    }

    /// The run was cancelled before its response, because other cached prompts apply to its workspace now.
    pub(super) fn cache_namespace_changed() -> Self {
        Self {
            exclude_target: false,
            ..Self::new(
                Failure::MayHaveRun,
                RefusalCode::UpstreamFailed,
                "the cached prompts of the workspace changed before the target answered",
                AttemptOutcome::Cancelled,
            )
        }
    }

    fn paused(remaining: Duration) -> Self {
        let failure = Self::new(
            Failure::NotSent,
            RefusalCode::Overloaded,
            "the target asked for a pause",
            AttemptOutcome::Cancelled,
        );
        Self {
            refusal: failure.refusal.with_retry_after(remaining),
            ..failure
        }
    }

    fn mismatched() -> Self {
        Self::new(
            Failure::MayHaveRun,
            RefusalCode::UpstreamFailed,
            "the answer belongs to another request",
            AttemptOutcome::Failed,
        )
    }

    pub(super) fn timed_out() -> Self {
        Self::new(
            Failure::MayHaveRun,
            RefusalCode::DeadlineExceeded,
            "the target did not answer in time",
            AttemptOutcome::TimedOut,
        )
    }

    /// The response is complete, but not of the kind that the request needs.
    pub(super) fn unusable() -> Self {
        Self::new(
            Failure::MayHaveRun,
            RefusalCode::UpstreamFailed,
            "the target does not continue the response",
            AttemptOutcome::Failed,
        )
    }

    pub(super) fn connection_lost() -> Self {
        Self::new(
            Failure::MayHaveRun,
            RefusalCode::UpstreamFailed,
            "the connection to the target broke",
            AttemptOutcome::Interrupted,
        )
    }
}

/// A request for which a connection to its target is opened, or that was sent there and not answered yet.
/// Dropping it closes the connection.
pub(super) struct PendingResponse {
    id: RequestId,
    record: Rc<TargetRecord>,
    response: LocalBoxFuture<'static, SendResult>,
    /// Result that has arrived and is read next.
    result: Option<SendResult>,
    /// Namespace of the cached prompts that the request may use; `None` if its target caches none.
    cache_namespace: Option<String>,
    sent_at: Rc<Cell<Option<Timestamp>>>,
}

type SendResult = Result<Response<Incoming>, ClientSendFailure>;

/// Evaluation of a send's result.
pub(super) type EvaluationFuture = LocalBoxFuture<'static, Result<SendOutcome, SendFailure>>;

impl PendingResponse {
    /// The target.
    pub(super) fn record(&self) -> &TargetRecord {
        &self.record
    }

    /// When the connection was open and the request was sent.
    pub(super) fn sent_at(&self) -> Option<Timestamp> {
        self.sent_at.get()
    }

    /// Namespace of the cached prompts that the request may use; `None` if its target caches none.
    pub(super) fn cache_namespace(&self) -> Option<&str> {
        self.cache_namespace.as_deref()
    }

    /// Polls for the response head.
    pub(super) fn poll_result(&mut self, cx: &mut Context<'_>) -> Poll<SendResult> {
        match self.result.take() {
            Some(result) => Poll::Ready(result),
            None => self.response.as_mut().poll(cx),
        }
    }
}

impl SilentTarget for PendingResponse {
    const HAS_RESPONDED: bool = false;

    type Output = SendResult;

    fn poll_continued(&mut self, cx: &mut Context<'_>) -> Poll<SendResult> {
        if self.result.is_some() {
            return Poll::Pending;
        }
        let result = std::task::ready!(self.response.as_mut().poll(cx));
        if let Ok(response) = &result
            && classify(response, &self.id, &self.record.id).1 == ResponseVerdict::Deliver
        {
            return Poll::Ready(result);
        }
        self.result = Some(result);
        Poll::Pending
    }
}

impl Exchange {
    /// Sends the request to the target of its placement, and waits for the response head. Another target
    /// that takes the request over has to give a response that `accepts` holds for.
    pub(super) async fn send(
        &mut self,
        accepts: impl Fn(&TargetResponse) -> bool,
    ) -> Result<SendOutcome, SendFailure> {
        let pending = self.begin_send()?;
        self.await_response(pending, accepts).await
    }

    /// Starts to send the request to the target of its placement.
    pub(super) fn begin_send(&mut self) -> Result<PendingResponse, SendFailure> {
        let placement = self.placement.as_ref().ok_or_else(SendFailure::removed)?;
        let record = self.relay.fleet.state().target(&placement.target).cloned();
        let record = record.ok_or_else(SendFailure::removed)?;
        check_target(&self.proxy, &self.relay, &record)?;
        let remaining = self.check_send().map_err(SendFailure::before_send)?;
        let weights = self.weights_at(&record);
        self.weights = weights;
        if let (Some(prompt), Some(version)) = (&self.head.prompt, weights)
            && !self.relay.fleet.may_use_weights(&prompt.model, version)
        {
            // The target restarted with old weights, or its weights became too old while the
            // request was queued.
            return Err(SendFailure::new(
                Failure::NotSent,
                RefusalCode::NoTarget,
                "the target's weights are too old",
                AttemptOutcome::Cancelled,
            ));
        }
        let request = self.request_for(&record, remaining, weights)?;
        let cache_namespace = self.sent_cache_namespace();
        let options = self.request_options(&record);
        self.attempts.on_send();
        self.sent_to.push((Rc::clone(&record), self.now()));
        self.progress.set_passed_on(true);
        if !self.is_taking_over {
            self.progress.wait.set(Awaited::Connection);
        }
        let sent_at = Rc::new(Cell::new(None));
        // The target may leave or ask for a pause while the connection is opened.
        let may_send = {
            let (proxy, relay) = (Rc::clone(&self.proxy), Rc::clone(&self.relay));
            let (record, sent_at) = (record.clone(), Rc::clone(&sent_at));
            let wait = self.progress.wait.clone();
            let is_refused = self.crash_refusal();
            let version_uses = Rc::clone(&self.version_uses);
            let is_cache_current = self.cache_check(cache_namespace.clone());
            move || {
                let is_allowed = check_target(&proxy, &relay, &record).is_ok()
                    && is_cache_current()
                    && !is_refused();
                if is_allowed {
                    version_uses
                        .borrow_mut()
                        .extend(relay.canary.begin(&record));
                }
                sent_at.set(is_allowed.then(|| proxy.context.timers().boot_now()));
                wait.on_connected();
                is_allowed
            }
        };
        let (client, address) = (self.proxy.client.clone(), record.address);
        let response = async move { client.send_if(address, request, options, may_send).await };
        Ok(PendingResponse {
            id: self.head.id.clone(),
            record,
            response: response.boxed_local(),
            result: None,
            cache_namespace,
            sent_at,
        })
    }

    /// Records what the response of a silent target reports, if it has arrived and is not used.
    pub(super) fn record_kept_response(&self, pending: &PendingResponse) {
        if let Some(Ok(response)) = &pending.result {
            let (head, verdict) = classify(response, &pending.id, &pending.record.id);
            if is_from_target(verdict) {
                self.record_target_state(&pending.record, &head);
            }
        }
    }

    /// Evaluates the result of a send. A short response is read completely.
    pub(super) fn evaluate(&self, record: &TargetRecord, result: SendResult) -> EvaluationFuture {
        match self.check_result(record, result) {
            Ok((response, is_failure)) => {
                let response = self.read_response(response);
                async move {
                    let response = response.await?;
                    Ok(match is_failure {
                        true => SendOutcome::TargetFailure(response),
                        false => SendOutcome::Response(response),
                    })
                }
                .boxed_local()
            }
            Err(failure) => std::future::ready(Err(failure)).boxed_local(),
        }
    }

    /// Returns a response that can be forwarded, and whether it is an error response of the target.
    fn check_result(
        &self,
        record: &TargetRecord,
        result: SendResult,
    ) -> Result<(Response<Incoming>, bool), SendFailure> {
        let error = match result {
            Ok(response) => return self.check_response(record, response),
            Err(failure) => failure.error,
        };
        if error.is_connection_refused() {
            self.relay.quarantine.on_connection_refused(record);
        }
        Err(match error {
            ClientError::Connect { .. } => SendFailure::new(
                Failure::NotSent,
                RefusalCode::NoTarget,
                "no connection to the target",
                AttemptOutcome::ConnectFailed,
            ),
            ClientError::Withheld { .. } => check_target(&self.proxy, &self.relay, record)
                .err()
                .unwrap_or_else(SendFailure::outdated),
            ClientError::MaybeSent { .. } => SendFailure::connection_lost(),
        })
    }

    /// Returns the options for the connection. A target that gets the request again may repeat its
    /// first response on the connection of that response, with the same identifier.
    fn request_options(&self, record: &TargetRecord) -> RequestOptions {
        let options = match self.is_repeatable() {
            true => RequestOptions::default(),
            false => RequestOptions::for_non_idempotent(),
        };
        match self.was_sent_to(&record.id) {
            true => options.with_new_connection(),
            false => options,
        }
    }

    fn is_repeatable(&self) -> bool {
        let admission = self.admission.as_ref();
        admission.is_some_and(|admission| admission.route.kind.is_repeatable())
    }

    pub(super) fn is_stream(&self) -> bool {
        let admission = self.admission.as_ref();
        admission.is_some_and(|admission| admission.route.kind.is_stream())
    }

    /// Returns the weights version that the target must have to run the request: its last reported
    /// version, or the announced one if none was reported.
    fn weights_at(&self, record: &TargetRecord) -> Option<u64> {
        let model = &self.head.prompt.as_ref()?.model;
        let state = self.relay.fleet.state();
        let current = state.weights_of(record, model);
        current.or_else(|| state.announced_weights(model))
    }

    fn request_for(
        &self,
        record: &TargetRecord,
        remaining: Duration,
        weights: Option<u64>,
    ) -> Result<Request<crate::util::http::Body>, SendFailure> {
        let admission = self.admission().map_err(SendFailure::before_send)?;
        let engine = match self.is_model_request() {
            true => Some(
                self.engine_params(weights)
                    .map_err(SendFailure::before_send)?,
            ),
            false => None,
        };
        let send = AttemptHead {
            target: record.id.clone(),
            remaining,
            workspace: admission.workspace.clone(),
            engine,
            last_event: self.last_event,
        };
        let path = self.parts.uri.path_and_query();
        let path = path.map_or("/", |path| path.as_str());
        let mut request = Request::new(full(self.body.clone()));
        *request.method_mut() = self.parts.method.clone();
        *request.uri_mut() = path.parse::<Uri>().unwrap_or_default();
        *request.version_mut() = Version::HTTP_11;
        *request.headers_mut() = encode_request(&self.parts.headers, &send);
        Ok(request)
    }

    fn check_response(
        &self,
        record: &TargetRecord,
        response: Response<Incoming>,
    ) -> Result<(Response<Incoming>, bool), SendFailure> {
        let (head, verdict) = classify(&response, &self.head.id, &record.id);
        if is_from_target(verdict) {
            self.record_target_state(record, &head);
        }
        match verdict {
            ResponseVerdict::Deliver => Ok((response, false)),
            ResponseVerdict::FailedRun => {
                let can_forward = head.is_signed && !promises_not_run(head.status);
                if !can_forward {
                    return Err(SendFailure::new(
                        Failure::MayHaveRun,
                        RefusalCode::UpstreamFailed,
                        "the target failed",
                        AttemptOutcome::Failed,
                    ));
                }
                Ok((response, true))
            }
            ResponseVerdict::Refused if self.is_loading_weights(&head) => {
                let scheduler = self.proxy.service::<dyn SchedulerService>();
                scheduler.mark_busy(&record.id, LOADING_BACKOFF);
                Err(SendFailure::new(
                    Failure::NotRun,
                    RefusalCode::Overloaded,
                    "the target loads weights",
                    AttemptOutcome::Refused,
                ))
            }
            ResponseVerdict::Refused => Err(SendFailure::new(
                Failure::NotRun,
                RefusalCode::Overloaded,
                "the target has no place",
                AttemptOutcome::Refused,
            )),
            ResponseVerdict::Misdirected { is_expected_target } => {
                match (is_expected_target, &head.target) {
                    (true, _) => self.poll_weights(record),
                    (false, Some(other)) => {
                        let fleet = &self.relay.fleet;
                        fleet.on_replaced(&record.id, Some(other));
                    }
                    (false, None) => {}
                }
                Err(SendFailure::new(
                    Failure::NotRun,
                    RefusalCode::NoTarget,
                    "the target is another one or has other weights",
                    AttemptOutcome::Refused,
                ))
            }
            ResponseVerdict::Foreign => {
                if let Some(reuse) = response.extensions().get::<ConnectionReuse>() {
                    reuse.discard();
                }
                Err(SendFailure::mismatched())
            }
        }
    }

    /// Whether an engine refuses although it has free slots, which means that it is loading
    /// weights.
    fn is_loading_weights(&self, head: &ResponseHead) -> bool {
        let has_free_slots =
            |(running, waiting, slots): (u32, u32, u32)| running.saturating_add(waiting) < slots;
        self.head.prompt.is_some() && head.load.is_none_or(has_free_slots)
    }

    /// Reads a short response completely if memory is left for it. A long response or a stream is read while it is
    /// forwarded.
    fn read_response(
        &self,
        response: Response<Incoming>,
    ) -> impl Future<Output = Result<TargetResponse, SendFailure>> + 'static {
        let length = http_body::Body::size_hint(response.body()).exact();
        let is_bufferable = length.is_some_and(|length| length <= MAX_BUFFERED_RESPONSE_BYTES);
        let memory = self.memory.begin_beside();
        let is_streamed = self.is_stream()
            || !is_bufferable
            || !memory.grow_if_free(length.unwrap_or_default() as usize);
        let timers = *self.proxy.context.timers();
        let remaining = self.remaining();
        if !self.is_taking_over {
            self.progress.wait.set(Awaited::ResponseBody);
        }
        async move {
            let (head, body) = response.into_parts();
            if is_streamed {
                return Ok(TargetResponse::streamed(head, body));
            }
            let read = collect_limited(body, MAX_BUFFERED_RESPONSE_BYTES as usize);
            match timers.timeout(remaining, read).await {
                Some(Ok(Some(body))) => Ok(TargetResponse::buffered(head, body, memory)),
                Some(_) => Err(SendFailure::connection_lost()),
                None => Err(SendFailure::timed_out()),
            }
        }
    }

    /// Records what a response reports about its target: a pause that it asks for, its shutdown, load and
    /// weights.
    fn record_target_state(&self, record: &TargetRecord, head: &ResponseHead) {
        let scheduler = self.proxy.service::<dyn SchedulerService>();
        if let Some(pause) = head.retry_after {
            scheduler.pause(&record.id, pause);
            slog::info!(self.proxy.context.log(), "target asked for a pause";
                "request" => &*self.head.id, "target" => &*record.id, "pause_ms" => ms(pause));
        }
        if head.is_leaving {
            let fleet = &self.relay.fleet;
            fleet.set_leaving(&record.id, record.incarnation);
        }
        let model = self.head.prompt.as_ref().map(|prompt| &prompt.model);
        if let (Some(model), Some(weights)) = (model, head.weights) {
            self.relay
                .fleet
                .on_observed_weights(&record.id, model, weights);
        }
        let Some((running, waiting, slots)) = head.load else {
            return;
        };
        let weights = model.and_then(|model| self.relay.fleet.state().weights_of(record, model));
        let report = LoadReport {
            incarnation: record.incarnation,
            model: model.map_or_else(String::new, |model| {
                model_key(&record.service, model).to_string()
            }),
            weights_version: weights.map_or_else(String::new, |weights| weights.to_string()),
            running,
            waiting,
            max_running: slots,
            pace: head.pace,
            ..LoadReport::default()
        };
        scheduler.record_load(&record.id, &report);
    }

    /// Polls a target for its weights version after it rejected the expected one, and marks it busy
    /// meanwhile.
    fn poll_weights(&self, record: &TargetRecord) {
        let scheduler = self.proxy.service::<dyn SchedulerService>();
        scheduler.mark_busy(&record.id, LOADING_BACKOFF);
        let (relay, proxy) = (Rc::clone(&self.relay), Rc::clone(&self.proxy));
        let (target, address) = (record.id.clone(), record.address);
        if !relay
            .targets_being_polled
            .borrow_mut()
            .insert(target.clone())
        {
            return;
        }
        compio::runtime::spawn(async move {
            let report = read_report(&proxy.client, address).await;
            slog::info!(proxy.context.log(), "target asked for its weights";
                "target" => &*target, "report" => format!("{report:?}"));
            if let Some(report) = report {
                relay
                    .fleet
                    .on_report(&target, report.incarnation, &report.weights);
            }
            proxy.context.timers().sleep(LOADING_BACKOFF).await;
            relay.targets_being_polled.borrow_mut().remove(&target);
        })
        .detach();
    }

    /// Whether the stream can be resumed at another target.
    pub(super) fn is_resumable(&self) -> bool {
        let admission = self.admission.as_ref();
        admission.is_some_and(|admission| {
            admission.route.kind == RequestKind::Stream { is_resumable: true }
        })
    }
}

/// Whether the expected target has sent the response.
fn is_from_target(verdict: ResponseVerdict) -> bool {
    !matches!(
        verdict,
        ResponseVerdict::Foreign
            | ResponseVerdict::Misdirected {
                is_expected_target: false
            }
    )
}

/// Decodes and classifies the response of a target to the request `id`.
fn classify(
    response: &Response<Incoming>,
    id: &RequestId,
    target: &TargetId,
) -> (ResponseHead, ResponseVerdict) {
    let head = decode_response_head(response.status().as_u16(), response.headers());
    let reuse = response.extensions().get::<ConnectionReuse>();
    let is_new_connection = reuse.is_some_and(ConnectionReuse::is_new_connection);
    let verdict = classify_response(&head, id, target, is_new_connection);
    (head, verdict)
}

/// Fails if the target is shutting down or has asked for a pause.
fn check_target(proxy: &Proxy, relay: &Relay, record: &TargetRecord) -> Result<(), SendFailure> {
    if relay.fleet.state().is_leaving(record) {
        return Err(SendFailure::removed());
    }
    if !may_send_version(relay, record) {
        return Err(SendFailure::withheld());
    }
    let scheduler = proxy.service::<dyn SchedulerService>();
    match scheduler.remaining_pause(std::slice::from_ref(&record.id)) {
        Some(pause) => Err(SendFailure::paused(pause)),
        None => Ok(()),
    }
}

/// Whether clients take the status to mean that the request was not run.
fn promises_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}
