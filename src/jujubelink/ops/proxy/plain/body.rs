//! Streamed request and response bodies.

use std::cell::RefCell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use http_body::{Body as _, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::PlainCall;
use crate::core::config::OnDisconnect;
use crate::ops::services::{AttemptOutcome, Placement, SchedulerService};
use crate::util::http::{Body, BodyError};

/// Maximum pause of a client while it sends a body. A slower client would occupy a connection to a
/// target.
const CLIENT_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Maximum time for reading a response after its client has disconnected.
const DETACHED_READ_TIMEOUT: Duration = Duration::from_secs(600);

/// Receives the rest of a client's body from its reader, so that it can be read beside a refusal.
#[derive(Clone, Default)]
pub(super) struct UnreadRest(Rc<RefCell<Option<Incoming>>>);

impl UnreadRest {
    pub(super) fn take(&self) -> Option<Incoming> {
        self.0.take()
    }
}

/// A client's body that fails if the client pauses for too long.
pub(super) struct IdleTimeoutBody {
    /// `None` only while it is dropped.
    body: Option<Incoming>,
    unread: UnreadRest,
    last_data: Instant,
    timer: Option<LocalBoxFuture<'static, ()>>,
}

impl IdleTimeoutBody {
    pub(super) fn new(body: Incoming, unread: &UnreadRest) -> Self {
        Self {
            body: Some(body),
            unread: unread.clone(),
            last_data: Instant::now(),
            timer: None,
        }
    }

    pub(super) fn boxed(self) -> Body {
        Box::pin(self)
    }

    fn poll_idle(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            let deadline = self.last_data + CLIENT_IDLE_TIMEOUT;
            let timer = self
                .timer
                .get_or_insert_with(|| Box::pin(compio::time::sleep_until(deadline)));
            ready!(timer.as_mut().poll(cx));
            self.timer = None;
            if self.last_data.elapsed() >= CLIENT_IDLE_TIMEOUT {
                return Poll::Ready(());
            }
        }
    }
}

impl http_body::Body for IdleTimeoutBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let Some(body) = self.body.as_mut() else {
            return Poll::Ready(None);
        };
        match Pin::new(body).poll_frame(cx) {
            Poll::Ready(frame) => {
                self.last_data = Instant::now();
                Poll::Ready(frame.map(|frame| frame.map_err(Into::into)))
            }
            Poll::Pending => {
                ready!(self.poll_idle(cx));
                Poll::Ready(Some(Err("the client paused for too long".into())))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.body.as_ref().is_none_or(|body| body.is_end_stream())
    }

    fn size_hint(&self) -> SizeHint {
        let body = self.body.as_ref();
        body.map_or_else(SizeHint::default, |body| body.size_hint())
    }
}

impl Drop for IdleTimeoutBody {
    fn drop(&mut self) {
        *self.unread.0.borrow_mut() = self.body.take();
    }
}

/// Returns a body whose beginning has already been read.
pub(super) fn with_prefix(prefix: Bytes, rest: Incoming, unread: &UnreadRest) -> Body {
    let first = futures_util::stream::once(async move { Ok(Frame::data(prefix)) });
    let rest = http_body_util::BodyStream::new(IdleTimeoutBody::new(rest, unread));
    let frames = futures_util::StreamExt::chain(first, rest);
    Box::pin(http_body_util::StreamBody::new(frames))
}

/// A target's response body that is forwarded to the client. Reports the end of the attempt once.
pub(super) struct ResponseBody {
    body: Option<Incoming>,
    call: PlainCall,
    placement: Option<Placement>,
    first_byte: Duration,
}

impl ResponseBody {
    pub(super) fn new(
        body: Incoming,
        call: PlainCall,
        placement: Placement,
        first_byte: Duration,
    ) -> Self {
        let mut this = Self {
            body: Some(body),
            call,
            placement: Some(placement),
            first_byte,
        };
        if this.body.as_ref().is_some_and(|body| body.is_end_stream()) {
            let outcome = this.completed_outcome();
            this.end_attempt(outcome);
        }
        this
    }

    fn completed_outcome(&self) -> AttemptOutcome {
        AttemptOutcome::Completed {
            incarnation: 0,
            prompt_tokens: 0,
            cached_tokens: 0,
            completion_tokens: 0,
            first_token: self.first_byte,
        }
    }

    fn end_attempt(&mut self, outcome: AttemptOutcome) {
        if let Some(placement) = self.placement.take() {
            let scheduler = self.call.proxy.service::<dyn SchedulerService>();
            scheduler.report_plain(placement, outcome);
        }
    }

    fn is_key_revoked(&self, cx: &Context<'_>) -> bool {
        let caller = self.call.caller.as_ref();
        caller.is_some_and(|caller| caller.revocation.poll_revoked(cx))
    }
}

impl http_body::Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.is_key_revoked(cx) {
            return Poll::Ready(Some(Err("the key was withdrawn".into())));
        }
        let Some(body) = self.body.as_mut() else {
            return Poll::Ready(None);
        };
        let frame = ready!(Pin::new(body).poll_frame(cx));
        match &frame {
            None => {
                let outcome = self.completed_outcome();
                self.end_attempt(outcome);
            }
            Some(Err(_)) => self.end_attempt(AttemptOutcome::Crashed),
            Some(Ok(_)) => {}
        }
        Poll::Ready(frame.map(|frame| frame.map_err(Into::into)))
    }

    fn is_end_stream(&self) -> bool {
        self.body.as_ref().is_none_or(|body| body.is_end_stream())
    }

    fn size_hint(&self) -> SizeHint {
        let body = self.body.as_ref();
        body.map_or_else(SizeHint::default, |body| body.size_hint())
    }
}

impl Drop for ResponseBody {
    fn drop(&mut self) {
        let continues_on_disconnect = self.call.route.on_disconnect == OnDisconnect::Continue;
        let Some(placement) = self.placement.take() else {
            return;
        };
        let scheduler = self.call.proxy.service::<dyn SchedulerService>();
        match self.body.take().filter(|body| !body.is_end_stream()) {
            None => scheduler.report_plain(placement, self.completed_outcome()),
            Some(body) if continues_on_disconnect => {
                finish_reading_detached(body, placement, scheduler, self.completed_outcome())
            }
            Some(_) => scheduler.report_plain(placement, AttemptOutcome::Cancelled),
        }
    }
}

/// Reads a response to its end in the background, so that the target does not see a closed
/// connection.
fn finish_reading_detached(
    mut body: Incoming,
    placement: Placement,
    scheduler: Rc<dyn SchedulerService>,
    completed: AttemptOutcome,
) {
    compio::runtime::spawn(async move {
        let read = async {
            while let Some(frame) = body.frame().await {
                if frame.is_err() {
                    return AttemptOutcome::Crashed;
                }
            }
            completed
        };
        let outcome = compio::time::timeout(DETACHED_READ_TIMEOUT, read).await;
        scheduler.report_plain(placement, outcome.unwrap_or(AttemptOutcome::TimedOut));
    })
    .detach();
}
