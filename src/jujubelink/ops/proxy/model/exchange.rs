//! Processing of one model request, from its charge to the end of its response.

use std::future::poll_fn;
use std::rc::Rc;
use std::task::Poll;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, header};

use super::call::{Endpoint, ModelCall};
use super::chunk::{Chunk, Usage};
use super::recovery::SilentRun;
use super::refusals::{charge_refusal, placement_refusal};
use crate::core::config::{ConfigSnapshot, Target};
use crate::core::ids::{RequestId, Timestamp, Tokens};
use crate::ops::proxy::auth::Caller;
use crate::ops::proxy::handler::Proxy;
use crate::ops::proxy::refusal::{Outcome, Refusal, RefusalCode};
use crate::ops::proxy::request_id::engine_request_id;
use crate::ops::proxy::waits::{Awaited, CurrentWait};
use crate::ops::services::{
    AttemptOutcome, Charge, LimitService, MAX_ADMISSION_DELAY, MemberService, ModelRequest,
    Placement, RetryAdvice, SchedulerService,
};
use crate::ops::telemetry::{Span, TraceContext};
use crate::ops::upstream::{AttemptError, AttemptTag, EngineStream, StreamError};
use crate::util::http::sse::SseEvent;
use crate::util::memory_budget::Reservation;

/// Added to the expected prefill time for the timeout of an engine's response head and first event.
const FIRST_EVENT_MARGIN: Duration = Duration::from_secs(5);

/// Longest wait for another charge once a target is chosen, as the request occupies a place there.
const CHARGE_RENEWAL_TIME: Duration = Duration::from_millis(300);

/// Limit on the delivered text that is kept to continue a response on another engine. A longer
/// response can only be resumed on the same engine.
const MAX_CONTINUATION_TEXT_BYTES: usize = 1024 * 1024;

/// The part of the response that the client has received.
#[derive(Default)]
pub(super) struct Delivered {
    pub(super) text: String,
    pub(super) tokens: Tokens,
    /// Whether the response contains output that another engine cannot continue, such as tool calls
    /// or several choices.
    pub(super) blocks_continuation: bool,
    /// Whether everything but the final event was delivered.
    pub(super) is_finished: bool,
    pub(super) has_usage: bool,
}

/// The current attempt at a target.
pub(super) struct Attempt {
    pub(super) placement: Placement,
    pub(super) target: Target,
    pub(super) tag: AttemptTag,
    pub(super) stream: Option<EngineStream>,
    pub(super) is_sent: bool,
    sent_at: Instant,
    first_token: Option<Duration>,
    /// Kept open until the attempt has ended.
    span: Span,
}

/// Why the current stream yields no further event.
enum Interrupt {
    KeyRevoked,
    Stream(StreamError),
}

/// A model request. Dropping it cancels the work at the engine and settles the charge.
pub(super) struct Exchange {
    pub(super) proxy: Rc<Proxy>,
    pub(super) caller: Caller,
    pub(super) call: ModelCall,
    /// Cache namespace of the workspace.
    pub(super) cache_namespace: String,
    pub(super) request: ModelRequest,
    priority: u8,
    traceparent: Option<HeaderValue>,
    charge: Option<Charge>,
    pub(super) attempt: Option<Attempt>,
    /// An earlier run that is awaited beside the current attempt.
    pub(super) silent_run: Option<SilentRun>,
    pub(super) delivered: Delivered,
    /// Tokens delivered by earlier attempts.
    pub(super) earlier_tokens: Tokens,
    /// Weights version that produced the delivered part.
    pub(super) weights_version: Option<String>,
    pub(super) may_have_run: bool,
    pub(super) resumes_left: u32,
    usage: Option<Usage>,
    is_complete: bool,
    pub(super) wait: CurrentWait,
    /// What the request holds until its response has ended.
    pub(super) memory: Option<Reservation>,
    /// Last data to send to the client after the request is complete.
    pub(super) final_data: Option<Bytes>,
}

