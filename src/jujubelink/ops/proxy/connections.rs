//! Counters and limits for open connections, running requests and buffered bodies.

use std::cell::Cell;
use std::rc::Rc;

use crate::util::http::{Body, attach_guard};

/// Further client connections are closed at once, so that clients without a key cannot exhaust the
/// process's file descriptors.
const MAX_CONNECTIONS: usize = 16_384;

/// From this number on, connections that have been idle for too long are closed also if the limit may
/// have been raised meanwhile.
const CROWDED_CONNECTIONS: usize = MAX_CONNECTIONS / 2;

/// Limit on the total size of buffered request bodies; requests beyond it are refused as
/// overloaded. A body stays buffered until its response has ended, because it may be needed to
/// continue the response on another target.
const MAX_BUFFERED_BODY_BYTES: usize = 128 * 1024 * 1024;

/// Current load from clients.
#[derive(Default)]
pub(super) struct Load {
    connections: Rc<Cell<usize>>,
    requests: Rc<Cell<usize>>,
    reserved_body_bytes: Rc<Cell<usize>>,
}

/// Memory reserved for a request body. Dropping it releases the reservation.
pub(super) struct BodyReservation {
    reserved_bytes: Rc<Cell<usize>>,
    bytes: usize,
}

impl BodyReservation {
    /// Reserves further memory. Returns whether that is within the limit.
    pub(super) fn grow(&mut self, bytes: usize) -> bool {
        let reserved = self.reserved_bytes.get() + bytes;
        if reserved > MAX_BUFFERED_BODY_BYTES {
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
    /// Counts a connection. Returns `None` at the limit.
    pub(super) fn begin_connection(&self) -> Option<LoadGuard> {
        (self.connections.get() < MAX_CONNECTIONS).then(|| LoadGuard::new(&self.connections))
    }

    /// Starts the reservation for a request body of unknown size.
    pub(super) fn begin_body(&self) -> BodyReservation {
        BodyReservation {
            reserved_bytes: Rc::clone(&self.reserved_body_bytes),
            bytes: 0,
        }
    }

    /// Reserves memory for a request body. Returns `None` if that exceeds the limit.
    pub(super) fn reserve_body(&self, bytes: usize) -> Option<BodyReservation> {
        let reserved = self.reserved_body_bytes.get() + bytes;
        if reserved > MAX_BUFFERED_BODY_BYTES {
            return None;
        }
        self.reserved_body_bytes.set(reserved);
        Some(BodyReservation {
            reserved_bytes: Rc::clone(&self.reserved_body_bytes),
            bytes,
        })
    }

    pub(super) fn begin_request(&self) -> LoadGuard {
        LoadGuard::new(&self.requests)
    }

    /// Whether room is needed for further connections.
    pub(super) fn is_crowded(&self) -> bool {
        self.connections.get() >= CROWDED_CONNECTIONS
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
