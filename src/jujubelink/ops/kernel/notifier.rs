//! Wakes tasks that wait for the next change.

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
    /// One waker for each waiting future; a future removes its own when it is dropped.
    wakers: RefCell<BTreeMap<u64, Waker>>,
}

/// A change that any number of tasks wait for. Clones share it.
#[derive(Clone, Default)]
pub struct Notifier {
    shared: Rc<Shared>,
}

impl Notifier {
    /// A notifier that nobody waits for.
    pub fn new() -> Self {
        Self::default()
    }

    /// Completes all futures made by [`Notifier::changed`] before this call.
    pub fn notify(&self) {
        self.shared.generation.set(self.shared.generation.get() + 1);
        for waker in self.shared.wakers.take().into_values() {
            waker.wake();
        }
    }

    /// A future that completes at the next [`Notifier::notify`] after this call, also when it is
    /// first polled later than that.
    pub fn changed(&self) -> impl Future<Output = ()> + 'static {
        let id = self.shared.next_id.get();
        self.shared.next_id.set(id + 1);
        Changed {
            shared: Rc::clone(&self.shared),
            seen: self.shared.generation.get(),
            id,
        }
    }

    /// Number of tasks that wait.
    pub fn waiting(&self) -> usize {
        self.shared.wakers.borrow().len()
    }
}

struct Changed {
    shared: Rc<Shared>,
    seen: u64,
    id: u64,
}

impl Future for Changed {
    type Output = ();

    fn poll(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        if self.shared.generation.get() != self.seen {
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