impl Exchange {
    pub(super) fn new(
        proxy: &Rc<Proxy>,
        config: &ConfigSnapshot,
        caller: Caller,
        call: ModelCall,
        cache_namespace: String,
        id: &RequestId,
        traceparent: Option<HeaderValue>,
    ) -> Self {
        let workspace = config.workspace(&caller.workspace);
        let priority = workspace.map_or(u8::MAX, |(_, workspace)| workspace.priority);
        let request = ModelRequest {
            id: engine_request_id(id),
            workspace: caller.workspace.clone(),
            model: call.model.clone(),
            prompt: Rc::clone(&call.prompt),
            cost_tokens: call.cost_tokens(),
            first_token_deadline: proxy.context.timers().now() + first_token_timeout(config, &call),
            excluded: Vec::new(),
            is_suspect: false,
            aims: None,
        };
        Self {
            proxy: Rc::clone(proxy),
            caller,
            call,
            cache_namespace,
            request,
            priority,
            traceparent,
            charge: None,
            attempt: None,
            silent_run: None,
            delivered: Delivered::default(),
            earlier_tokens: 0,
            weights_version: None,
            may_have_run: false,
            resumes_left: 0,
            usage: None,
            is_complete: false,
            wait: CurrentWait::default(),
            memory: None,
            final_data: None,
        }
    }

    pub(super) fn endpoint(&self) -> Endpoint {
        self.call.endpoint
    }

    /// Obtains a response head, with as many attempts as the scheduler allows.
    pub(super) async fn open(&mut self) -> Result<(), Refusal> {
        loop {
            self.acquire_charge(self.request.first_token_deadline)
                .await?;
            self.place().await?;
            match self.dispatch().await {
                Ok(()) => return Ok(()),
                Err(error) => {
                    self.wait.set(Awaited::Resend);
                    self.prepare_retry(error).await?;
                }
            }
        }
    }

    /// Returns the data of the next event for the client, or `None` after the last event.
    pub(super) async fn next_data(&mut self) -> Result<Option<Bytes>, Refusal> {
        while !self.is_complete {
            match self.next_event().await {
                Ok(event) => {
                    if let Some(data) = self.process_event(event)? {
                        return Ok(Some(data));
                    }
                }
                Err(Interrupt::KeyRevoked) => {
                    return Err(self.refuse(RefusalCode::KeyRevoked, "the key was withdrawn"));
                }
                Err(Interrupt::Stream(error)) => {
                    if let Some(data) = self.recover(error).await? {
                        return Ok(Some(data));
                    }
                }
            }
        }
        Ok(self.final_data.take())
    }

    /// Returns a refusal with the outcome of the request so far.
    pub(super) fn refuse(&self, code: RefusalCode, message: &str) -> Refusal {
        self.with_outcome(Refusal::not_run(code, message))
    }

    /// Sets the outcome of a refusal to that of all attempts so far.
    pub(super) fn with_outcome(&self, mut refusal: Refusal) -> Refusal {
        let is_sent = self.attempt.as_ref().is_some_and(|attempt| attempt.is_sent);
        if self.delivered.tokens > 0 {
            refusal.outcome = Outcome::Run;
        } else if self.may_have_run || is_sent {
            refusal.outcome = Outcome::OutcomeUnknown;
        }
        refusal
    }

    /// Charges the next attempt to the workspace. Each attempt that may have reached a target is
    /// charged separately, because the rate limit applies strictly to the work done at the targets.
    async fn acquire_charge(&mut self, deadline: Timestamp) -> Result<(), Refusal> {
        if self.charge.is_some() {
            return Ok(());
        }
        self.wait.set(Awaited::Limit);
        let mut span = self.start_span("limit");
        let limits = self.proxy.service::<dyn LimitService>();
        let charge = limits.charge(&self.request.workspace, self.request.cost_tokens, deadline);
        match charge.await {
            Ok(charge) => self.charge = Some(charge),
            Err(error) => {
                let refusal = charge_refusal(error);
                span.set_error(&refusal.code.to_string());
                return Err(self.with_outcome(refusal));
            }
        }
        Ok(())
    }

