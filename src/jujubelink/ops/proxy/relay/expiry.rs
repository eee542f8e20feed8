//! End of a response whose client has stopped reading.

use std::cell::RefCell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use bytes::Bytes;
use compio::runtime::JoinHandle;
use http_body::{Frame, SizeHint};

use crate::core::ids::{RequestId, Timestamp};
use crate::ops::kernel;
use crate::util::http::{Body, BodyError};

/// Time after the deadline in which a response that its client reads ends by itself.
const READ_MARGIN: Duration = Duration::from_millis(100);

/// A body that ends after the deadline, also while its client reads nothing. Until the client has room
/// for more, a body is not polled, and its target would stay at work.
struct ExpiringBody {
    state: Rc<RefCell<State>>,
    /// Ends the body. Dropping it cancels the task.
    _expiry: JoinHandle<()>,
}

struct State {
    /// `None` once the deadline has passed.
    body: Option<Body>,
    waker: Option<Waker>,
}

/// Ends `body` after the deadline of its request, and with it the request at the target.
pub(super) fn with_expiry(
    body: Body,
    context: &kernel::Context,
    id: RequestId,
    deadline: Timestamp,
) -> Body {
    let state = Rc::new(RefCell::new(State {
        body: Some(body),
        waker: None,
    }));
    let (expiring, context) = (Rc::clone(&state), context.clone());
    let expires_at = deadline.saturating_add(READ_MARGIN);
    let expiry = compio::runtime::spawn(async move {
        let timers = context.timers();
        loop {
            let remaining = expires_at.saturating_sub(timers.boot_now());
            if remaining.is_zero() {
                break;
            }
            timers.sleep(remaining).await;
        }
        let (body, waker) = {
            let mut state = expiring.borrow_mut();
            (state.body.take(), state.waker.take())
        };
        slog::info!(context.log(), "response ended, as its client does not read it"; "request" => &*id);
        drop(body);
        waker.into_iter().for_each(Waker::wake);
    });
    Box::pin(ExpiringBody {
        state,
        _expiry: expiry,
    })
}

impl http_body::Body for ExpiringBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let mut state = self.state.borrow_mut();
        state.waker = Some(cx.waker().clone());
        match &mut state.body {
            Some(body) => body.as_mut().poll_frame(cx),
            None => Poll::Ready(Some(Err("the deadline passed".into()))),
        }
    }

    fn is_end_stream(&self) -> bool {
        let state = self.state.borrow();
        state.body.as_ref().is_some_and(|body| body.is_end_stream())
    }

    fn size_hint(&self) -> SizeHint {
        let state = self.state.borrow();
        state
            .body
            .as_ref()
            .map_or_else(SizeHint::default, |body| body.size_hint())
    }
}
