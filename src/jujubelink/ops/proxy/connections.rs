//! Counters and limits for open connections, running requests, and heads and bodies that are held.

use std::cell::Cell;
use std::net::IpAddr;
use std::rc::Rc;

use http::Version;
use http::request::Parts;

use crate::core::capacity::{
    CONNECTION_BYTES, ClientBounds, HEAD_FACTOR, LedgerLimits, REQUEST_BYTES, TLS_BYTES,
    UNSENT_BYTES,
};
use crate::util::http::{Body, attach_guard};
use crate::util::memory_budget::{ConnectionMemory, MemoryBudget, OpenedConnection, Reservation};

/// Current load from clients.
pub(super) struct Load {
    /// Connections beyond the bound are closed at once if no other one gives way to them, so that clients without a
    /// key cannot exhaust memory and file descriptors. Requests that exceed it are refused as overloaded: a body
    /// stays buffered until its response has ended, because it may be needed to continue the response at
    /// another target.
    bounds: ClientBounds,
    connections: Rc<Cell<usize>>,
    requests: Rc<Cell<usize>>,
    /// Memory for connections and requests.
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
            memory: MemoryBudget::with_limits(LedgerLimits {
                transfer_bytes: bounds.request_bytes,
                total_bytes: bounds.total_bytes,
                connections: bounds.connections,
            }),
        }
    }

    /// Opens a connection. Returns `None` at the limit if no other connection gives way.
    pub(super) fn open_connection(
        &self,
        address: Option<IpAddr>,
        has_tls: bool,
    ) -> Option<OpenedConnection> {
        let tls_bytes = if has_tls { TLS_BYTES } else { 0 };
        self.memory
            .open_connection(address, CONNECTION_BYTES + tls_bytes)
    }

    /// Counts a connection until it is closed.
    pub(super) fn count_connection(&self) -> LoadGuard {
        LoadGuard::new(&self.connections)
    }

    pub(super) fn begin_request(&self) -> LoadGuard {
        LoadGuard::new(&self.requests)
    }

    /// Whether room is needed for further connections. Those that have been idle for too long are then
    /// closed also if the limit may have been raised meanwhile.
    pub(super) fn is_crowded(&self) -> bool {
        self.connections.get() >= self.bounds.connections / 2
            || self.memory.total_bytes() >= self.bounds.total_bytes / 2
    }

    /// Most bytes of a read from a client.
    pub(super) fn read_bytes(&self) -> usize {
        self.bounds.read_bytes(self.connections.get())
    }

    /// Size of the receive buffer of the next connection; `None` if the kernel chooses it.
    pub(super) fn receive_bytes(&self) -> Option<usize> {
        self.bounds.receive_bytes(self.connections.get())
    }

    /// Most concurrent streams of a connection over HTTP/2.
    pub(super) fn http2_streams(&self) -> usize {
        self.bounds.http2_streams()
    }

    /// Reserves what a connection needs over HTTP/2. Returns whether it is left.
    pub(super) fn reserve_http2(&self, connection: &ConnectionMemory) -> bool {
        connection.grow_if_free(self.bounds.http2_connection_bytes())
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

/// Reserves the memory that a request needs beside its body. Returns `None` if too little is left.
pub(super) fn reserve_request(connection: &ConnectionMemory, head: &Parts) -> Option<Reservation> {
    let request_bytes = match head.version {
        Version::HTTP_2 => REQUEST_BYTES - UNSENT_BYTES,
        _ => REQUEST_BYTES,
    };
    let values = head.headers.iter();
    let header_bytes = values.map(|(name, value)| name.as_str().len() + value.len());
    let uri = head.uri.path_and_query();
    let uri_bytes = uri.map_or(0, |path| path.as_str().len());
    let head_bytes = header_bytes.sum::<usize>() + uri_bytes;
    let reservation = connection.begin();
    reservation
        .grow(request_bytes + HEAD_FACTOR * head_bytes)
        .then_some(reservation)
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
