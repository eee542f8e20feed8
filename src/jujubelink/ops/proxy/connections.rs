//! Counts of open connections and running requests.

use std::cell::Cell;
use std::rc::Rc;

use crate::util::http::{Body, hold};

/// Connections of clients. Further ones are closed at once, so that clients without a key cannot
/// use up the process's descriptors.
const MAX_CONNECTIONS: usize = 16_384;

/// Bodies of model requests that are held at once; further requests are refused as overloaded. A body
/// is held until its answer has ended, for a continuation on another target.
const MAX_BUFFERED_BODY_BYTES: usize = 128 * 1024 * 1024;

/// Work under way on the clients' side.
#[derive(Default)]
pub(super) struct Load {
    connections: Rc<Cell<usize>>,
    requests: Rc<Cell<usize>>,
    reserved_body_bytes: Rc<Cell<usize>>,
}

/// Memory set aside for a body while it lives.
pub(super) struct BodyReservation {
    reserved_bytes: Rc<Cell<usize>>,
    bytes: usize,
}

impl BodyReservation {
    /// Gives back what the body did not need.
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

/// Counts one piece of work while it lives.
pub(super) struct LoadGuard(Rc<Cell<usize>>);

impl Load {
    /// Counts a connection; `None` above the bound.
    pub(super) fn begin_connection(&self) -> Option<LoadGuard> {
        (self.connections.get() < MAX_CONNECTIONS).then(|| LoadGuard::new(&self.connections))
    }

    /// Sets memory aside for a body; `None` above the bound.
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

    /// Counts a request.
    pub(super) fn begin_request(&self) -> LoadGuard {
        LoadGuard::new(&self.requests)
    }

    /// Open connections.
    pub(super) fn connections(&self) -> usize {
        self.connections.get()
    }

    /// Running requests, to the last byte of their answers.
    pub(super) fn requests(&self) -> usize {
        self.requests.get()
    }
}

impl LoadGuard {
    fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(Rc::clone(count))
    }

    /// Counts the request until the end of its answer.
    pub(super) fn hold(self, body: Body) -> Body {
        hold(body, self)
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