    /// Settles the charge, if any, with the tokens that were used.
    fn settle(&mut self, used: impl FnOnce(&Charge) -> Tokens) {
        if let Some(charge) = self.charge.take() {
            let used = used(&charge);
            self.proxy
                .service::<dyn LimitService>()
                .settle(charge, used);
        }
    }

    /// Settles the charge of an attempt whose usage is unknown. The engine may have generated up to
    /// the token limit.
    pub(super) fn settle_in_full(&mut self) {
        self.settle(|charge| charge.tokens);
    }

    async fn place(&mut self) -> Result<(), Refusal> {
        self.wait.set(match self.request.excluded.is_empty() {
            true => Awaited::Place,
            false => Awaited::Resend,
        });
        let mut span = self.start_span("queue");
        let scheduler = self.proxy.service::<dyn SchedulerService>();
        let placement_result = scheduler.place(&self.request).await;
        let placement = match placement_result {
            Ok(placement) => placement,
            Err(error) => {
                let refusal = placement_refusal(error);
                span.set_error(&refusal.code.to_string());
                return Err(self.with_outcome(refusal));
            }
        };
        let config = self.proxy.config()?;
        let target = config.fleet.targets.get(&placement.target).cloned();
        let Some(target) = target else {
            scheduler.report(&self.request, placement, AttemptOutcome::Cancelled);
            return Err(self.refuse(RefusalCode::NoTarget, "the target was removed"));
        };
        drop(span);
        let mut span = self.start_span("attempt");
        span.set_attribute("target", &*placement.target);
        let cached = i64::from(placement.expected_cached_blocks);
        span.set_attribute("expected_cached_blocks", cached);
        self.attempt = Some(Attempt {
            placement,
            target,
            tag: AttemptTag::new(&self.request.id),
            stream: None,
            is_sent: false,
            sent_at: Instant::now(),
            first_token: None,
            span,
        });
        let now = self.proxy.context.timers().now();
        let deadline = self.request.first_token_deadline;
        if self.is_charge_outdated() && now < deadline {
            self.settle(|_| 0);
            let deadline = deadline.min(now + CHARGE_RENEWAL_TIME);
            self.acquire_charge(deadline).await?;
        }
        self.check_dispatch()
    }

    /// Starts a child span of the request's span.
    fn start_span(&self, name: &'static str) -> Span {
        let parent = self.traceparent.as_ref();
        let parent = parent.and_then(|value| TraceContext::parse(value.to_str().ok()?));
        let mut span = self.proxy.context.tracer().start_span(name, parent);
        span.set_attribute("workspace", &*self.request.workspace);
        span
    }

    /// Whether the charge is too old for a dispatch, because the request waited for a target or for a
    /// connection.
    fn is_charge_outdated(&self) -> bool {
        let now = self.proxy.context.timers().now();
        let charge = self.charge.as_ref();
        charge.is_some_and(|charge| now > charge.charged_at + MAX_ADMISSION_DELAY)
    }

    /// Repeats the checks that may have become stale while the request was queued.
    fn check_dispatch(&self) -> Result<(), Refusal> {
        if self.is_charge_outdated() {
            return Err(self.refuse(
                RefusalCode::Overloaded,
                "the request waited too long for a target",
            ));
        }
        if self.caller.revocation.is_revoked() {
            return Err(self.refuse(RefusalCode::KeyRevoked, "the key was withdrawn"));
        }
        Ok(())
    }

    async fn dispatch(&mut self) -> Result<(), AttemptError> {
        self.wait.set(Awaited::Target);
        let headers = self.engine_headers();
        let timeout = self.first_event_timeout();
        let Some(attempt) = self.attempt.as_mut() else {
            return Err(AttemptError::ConnectFailed);
        };
        attempt.is_sent = true;
        attempt.sent_at = Instant::now();
        let path = self.call.endpoint.path();
        let body = self.call.body.clone();
        let engines = &self.proxy.engines;
        let opened = engines.open(&attempt.target, path, headers, body, &attempt.tag, timeout);
        let stream = opened.await?.with_first_event_timeout(timeout);
        if stream.is_leaving {
            let members = self.proxy.service::<dyn MemberService>();
            members.set_target_leaving(&attempt.placement.target, true);
        }
        match &self.weights_version {
            Some(version) if *version != stream.weights_version => {
                return Err(AttemptError::WeightsMismatch);
            }
            _ => self.weights_version = Some(stream.weights_version.clone()),
        }
        attempt.stream = Some(stream);
        self.resumes_left = super::recovery::MAX_CONSECUTIVE_RESUMES;
        Ok(())
    }

