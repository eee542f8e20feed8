//! Memory that is held for clients, shared by all connections.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::IpAddr;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Instant;

use crate::core::capacity::{
    Admission, ConnectionId, ConnectionPhase, Grant, Ledger, LedgerLimits, Owner, TransferId,
};
use crate::core::ids::{Timestamp, WorkspaceId};

/// The memory for clients. Clones share it.
#[derive(Debug, Clone)]
pub struct MemoryBudget(Rc<Shared>);

#[derive(Debug)]
struct Shared {
    ledger: RefCell<Ledger>,
    /// Transfers and connections that have to end, and those that wait for that.
    ends: RefCell<HashMap<u64, End>>,
    started: Instant,
}

/// Whether a transfer or a connection has to end.
#[derive(Debug)]
enum End {
    /// Not yet. Wakes its task if it has to.
    Awaited(Waker),
    Due,
}

impl MemoryBudget {
    /// Creates a budget of which nothing is used.
    pub fn new(limit_bytes: usize) -> Self {
        Self::with_ledger(Ledger::new(limit_bytes))
    }

    /// Creates a budget with the given limits.
    pub fn with_limits(limits: LedgerLimits) -> Self {
        Self::with_ledger(Ledger::with_limits(limits))
    }

    fn with_ledger(ledger: Ledger) -> Self {
        Self(Rc::new(Shared {
            ledger: RefCell::new(ledger),
            ends: RefCell::default(),
            started: Instant::now(),
        }))
    }

    /// Bytes that transfers hold now.
    pub fn held_bytes(&self) -> usize {
        self.0.ledger.borrow().held_bytes()
    }

    /// Bytes that transfers and connections hold now.
    pub fn total_bytes(&self) -> usize {
        self.0.ledger.borrow().total_bytes()
    }

    /// Admits a connection that holds `bytes`. Returns `None` if there is no room for it.
    pub fn open_connection(
        &self,
        address: Option<IpAddr>,
        bytes: usize,
    ) -> Option<OpenedConnection> {
        let now = self.0.now();
        let admission = self
            .0
            .ledger
            .borrow_mut()
            .open_connection(address, bytes, now);
        let Admission::Admitted { id, ended } = admission else {
            return None;
        };
        let ended_connections = ended.len();
        self.0.end_all(ended);
        Some(OpenedConnection {
            memory: ConnectionMemory {
                shared: Rc::clone(&self.0),
                id,
                address,
            },
            ended_connections,
        })
    }

    /// Begins a transfer from a client whose connection is not known.
    pub fn begin(&self, owner: Owner) -> Reservation {
        self.0.begin(None, owner)
    }
}

/// An admitted connection.
#[derive(Debug)]
pub struct OpenedConnection {
    /// What it holds.
    pub memory: ConnectionMemory,
    /// Number of connections that end in favor of it.
    pub ended_connections: usize,
}

/// Room for one connection. Dropping it releases the room.
#[derive(Debug)]
pub struct ConnectionMemory {
    shared: Rc<Shared>,
    id: ConnectionId,
    address: Option<IpAddr>,
}

impl ConnectionMemory {
    /// Begins a transfer that ends with the connection.
    pub fn begin(&self) -> Reservation {
        let owner = Owner {
            address: self.address,
            workspace: None,
        };
        self.shared.begin(Some(self.id), owner)
    }

    /// Records what the connection does.
    pub fn set_phase(&self, phase: ConnectionPhase) {
        let now = self.shared.now();
        self.shared
            .ledger
            .borrow_mut()
            .set_phase(self.id, phase, now);
    }

    /// Reserves further memory for the connection as far as it is left. Returns whether it is.
    pub fn grow_if_free(&self, bytes: usize) -> bool {
        let mut ledger = self.shared.ledger.borrow_mut();
        ledger.grow_connection_if_free(self.id, bytes)
    }

    /// Completes once the connection has to end in favor of others.
    pub fn poll_end(&self, cx: &mut Context<'_>) -> Poll<()> {
        self.shared.poll_end(self.id, cx)
    }
}

impl Drop for ConnectionMemory {
    fn drop(&mut self) {
        self.shared.ledger.borrow_mut().close_connection(self.id);
        self.shared.ends.borrow_mut().remove(&self.id);
    }
}

impl Shared {
    fn now(&self) -> Timestamp {
        self.started.elapsed()
    }

    fn begin(self: &Rc<Self>, connection: Option<ConnectionId>, owner: Owner) -> Reservation {
        let now = self.now();
        Reservation {
            id: self.ledger.borrow_mut().begin_on(connection, owner, now),
            shared: Rc::clone(self),
        }
    }

    /// Notifies transfers and connections that have to end.
    fn end_all(&self, ended: Vec<u64>) {
        for id in ended {
            let previous = self.ends.borrow_mut().insert(id, End::Due);
            if let Some(End::Awaited(waker)) = previous {
                waker.wake();
            }
        }
    }

    fn poll_end(&self, id: u64, cx: &mut Context<'_>) -> Poll<()> {
        let mut ends = self.ends.borrow_mut();
        match ends.get_mut(&id) {
            Some(End::Due) => Poll::Ready(()),
            Some(End::Awaited(waker)) if waker.will_wake(cx.waker()) => Poll::Pending,
            _ => {
                ends.insert(id, End::Awaited(cx.waker().clone()));
                Poll::Pending
            }
        }
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
        self.shared.end_all(ended);
        true
    }

    /// Reserves further memory as far as it is left, so that no other transfer ends for it. Returns whether it is.
    pub fn grow_if_free(&self, bytes: usize) -> bool {
        let mut ledger = self.shared.ledger.borrow_mut();
        ledger.grow_if_free(self.id, bytes)
    }

    /// Begins the reservation for something else that is held for the same owner and connection. It ends only with
    /// the connection.
    pub fn begin_beside(&self) -> Reservation {
        let now = self.shared.now();
        Reservation {
            id: self.shared.ledger.borrow_mut().begin_beside(self.id, now),
            shared: Rc::clone(&self.shared),
        }
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
        self.shared.poll_end(self.id, cx)
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.shared.ledger.borrow_mut().end(self.id);
        self.shared.ends.borrow_mut().remove(&self.id);
    }
}
