//! Counters and limits for open connections, running requests, and heads and bodies that are held.

use std::cell::Cell;
use std::net::IpAddr;
use std::rc::Rc;

use crate::core::capacity::{ClientBounds, Owner};
use crate::util::http::{Body, attach_guard};
use crate::util::memory_budget::{MemoryBudget, Reservation};

/// Current load from clients.
pub(super) struct Load {
    /// Further connections are closed at once, so that clients without a key cannot exhaust memory and
    /// file descriptors. Requests whose bodies exceed the bound for them are refused as overloaded: a body
    /// stays buffered until its response has ended, because it may be needed to continue the response at
    /// another target.
    bounds: ClientBounds,
    connections: Rc<Cell<usize>>,
    requests: Rc<Cell<usize>>,
    /// Memory for heads and bodies.
    memory: MemoryBudget,
}

/// Counts one connection or request until it is dropped.
pub(super) struct LoadGuard(Rc<Cell<usize>>);

impl Load {
    pub(super) fn new(bounds: ClientBounds) -> Self {
        Self {
            bounds,
            connections: Rc::default(),
            requests: Rc::default(),
            memory: MemoryBudget::new(bounds.body_bytes),
        }
    }

    /// Counts a connection. Returns `None` at the limit.
    pub(super) fn begin_connection(&self) -> Option<LoadGuard> {
        (self.connections.get() < self.bounds.connections)
            .then(|| LoadGuard::new(&self.connections))
    }

    /// Starts the reservation for a head or body of unknown size.
    pub(super) fn begin_transfer(&self, address: Option<IpAddr>) -> Reservation {
        self.memory.begin(Owner {
            address,
            workspace: None,
        })
    }

    /// Starts the reservation for what a client does not take or has not sent yet. It does not have to end in favor
    /// of transfers.
    pub(super) fn begin_held(&self, address: Option<IpAddr>) -> Reservation {
        let reservation = self.begin_transfer(address);
        reservation.complete();
        reservation
    }

    /// Reserves memory for a request body. Returns `None` if that exceeds the limit.
    pub(super) fn reserve_body(&self, bytes: usize) -> Option<Reservation> {
        let reservation = self.begin_transfer(None);
        reservation.complete();
        reservation.grow(bytes).then_some(reservation)
    }

    pub(super) fn begin_request(&self) -> LoadGuard {
        LoadGuard::new(&self.requests)
    }

    /// Whether room is needed for further connections. Those that have been idle for too long are then
    /// closed also if the limit may have been raised meanwhile.
    pub(super) fn is_crowded(&self) -> bool {
        self.connections.get() >= self.bounds.connections / 2
    }

    /// Most bytes of a read from a client.
    pub(super) fn read_bytes(&self) -> usize {
        self.bounds.read_bytes(self.connections.get())
    }

    /// Number of open connections.
    pub(super) fn connections(&self) -> usize {
        self.connections.get()
    }

    /// Number of running requests. A request runs until the last byte of its response is sent.
    pub(super) fn requests(&self) -> usize {
        self.requests.get()
    }
}

impl LoadGuard {
    fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(Rc::clone(count))
    }

    /// Counts the request until its response body ends.
    pub(super) fn attach_to(self, body: Body) -> Body {
        attach_guard(body, self)
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