    /// Returns the headers to send to the engine. The client's headers are not forwarded.
    fn engine_headers(&self) -> HeaderMap {
        let mut headers = HeaderMap::new();
        let json = HeaderValue::from_static("application/json");
        headers.insert(header::CONTENT_TYPE, json);
        headers.insert("x-priority", HeaderValue::from(u16::from(self.priority)));
        if let Ok(cache_namespace) = HeaderValue::from_str(&self.cache_namespace) {
            headers.insert("x-workspace", cache_namespace);
        }
        if let Some(attempt) = &self.attempt {
            attempt.span.context().apply(&mut headers);
        }
        headers
    }

    fn first_event_timeout(&self) -> Duration {
        let prefill = self.proxy.config().map_or(Duration::ZERO, |config| {
            prefill_duration(&config, &self.call)
        });
        FIRST_EVENT_MARGIN + prefill
    }

    /// Reports the end of the attempt to the scheduler.
    pub(super) fn end_attempt(
        &mut self,
        outcome: AttemptOutcome,
    ) -> (RetryAdvice, Option<Attempt>) {
        let Some(attempt) = self.attempt.take() else {
            return (RetryAdvice::No, None);
        };
        let scheduler = self.proxy.service::<dyn SchedulerService>();
        let advice = scheduler.report(&self.request, attempt.placement.clone(), outcome);
        (advice, Some(attempt))
    }

    async fn next_event(&mut self) -> Result<SseEvent, Interrupt> {
        self.wait.set(Awaited::ResponseBody);
        let stream = self
            .attempt
            .as_mut()
            .and_then(|attempt| attempt.stream.as_mut());
        let Some(stream) = stream else {
            return Err(Interrupt::Stream(StreamError::ConnectionLost));
        };
        let revocation = &self.caller.revocation;
        poll_fn(|cx| {
            if revocation.poll_revoked(cx) {
                return Poll::Ready(Err(Interrupt::KeyRevoked));
            }
            stream.poll_next(cx).map_err(Interrupt::Stream)
        })
        .await
    }

    fn process_event(&mut self, event: SseEvent) -> Result<Option<Bytes>, Refusal> {
        if &event.data[..] == b"[DONE]" {
            self.complete();
            return Ok(Some(event.data));
        }
        if &event.kind[..] == b"error" {
            return Err(self.refuse(RefusalCode::StreamBroken, "the target reported an error"));
        }
        let Ok(chunk) = serde_json::from_slice::<Chunk>(&event.data) else {
            self.delivered.blocks_continuation = true;
            return Ok(Some(event.data));
        };
        if let Some(usage) = chunk.usage {
            self.usage = Some(usage);
        }
        if self.is_hidden_from_client(&chunk) {
            return Ok(None);
        }
        self.record_delivery(&chunk);
        self.resumes_left = super::recovery::MAX_CONSECUTIVE_RESUMES;
        if chunk.usage.is_some() {
            self.delivered.has_usage = true;
            if self.earlier_tokens > 0 {
                return Ok(Some(adjust_usage(&event.data, self.earlier_tokens)));
            }
        }
        Ok(Some(event.data))
    }

    /// Whether to withhold the chunk from the client: a usage chunk that was not requested, or the
    /// start of a message that has already been started.
    fn is_hidden_from_client(&self, chunk: &Chunk) -> bool {
        let is_usage_only = chunk.choices.is_empty() && chunk.usage.is_some();
        let is_repeated_opening =
            self.earlier_tokens > 0 && chunk.choices.iter().any(|choice| choice.is_opening());
        (is_usage_only && self.call.is_stream && !self.call.include_usage) || is_repeated_opening
    }

