//! How much of its machine an instance uses for clients.

mod connection;
mod ledger;

pub use connection::ConnectionPhase;
pub use ledger::{Admission, ConnectionId, Grant, Ledger, LedgerLimits, Owner, TransferId};

/// Most connections of clients, on a machine of any size.
const MAX_CONNECTIONS: u64 = 16_384;

/// Most memory for requests, on a machine of any size, in bytes.
const MAX_REQUEST_BYTES: u64 = 128 * 1024 * 1024;

/// Memory of the process without clients, in bytes, on a machine of any size. Unless the settings state it, a
/// sixteenth of the machine's memory is added for what grows with the deployment.
pub const PROGRAM_BYTES: usize = 28_000_000;

/// Memory that a connection over HTTP/1.1 holds beside its request, in bytes: its state (16 KiB), two reads of
/// [`MIN_READ_BYTES`], and a receive buffer of [`MIN_RECEIVE_BYTES`], of which the kernel fills up to twice as much.
pub const CONNECTION_BYTES: usize = 48 * 1024;

/// Memory that a connection with TLS holds in addition, in bytes: its buffers and the state of its handshake.
pub const TLS_BYTES: usize = 48 * 1024;

/// Memory that a connection over HTTP/2 holds in addition, in bytes: an unfinished header block and the state of
/// the protocol.
const HTTP2_CONNECTION_BYTES: usize = 96 * 1024;

/// Memory that a stream of such a connection holds until its request is admitted or refused, in bytes.
const HTTP2_STREAM_BYTES: usize = 8 * 1024;

/// Fewest and most concurrent streams of a connection over HTTP/2.
const HTTP2_STREAMS: (usize, usize) = (16, 128);

/// Part of the memory for clients, in bytes, that stands for one concurrent stream of each connection.
const TOTAL_BYTES_PER_HTTP2_STREAM: usize = 2_000_000;

/// Memory that a request holds beside its head and body, in bytes: its state, its connection to the target with
/// receive and read buffers, and [`UNSENT_BYTES`].
pub const REQUEST_BYTES: usize = 64 * 1024 + UNSENT_BYTES;

/// Part of the response that is held until the client takes it, in bytes. It is charged for each request, under
/// HTTP/2 when the stream begins.
pub const UNSENT_BYTES: usize = 32 * 1024;

/// Memory that a byte of a head holds while its request is in progress: the head as it arrived, in parts, and as it
/// is sent to the target.
pub const HEAD_FACTOR: usize = 3;

/// Descriptors for files and for connections to the store, to other instances and of operators.
const RESERVED_DESCRIPTORS: u64 = 400;

/// Most bytes of a read from a client, on a machine of any size.
const MAX_READ_BYTES: usize = 64 * 1024;

/// Bytes of a read from a client while there are many connections. hyper doubles its read buffer of 8 KiB
/// after a read that fills it, so reads are one byte shorter.
const MIN_READ_BYTES: usize = 8 * 1024 - 1;

/// Size of the receive buffer of a connection while there are many.
const MIN_RECEIVE_BYTES: usize = 8 * 1024;

/// Largest receive buffer of a connection on a machine whose memory is limited.
const MAX_RECEIVE_BYTES: usize = 128 * 1024;

/// Size of the receive buffer of a connection to a target on a machine whose memory is limited.
const TARGET_RECEIVE_BYTES: usize = 16 * 1024;

/// Largest head of a request that a connection accepts, also if the configuration allows more.
pub const MAX_HEAD_BYTES: usize = 64 * 1024;

/// What an instance may use of its machine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MachineLimits {
    /// Memory in bytes; `None` if it is not limited.
    pub memory_bytes: Option<u64>,
    /// Number of open descriptors; `None` if it is not limited.
    pub descriptors: Option<u64>,
    /// Memory of the process without clients, in bytes; `None` if it is derived from `memory_bytes`.
    pub program_bytes: Option<u64>,
}

/// Bounds on what an instance holds for all clients together.
///
/// With a limited memory, the program, the buffers that exceed their smallest size, and `total_bytes` together are at
/// most that memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientBounds {
    /// Open connections. They leave a third of the descriptors to connections to targets.
    pub connections: usize,
    /// Connections and requests together, in bytes.
    pub total_bytes: usize,
    /// Requests in progress with their heads and bodies, in bytes. Three quarters of `total_bytes`, unless the
    /// settings state it.
    pub request_bytes: usize,
    /// Read buffers beyond their smallest size, in bytes.
    read_bytes: usize,
    /// Receive buffers of the kernel beyond their smallest size, in bytes. `None` if they are not limited.
    receive_bytes: Option<usize>,
    /// Size of the receive buffer of each connection, if the settings state it.
    fixed_receive_bytes: Option<usize>,
    /// Most concurrent streams of a connection over HTTP/2.
    http2_streams: usize,
}

