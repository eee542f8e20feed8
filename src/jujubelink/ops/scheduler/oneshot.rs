//! A single value passed to one waiting task.

use std::cell::RefCell;
use std::rc::Rc;
use std::task::{Poll, Waker};

/// The value and the waker of its receiver. Clones share them.
pub(super) struct Oneshot<T>(Rc<RefCell<OneshotState<T>>>);

struct OneshotState<T> {
    value: Option<T>,
    waker: Option<Waker>,
}

impl<T> Clone for Oneshot<T> {
    fn clone(&self) -> Self {
        Self(Rc::clone(&self.0))
    }
}

impl<T> Oneshot<T> {
    pub(super) fn new() -> Self {
        Self(Rc::new(RefCell::new(OneshotState {
            value: None,
            waker: None,
        })))
    }

    pub(super) fn send(&self, value: T) {
        let mut state = self.0.borrow_mut();
        state.value = Some(value);
        if let Some(waker) = state.waker.take() {
            waker.wake();
        }
    }

    pub(super) fn take(&self) -> Option<T> {
        self.0.borrow_mut().value.take()
    }

    pub(super) async fn recv(&self) -> T {
        std::future::poll_fn(|cx| {
            let mut state = self.0.borrow_mut();
            if let Some(value) = state.value.take() {
                return Poll::Ready(value);
            }
            state.waker = Some(cx.waker().clone());
            Poll::Pending
        })
        .await
    }
}