    fn record_delivery(&mut self, chunk: &Chunk) {
        for choice in &chunk.choices {
            let content = choice.content();
            if !content.is_empty() {
                self.delivered.tokens += 1;
                self.record_first_token();
            }
            let fits_in_buffer =
                self.delivered.text.len() + content.len() <= MAX_CONTINUATION_TEXT_BYTES;
            if !choice.is_plain_text() || !fits_in_buffer || self.call.choices > 1 {
                self.delivered.blocks_continuation = true;
                self.delivered.text = String::new();
            }
            if !self.delivered.blocks_continuation {
                self.delivered.text.push_str(content);
            }
            self.delivered.is_finished |= choice.finish_reason.is_some() && self.call.choices == 1;
        }
    }

    fn record_first_token(&mut self) {
        let Some(attempt) = self.attempt.as_mut() else {
            return;
        };
        if attempt.first_token.is_some() {
            return;
        }
        let first_token = attempt.sent_at.elapsed();
        attempt.first_token = Some(first_token);
        let scheduler = self.proxy.service::<dyn SchedulerService>();
        scheduler.record_first_token(&attempt.placement);
        self.proxy
            .context
            .metrics()
            .time("first_token", first_token);
    }

    /// Ends the request after its complete response.
    pub(super) fn complete(&mut self) {
        self.is_complete = true;
        let usage = self.usage;
        self.settle(|charge| {
            usage.map_or(charge.tokens, |usage| {
                usage.prompt_tokens + usage.completion_tokens
            })
        });
        let usage = usage.unwrap_or_default();
        let Some(attempt) = &self.attempt else {
            return;
        };
        let stream = attempt.stream.as_ref();
        let outcome = AttemptOutcome::Completed {
            incarnation: stream.map_or(0, |stream| stream.incarnation),
            prompt_tokens: usage.prompt_tokens,
            cached_tokens: usage.cached_tokens(),
            completion_tokens: usage.completion_tokens,
            first_token: attempt.first_token.unwrap_or_default(),
        };
        self.end_attempt(outcome);
    }

    /// Cancels the current attempt and settles its charge.
    pub(super) fn abandon_attempt(&mut self) {
        let (_, attempt) = self.end_attempt(AttemptOutcome::Cancelled);
        let sent = attempt.filter(|attempt| attempt.is_sent);
        match sent {
            Some(attempt) => {
                self.settle_in_full();
                self.cancel_at_engine(attempt);
            }
            None => self.settle(|_| 0),
        }
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        self.abandon_attempt();
        if let Some(run) = self.silent_run.take() {
            self.end_silent_run(run, AttemptOutcome::Cancelled);
        }
    }
}

/// Returns the expected duration of the prefill on the model's targets.
fn prefill_duration(config: &ConfigSnapshot, call: &ModelCall) -> Duration {
    let model = config.fleet.models.get(&call.model);
    let rate = model.map_or(1, |model| model.prefill_tokens_per_s.max(1));
    Duration::from_millis(call.prompt_tokens * 1000 / rate)
}

/// Returns the timeout for the first token, counted from the arrival of the request.
pub(super) fn first_token_timeout(config: &ConfigSnapshot, call: &ModelCall) -> Duration {
    let model = config.fleet.models.get(&call.model);
    let timeout_ms = model.map_or(0, |model| model.first_token_deadline_ms);
    Duration::from_millis(timeout_ms) + prefill_duration(config, call)
}

/// Moves the tokens generated by earlier attempts from the prompt count to the completion count.
fn adjust_usage(data: &Bytes, earlier_tokens: Tokens) -> Bytes {
    let Ok(mut chunk) = serde_json::from_slice::<serde_json::Value>(data) else {
        return data.clone();
    };
    let usage = &mut chunk["usage"];
    let count = |value: &serde_json::Value| value.as_u64().unwrap_or(0);
    let prompt = count(&usage["prompt_tokens"]).saturating_sub(earlier_tokens);
    let completion = count(&usage["completion_tokens"]) + earlier_tokens;
    usage["prompt_tokens"] = prompt.into();
    usage["completion_tokens"] = completion.into();
    usage["total_tokens"] = (prompt + completion).into();
    chunk.to_string().into()
}
