//! Connections of clients, and which of them give way to others.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::Duration;

use derive_more::Display;

use crate::core::ids::Timestamp;

/// What a connection does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display(rename_all = "snake_case")]
pub enum ConnectionPhase {
    /// It waits for the first byte of a request.
    Idle,
    /// It waits for the rest of the head of a request.
    ReceivingHead,
    /// A request is in progress, and the client does what is expected of it.
    Serving,
    /// The client does not take its response, or goes on sending a body that was refused.
    Stalled,
}

impl ConnectionPhase {
    /// Whether the connection waits for its client.
    pub(super) fn waits_for_client(self) -> bool {
        self != Self::Serving
    }
}

/// An open connection of a client.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) address: Option<IpAddr>,
    /// What it holds beside its transfers.
    pub(super) held_bytes: usize,
    pub(super) phase: ConnectionPhase,
    pub(super) phase_began: Timestamp,
    /// Whether it has had a request.
    pub(super) has_served: bool,
}

impl Connection {
    pub(super) fn new(address: Option<IpAddr>, held_bytes: usize, now: Timestamp) -> Self {
        Self {
            address,
            held_bytes,
            phase: ConnectionPhase::Idle,
            phase_began: now,
            has_served: false,
        }
    }

    pub(super) fn set_phase(&mut self, phase: ConnectionPhase, now: Timestamp) {
        if self.phase != phase {
            self.phase = phase;
            self.phase_began = now;
        }
        self.has_served |= phase == ConnectionPhase::Serving;
    }

    /// Whether the connection has waited for its client for at least `min_wait`.
    pub(super) fn may_be_ended(&self, min_wait: Duration, now: Timestamp) -> bool {
        self.phase.waits_for_client() && now.saturating_sub(self.phase_began) >= min_wait
    }

    /// Order in which the connections of one address give way. Those that have not had a request go first, as nothing
    /// shows that their clients will send one. Those whose client stalls a request come before those that are idle
    /// between two requests, as the latter hold less and belong to clients that did as expected. Those that still
    /// receive a body come last.
    fn rank(&self) -> (u8, Timestamp) {
        let rank = match self.phase {
            _ if !self.has_served => 0,
            ConnectionPhase::Stalled => 1,
            ConnectionPhase::Idle | ConnectionPhase::ReceivingHead => 2,
            ConnectionPhase::Serving => 3,
        };
        (rank, self.phase_began)
    }
}

/// Returns the connections that may end in favor of a new one of `asking`, those that give way first in front.
///
/// The address with most connections gives way. An address never ends connections of one that has fewer than itself.
pub(super) fn candidates(
    connections: &BTreeMap<u64, Connection>,
    asking: Option<IpAddr>,
    may_be_ended: impl Fn(u64, &Connection) -> bool,
) -> Vec<u64> {
    let mut counts: BTreeMap<Option<IpAddr>, usize> = BTreeMap::new();
    for connection in connections.values() {
        *counts.entry(connection.address).or_default() += 1;
    }
    let asking_count = counts.get(&asking).copied().unwrap_or_default() + 1;
    let mut candidates: Vec<_> = connections
        .iter()
        .filter(|(id, connection)| may_be_ended(**id, connection))
        .filter(|(_, connection)| {
            connection.address == asking || counts[&connection.address] >= asking_count
        })
        .collect();
    candidates.sort_by_key(|(_, connection)| {
        let count = counts[&connection.address];
        (Reverse(count), connection.rank())
    });
    candidates.into_iter().map(|(id, _)| *id).collect()
}
