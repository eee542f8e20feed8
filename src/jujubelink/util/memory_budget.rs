//! Memory that is held for clients, shared by all connections.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Instant;

use crate::core::capacity::{Grant, Ledger, Owner, TransferId};
use crate::core::ids::{Timestamp, WorkspaceId};

/// The memory for clients. Clones share it.
#[derive(Debug, Clone)]
pub struct MemoryBudget(Rc<Shared>);

#[derive(Debug)]
struct Shared {
    ledger: RefCell<Ledger>,
    /// Transfers that have to end, and those that wait for that.
    ends: RefCell<HashMap<TransferId, End>>,
    started: Instant,
}

/// Whether a transfer has to end.
#[derive(Debug)]
enum End {
    /// Not yet. Wakes the task of the transfer if it has to.
    Awaited(Waker),
    Due,
}

impl MemoryBudget {
    /// Creates a budget of which nothing is used.
    pub fn new(limit_bytes: usize) -> Self {
        Self(Rc::new(Shared {
            ledger: RefCell::new(Ledger::new(limit_bytes)),
            ends: RefCell::default(),
            started: Instant::now(),
        }))
    }

    /// Bytes that are held now.
    pub fn held_bytes(&self) -> usize {
        self.0.ledger.borrow().held_bytes()
    }

    /// Begins a transfer from a client.
    pub fn begin(&self, owner: Owner) -> Reservation {
        let now = self.0.now();
        Reservation {
            id: self.0.ledger.borrow_mut().begin(owner, now),
            shared: Rc::clone(&self.0),
        }
    }
}

impl Shared {
    fn now(&self) -> Timestamp {
        self.started.elapsed()
    }
}

/// Memory that is held for one transfer. Dropping it releases the memory.
#[derive(Debug)]
pub struct Reservation {
    shared: Rc<Shared>,
    id: TransferId,
}

impl Reservation {
    /// Reserves further memory. Returns whether enough is left. Other transfers may have to end for it.
    pub fn grow(&self, bytes: usize) -> bool {
        let now = self.shared.now();
        let grant = self.shared.ledger.borrow_mut().grow(self.id, bytes, now);
        let Grant::Granted { ended } = grant else {
            return false;
        };
        for id in ended {
            let previous = self.shared.ends.borrow_mut().insert(id, End::Due);
            if let Some(End::Awaited(waker)) = previous {
                waker.wake();
            }
        }
        true
    }

    /// Reserves further memory as far as it is left, so that no other transfer ends for it. Returns whether it is.
    pub fn grow_if_free(&self, bytes: usize) -> bool {
        let mut ledger = self.shared.ledger.borrow_mut();
        ledger.grow_if_free(self.id, bytes)
    }

    /// Counts the transfer for a workspace.
    pub fn set_workspace(&self, workspace: Option<WorkspaceId>) {
        let mut ledger = self.shared.ledger.borrow_mut();
        ledger.set_workspace(self.id, workspace);
    }

    /// Records that the transfer has arrived completely, after which it does not have to end.
    pub fn complete(&self) {
        self.shared.ledger.borrow_mut().complete(self.id);
    }

    /// Releases what exceeds `bytes`.
    pub fn shrink_to(&self, bytes: usize) {
        self.shared.ledger.borrow_mut().shrink_to(self.id, bytes);
    }

    /// Completes once the transfer has to end, as its memory is needed for others.
    pub fn poll_end(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut ends = self.shared.ends.borrow_mut();
        match ends.get(&self.id) {
            Some(End::Due) => Poll::Ready(()),
            _ => {
                ends.insert(self.id, End::Awaited(cx.waker().clone()));
                Poll::Pending
            }
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.shared.ledger.borrow_mut().end(self.id);
        self.shared.ends.borrow_mut().remove(&self.id);
    }
}
