//! Notification of tasks that wait for a change.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

#[derive(Default)]
struct Shared {
    generation: Cell<u64>,
    next_id: Cell<u64>,
    /// Wakers of the waiting futures, by their ids. A future removes its waker when it is dropped.
    wakers: RefCell<BTreeMap<u64, Waker>>,
}

/// Wakes all tasks that wait for the next change. Clones share the waiting tasks.
#[derive(Clone, Default)]
pub struct Notifier {
    shared: Rc<Shared>,
}

impl Notifier {
    /// Creates a notifier without waiting tasks.
    pub fn new() -> Self {
        Self::default()
    }

    /// Completes all futures that [`Notifier::changed`] returned before this call.
    pub fn notify(&self) {
        self.shared.generation.set(self.shared.generation.get() + 1);
        for waker in self.shared.wakers.take().into_values() {
            waker.wake();
        }
    }

    /// Returns a future that completes at the next [`Notifier::notify`] after this call, even if it is
    /// first polled after that.
    pub fn changed(&self) -> impl Future<Output = ()> + 'static {
        let id = self.shared.next_id.get();
        self.shared.next_id.set(id + 1);
        Changed {
            shared: Rc::clone(&self.shared),
            seen_generation: self.shared.generation.get(),
            id,
        }
    }

    /// Returns the number of waiting tasks.
    pub fn waiting(&self) -> usize {
        self.shared.wakers.borrow().len()
    }
}

struct Changed {
    shared: Rc<Shared>,
    seen_generation: u64,
    id: u64,
}

impl Future for Changed {
    type Output = ();

    fn poll(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        if self.shared.generation.get() != self.seen_generation {
            return Poll::Ready(());
        }
        let mut wakers = self.shared.wakers.borrow_mut();
        wakers.insert(self.id, cx.waker().clone());
        Poll::Pending
    }
}

impl Drop for Changed {
    fn drop(&mut self) {
        self.shared.wakers.borrow_mut().remove(&self.id);
    }
}
