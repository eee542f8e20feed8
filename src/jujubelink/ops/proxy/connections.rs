//! Counters and limits for open connections, running requests and buffered bodies.

use std::cell::Cell;
use std::rc::Rc;

use crate::core::capacity::ClientBounds;
use crate::util::http::{Body, attach_guard};

/// Current load from clients.
pub(super) struct Load {
    /// Further connections are closed at once, so that clients without a key cannot exhaust memory and
    /// file descriptors. Requests whose bodies exceed the bound for them are refused as overloaded: a body
    /// stays buffered until its response has ended, because it may be needed to continue the response at
    /// another target.
    bounds: ClientBounds,
    connections: Rc<Cell<usize>>,
    requests: Rc<Cell<usize>>,
    reserved_body_bytes: Rc<Cell<usize>>,
}

/// Memory reserved for a request body. Dropping it releases the reservation.
pub(super) struct BodyReservation {
    reserved_bytes: Rc<Cell<usize>>,
    limit_bytes: usize,
    bytes: usize,
}

impl BodyReservation {
    /// Reserves further memory. Returns whether that is within the limit.
    pub(super) fn grow(&mut self, bytes: usize) -> bool {
        let reserved = self.reserved_bytes.get() + bytes;
        if reserved > self.limit_bytes {
            return false;
        }
        self.reserved_bytes.set(reserved);
        self.bytes += bytes;
        true
    }

    /// Releases what exceeds `bytes`.
    pub(super) fn shrink_to(&mut self, bytes: usize) {
        let excess = self.bytes.saturating_sub(bytes);
        self.reserved_bytes.set(self.reserved_bytes.get() - excess);
        self.bytes -= excess;
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.reserved_bytes
            .set(self.reserved_bytes.get() - self.bytes);
    }
}

/// Counts one connection or request until it is dropped.
pub(super) struct LoadGuard(Rc<Cell<usize>>);

impl Load {
    pub(super) fn new(bounds: ClientBounds) -> Self {
        Self {
            bounds,
            connections: Rc::default(),
            requests: Rc::default(),
            reserved_body_bytes: Rc::default(),
        }
    }

    /// Counts a connection. Returns `None` at the limit.
    pub(super) fn begin_connection(&self) -> Option<LoadGuard> {
        (self.connections.get() < self.bounds.connections)
            .then(|| LoadGuard::new(&self.connections))
    }

    /// Starts the reservation for a request body of unknown size.
    pub(super) fn begin_body(&self) -> BodyReservation {
        BodyReservation {
            reserved_bytes: Rc::clone(&self.reserved_body_bytes),
            limit_bytes: self.bounds.body_bytes,
            bytes: 0,
        }
    }

    /// Reserves memory for a request body. Returns `None` if that exceeds the limit.
    pub(super) fn reserve_body(&self, bytes: usize) -> Option<BodyReservation> {
        let mut reservation = self.begin_body();
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
