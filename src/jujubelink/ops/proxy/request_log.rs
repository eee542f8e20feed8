//! Lines of a request that ends without an answer, in deployments with their own configuration.

use std::pin::Pin;
use std::task::{self, Poll};

use bytes::Bytes;
use http::request::Parts;
use http_body::{Body as _, Frame, SizeHint};

use super::refusal::Refusal;
use super::waits::{Awaited, ClientSide, CurrentWait};
use crate::core::ids::{RequestId, Timestamp};
use crate::ops::kernel::Context;
use crate::ops::telemetry::TraceContext;
use crate::util::duration::ms;
use crate::util::http::{Body, BodyError, ConnectionLoss};

/// Logs how a request ended, unless it was answered. A request that is dropped before was abandoned.
pub(super) struct RequestLog {
    context: Context,
    id: RequestId,
    trace: TraceContext,
    client: ClientSide,
    wait: CurrentWait,
    arrived: Timestamp,
    is_ended: bool,
}

impl RequestLog {
    pub(super) fn new(
        context: &Context,
        id: &RequestId,
        head: &Parts,
        trace: TraceContext,
    ) -> Self {
        Self {
            context: context.clone(),
            id: id.clone(),
            trace,
            client: ClientSide::of(head),
            wait: CurrentWait::default(),
            arrived: context.timers().boot_now(),
            is_ended: false,
        }
    }

    pub(super) fn wait(&self) -> CurrentWait {
        self.wait.clone()
    }

    /// Logs a refusal, unless its client cannot receive it any more.
    pub(super) fn log_refusal(mut self, refusal: &Refusal) {
        // A client that has only closed its sending side still reads.
        let loss = self.client.loss();
        if loss.is_some_and(|loss| loss != ConnectionLoss::Closed) {
            return;
        }
        self.is_ended = true;
        slog::info!(self.context.log(), "request refused"; "request" => &*self.id,
            "trace" => self.trace_id(), "code" => refusal.code.to_string(),
            "outcome" => refusal.outcome.to_string(), "reason" => &*refusal.message,
            "awaited" => self.wait.get().to_string(), "took_ms" => self.took_ms(),
            "retry_after_ms" => refusal.retry_after.map(ms));
    }

    /// Observes the body of the response, up to its end.
    pub(super) fn attach_to(self, body: Body) -> Body {
        self.wait.set(Awaited::ClientRead);
        Box::pin(LoggedBody { body, log: self })
    }

    fn log_early_end(&mut self, error: &BodyError) {
        self.is_ended = true;
        slog::info!(self.context.log(), "response ended early"; "request" => &*self.id,
            "trace" => self.trace_id(), "reason" => error.to_string(), "took_ms" => self.took_ms());
        self.context.metrics().count("ended_early", 1);
    }

    fn log_abandoned(&self) {
        let awaited = self.wait.get();
        let lifecycle = self.context.shutdown().lifecycle();
        let ended_by = self.client.ended_by(awaited, lifecycle, false);
        slog::info!(self.context.log(), "request abandoned"; "request" => &*self.id,
            "trace" => self.trace_id(), "reason" => ended_by.to_string(),
            "awaited" => awaited.to_string(), "lifecycle" => format!("{lifecycle:?}"),
            "took_ms" => self.took_ms());
        self.context.metrics().count("abandoned", 1);
    }

    fn trace_id(&self) -> String {
        format!("{:032x}", self.trace.trace_id)
    }

    fn took_ms(&self) -> u64 {
        ms(self
            .context
            .timers()
            .boot_now()
            .saturating_sub(self.arrived))
    }
}

impl Drop for RequestLog {
    fn drop(&mut self) {
        if !self.is_ended {
            self.log_abandoned();
        }
    }
}

/// The body of a response, whose end is the end of its request.
struct LoggedBody {
    body: Body,
    log: RequestLog,
}

impl http_body::Body for LoggedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.log.wait.get() == Awaited::ClientRead {
            self.log.wait.set(Awaited::ResponseBody);
        }
        let frame = std::task::ready!(self.body.as_mut().poll_frame(cx));
        match &frame {
            None => self.log.is_ended = true,
            Some(Ok(_)) => self.log.wait.set(Awaited::ClientRead),
            Some(Err(error)) => self.log.log_early_end(error),
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for LoggedBody {
    fn drop(&mut self) {
        // hyper does not poll a body whose length has arrived.
        self.log.is_ended |= self.body.is_end_stream();
    }
}
