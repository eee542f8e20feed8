//! Intervals of the messages between instances, which depend on the number of instances.

use std::time::Duration;

/// Minimum time between two messages to the same peer. In a large fleet, the send interval is longer,
/// and this minimum then applies only
///
/// - between the instances that watch the store,
/// - to all peers while engines load weights on this instance's order, because such engines refuse
///   requests immediately,
/// - while a limit is nearly exhausted, because the instances together may exceed it within an interval.
pub const MIN_SEND_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum rate at which an instance sends messages. In a large fleet the interval between messages
/// to each peer grows accordingly.
const MAX_MESSAGES_PER_S: u32 = 40;

/// Maximum rate at which an instance sends short usage reports while a limit is nearly exhausted: one to
/// each of 84 peers in each minimum interval.
const MAX_USAGE_REPORTS_PER_S: u32 = 420;

/// Number of send intervals without an echo after which contact with a peer counts as lost. Single
/// lost datagrams are normal.
const CONTACT_TIMEOUT_INTERVALS: u32 = 4;

/// Number of send intervals without an equal contact digest after which a limit is no longer shared
/// with a peer. Instances notice a lost or new peer at different times.
const AGREEMENT_TIMEOUT_INTERVALS: u32 = 6;

/// Time beyond the send interval after which the usage of a silent peer is assumed. Messages can be
/// late by some rounds on a busy machine.
const REPORT_MARGIN: Duration = Duration::from_millis(600);

/// Minimum time for which an observation or a suspect is included in messages.
const MIN_REBROADCAST_DURATION: Duration = Duration::from_secs(1);

/// Number of messages to each peer that include an observation or a suspect. One may be lost.
const REBROADCAST_INTERVALS: u32 = 2;

/// Intervals of the messages to a number of peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MessageSchedule {
    /// Time between messages to each peer. It grows with the number of peers.
    pub send_interval: Duration,
    /// Time between usage reports to each peer while a limit is nearly exhausted.
    pub usage_report_interval: Duration,
    /// Time without an echo after which contact with a peer counts as lost.
    pub contact_timeout: Duration,
    /// Time without a report after which a peer with which a limit is shared is assumed to use its
    /// share. It is not longer than the contact timeout, because the assumption is corrected as soon
    /// as a report arrives.
    pub report_timeout: Duration,
    /// Time without an equal contact digest after which a limit is no longer shared with a peer.
    pub agreement_timeout: Duration,
    /// Time for which an observation or a suspect is included in messages.
    pub rebroadcast_duration: Duration,
}

impl MessageSchedule {
    /// Creates the schedule for the number of other instances.
    pub fn new(peers: usize) -> Self {
        let peers = u32::try_from(peers).unwrap_or(u32::MAX);
        let interval = |max_per_s: u32| {
            MIN_SEND_INTERVAL.max(Duration::from_secs(1).saturating_mul(peers) / max_per_s)
        };
        let send_interval = interval(MAX_MESSAGES_PER_S);
        Self {
            send_interval,
            usage_report_interval: interval(MAX_USAGE_REPORTS_PER_S),
            contact_timeout: send_interval * CONTACT_TIMEOUT_INTERVALS,
            report_timeout: send_interval + REPORT_MARGIN,
            agreement_timeout: send_interval * AGREEMENT_TIMEOUT_INTERVALS,
            rebroadcast_duration: MIN_REBROADCAST_DURATION
                .max(send_interval * REBROADCAST_INTERVALS),
        }
    }

    /// Whether the peer at an index of the list of peers gets something that is sent at an interval
    /// in a round of [`MIN_SEND_INTERVAL`]. The peers are spread over the rounds of the interval.
    /// `offset` is different for each instance, so that instances that started together do not all
    /// send to the same peer in the same round.
    pub fn is_due(interval: Duration, round: u64, index: u64, offset: u64) -> bool {
        let rounds = (interval.as_millis() / MIN_SEND_INTERVAL.as_millis()).max(1) as u64;
        index % rounds == round.wrapping_add(offset) % rounds
    }
}
