//! State of the graceful shutdown, which logs and the administration API call the planned stop.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::task::{Poll, Waker};

/// Lifecycle state of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Lifecycle {
    /// Requests are served.
    Running,
    /// A graceful shutdown was requested.
    Draining,
    /// Connections are closed once they have no request in progress.
    Closing,
}

#[derive(Default)]
struct Shared {
    state: Cell<u8>,
    next_waiter_id: Cell<u64>,
    /// Wakers of the waiting futures, by their ids. A map, so that polling a future takes constant
    /// time.
    wakers: RefCell<HashMap<u64, Waker>>,
}

/// State of the graceful shutdown. Clones share it.
#[derive(Clone, Default)]
pub struct Shutdown {
    shared: Rc<Shared>,
}

impl Shutdown {
    /// Creates the state of a running process.
    pub fn new() -> Self {
        Self::default()
    }

    /// Starts the graceful shutdown. Further calls have no effect.
    pub fn request(&self) {
        self.advance(Lifecycle::Draining);
    }

    /// Starts to close connections that have no request in progress.
    pub fn close_connections(&self) {
        self.advance(Lifecycle::Closing);
    }

    /// Returns the current state.
    pub fn lifecycle(&self) -> Lifecycle {
        match self.shared.state.get() {
            0 => Lifecycle::Running,
            1 => Lifecycle::Draining,
            _ => Lifecycle::Closing,
        }
    }

    /// Completes once a graceful shutdown is requested.
    pub async fn requested(&self) {
        self.wait_for(Lifecycle::Draining).await;
    }

    /// Completes once connections without a request in progress are to be closed.
    pub async fn closing(&self) {
        self.wait_for(Lifecycle::Closing).await;
    }

    fn advance(&self, state: Lifecycle) {
        if self.lifecycle() >= state {
            return;
        }
        self.shared.state.set(state as u8);
        for (_, waker) in self.shared.wakers.take() {
            waker.wake();
        }
    }

    async fn wait_for(&self, state: Lifecycle) {
        let id = self.shared.next_waiter_id.get();
        self.shared.next_waiter_id.set(id + 1);
        let waiter = Waiter {
            shared: Rc::clone(&self.shared),
            id,
        };
        std::future::poll_fn(|cx| {
            if self.lifecycle() >= state {
                return Poll::Ready(());
            }
            waiter.register(cx.waker());
            Poll::Pending
        })
        .await;
    }
}

/// Registration of a waiting future, removed when the future is dropped.
struct Waiter {
    shared: Rc<Shared>,
    id: u64,
}

impl Waiter {
    fn register(&self, waker: &Waker) {
        let mut wakers = self.shared.wakers.borrow_mut();
        match wakers.get_mut(&self.id) {
            Some(registered) => registered.clone_from(waker),
            None => drop(wakers.insert(self.id, waker.clone())),
        }
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        self.shared.wakers.borrow_mut().remove(&self.id);
    }
}
