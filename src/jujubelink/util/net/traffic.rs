//! Counters of the bytes that the process has sent and received.

use std::cell::Cell;

/// Bytes and datagrams of the sockets of this thread since the thread started, without the headers of
/// IP, UDP and TCP.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Bytes sent over TCP.
    pub tcp_sent_bytes: u64,
    /// Bytes received over TCP.
    pub tcp_received_bytes: u64,
    /// UDP datagrams sent.
    pub datagrams_sent: u64,
    /// Bytes sent in datagrams.
    pub datagram_sent_bytes: u64,
    /// UDP datagrams received.
    pub datagrams_received: u64,
    /// Bytes received in datagrams.
    pub datagram_received_bytes: u64,
}

thread_local! {
    static TRAFFIC: Cell<Traffic> = const { Cell::new(Traffic {
        tcp_sent_bytes: 0,
        tcp_received_bytes: 0,
        datagrams_sent: 0,
        datagram_sent_bytes: 0,
        datagrams_received: 0,
        datagram_received_bytes: 0,
    }) };
}

/// Returns the traffic of this thread so far.
pub fn traffic() -> Traffic {
    TRAFFIC.get()
}

/// Updates the counters of this thread.
pub(super) fn count(change: impl FnOnce(&mut Traffic)) {
    let mut traffic = TRAFFIC.get();
    change(&mut traffic);
    TRAFFIC.set(traffic);
}