impl ClientBounds {
    /// Derives the bounds from the size of the machine.
    pub fn new(limits: &MachineLimits) -> Self {
        let by_descriptors = limits
            .descriptors
            .map(|count| count.saturating_sub(RESERVED_DESCRIPTORS) / 3 * 2);
        let connections = by_descriptors.unwrap_or(MAX_CONNECTIONS);
        let total_bytes = limits
            .memory_bytes
            .map(|bytes| client_bytes(bytes, limits.program_bytes));
        let request_bytes = total_bytes.map_or(MAX_REQUEST_BYTES, |bytes| {
            MAX_REQUEST_BYTES.min(bytes / 4 * 3)
        });
        let buffer_bytes = limits.memory_bytes.map(|bytes| (bytes / 32) as usize);
        let total_bytes = total_bytes.map_or(usize::MAX, |bytes| bytes as usize);
        let (fewest_streams, most_streams) = HTTP2_STREAMS;
        let http2_streams = total_bytes / TOTAL_BYTES_PER_HTTP2_STREAM;
        Self {
            connections: connections.min(MAX_CONNECTIONS) as usize,
            total_bytes,
            request_bytes: request_bytes as usize,
            read_bytes: buffer_bytes.unwrap_or(MAX_REQUEST_BYTES as usize / 4),
            receive_bytes: buffer_bytes,
            fixed_receive_bytes: None,
            http2_streams: http2_streams.clamp(fewest_streams, most_streams),
        }
    }

    /// Replaces the memory for requests with their heads and bodies.
    pub fn with_request_bytes(mut self, request_bytes: usize) -> Self {
        self.request_bytes = request_bytes;
        self
    }

    /// Replaces the number of open connections.
    pub fn with_connections(mut self, connections: usize) -> Self {
        self.connections = connections;
        self
    }

    /// Replaces the size of the receive buffer of each connection.
    pub fn with_receive_bytes(mut self, receive_bytes: usize) -> Self {
        self.fixed_receive_bytes = Some(receive_bytes);
        self
    }

    /// Replaces the number of concurrent streams of a connection over HTTP/2.
    pub fn with_http2_streams(mut self, http2_streams: usize) -> Self {
        self.http2_streams = http2_streams;
        self
    }

    /// Returns the most bytes of a read from a client, as far as reads of [`MIN_READ_BYTES`] allow. Each connection
    /// may hold two reads: one in the buffer and one that is taken from it.
    pub fn read_bytes(&self, connections: usize) -> usize {
        let share = self.read_bytes / 2 / connections.max(1);
        share.clamp(MIN_READ_BYTES, MAX_READ_BYTES)
    }

    /// Returns the size of the receive buffer of the next connection. `None` leaves it to the kernel.
    ///
    /// A buffer keeps its size as long as its connection is open. The sum over all of them stays within
    /// `receive_bytes` as the size falls with the number of connections, and as the kernel fills up to twice as much.
    pub fn receive_bytes(&self, connections: usize) -> Option<usize> {
        if self.fixed_receive_bytes.is_some() {
            return self.fixed_receive_bytes;
        }
        let bytes = self.receive_bytes?;
        let share = bytes / 4 / (connections + 1);
        let largest = (bytes / 128).clamp(MIN_RECEIVE_BYTES, MAX_RECEIVE_BYTES);
        Some(share.clamp(MIN_RECEIVE_BYTES, largest))
    }

    /// Returns the most concurrent streams of a connection over HTTP/2.
    pub fn http2_streams(&self) -> usize {
        self.http2_streams
    }

    /// Returns what a connection over HTTP/2 holds beside [`CONNECTION_BYTES`] and its admitted requests.
    pub fn http2_connection_bytes(&self) -> usize {
        HTTP2_CONNECTION_BYTES + self.http2_streams * HTTP2_STREAM_BYTES
    }

    /// Returns the size of the receive buffer of connections to targets. `None` leaves it to the kernel.
    pub fn target_receive_bytes(&self) -> Option<usize> {
        self.receive_bytes.map(|_| TARGET_RECEIVE_BYTES)
    }
}

/// Returns what is left to clients of a machine's memory.
fn client_bytes(memory_bytes: u64, program_bytes: Option<u64>) -> u64 {
    let buffer_bytes = memory_bytes / 16;
    let program_bytes = program_bytes.unwrap_or(PROGRAM_BYTES as u64 + memory_bytes / 16);
    let rest = memory_bytes.saturating_sub(program_bytes + buffer_bytes);
    // A machine that is too small for the program still serves single requests.
    rest.max(memory_bytes / 8)
}
