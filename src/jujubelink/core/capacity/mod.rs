//! How much of its machine an instance uses for clients.

mod ledger;

pub use ledger::{Grant, Ledger, Owner, TransferId};

/// Most connections of clients, on a machine of any size.
const MAX_CONNECTIONS: u64 = 16_384;

/// Most memory for heads and bodies of requests, on a machine of any size, in bytes.
const MAX_BODY_BYTES: u64 = 128 * 1024 * 1024;

/// Memory that a connection without a request needs, in bytes, including its part of the allocator's
/// overhead.
const CONNECTION_BYTES: u64 = 32 * 1024;

/// Descriptors for files and for connections to the store, to other instances and of operators.
const RESERVED_DESCRIPTORS: u64 = 400;

/// Most bytes of a read from a client, on a machine of any size.
const MAX_READ_BYTES: usize = 64 * 1024;

/// Bytes of a read from a client while there are many connections. hyper doubles its read buffer of 8 KiB
/// after a read that fills it, so reads are one byte shorter.
const MIN_READ_BYTES: usize = 8 * 1024 - 1;

/// Largest head of a request that a connection accepts, also if the configuration allows more.
pub const MAX_HEAD_BYTES: usize = 64 * 1024;

/// What an instance may use of its machine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MachineLimits {
    /// Memory in bytes; `None` if it is not limited.
    pub memory_bytes: Option<u64>,
    /// Number of open descriptors; `None` if it is not limited.
    pub descriptors: Option<u64>,
}

/// Bounds on what an instance holds for all clients together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientBounds {
    /// Open connections. Idle ones use at most half of the memory, and all of them leave a third of the
    /// descriptors to connections to targets.
    pub connections: usize,
    /// Heads and bodies of requests, in bytes. A quarter of the memory, unless the settings state it.
    pub body_bytes: usize,
}

impl ClientBounds {
    /// Derives the bounds from the size of the machine.
    pub fn new(limits: &MachineLimits) -> Self {
        let by_memory = limits
            .memory_bytes
            .map(|bytes| bytes / 2 / CONNECTION_BYTES);
        let by_descriptors = limits
            .descriptors
            .map(|count| count.saturating_sub(RESERVED_DESCRIPTORS) / 3 * 2);
        let connections = [by_memory, by_descriptors]
            .into_iter()
            .flatten()
            .fold(MAX_CONNECTIONS, u64::min);
        let body_bytes = limits
            .memory_bytes
            .map_or(MAX_BODY_BYTES, |bytes| MAX_BODY_BYTES.min(bytes / 4));
        Self {
            connections: connections as usize,
            body_bytes: body_bytes as usize,
        }
    }

    /// Replaces the memory for heads and bodies of requests.
    pub fn with_body_bytes(mut self, body_bytes: usize) -> Self {
        self.body_bytes = body_bytes;
        self
    }

    /// Returns the most bytes of a read from a client, so that the read buffers of all connections together
    /// use at most a quarter of the memory for bodies, as far as reads of [`MIN_READ_BYTES`] allow. Each
    /// connection may hold two reads: one in the buffer and one that is taken from it.
    pub fn read_bytes(&self, connections: usize) -> usize {
        let share = self.body_bytes / 4 / 2 / connections.max(1);
        share.clamp(MIN_READ_BYTES, MAX_READ_BYTES)
    }
}
