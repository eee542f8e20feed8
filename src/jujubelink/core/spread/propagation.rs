//! When to fetch, push, watch or poll.

use std::time::Duration;

use super::rendezvous::rendezvous_rank;
use crate::core::ids::{ConfigVersion, InstanceId, Timestamp};
use crate::core::membership::ConfigSummary;

/// Instances that watch the platform's object. One would do; three survive failures of two
/// between changes of the member list.
pub const WATCHER_COUNT: usize = 3;

/// Members that a new version is pushed to.
pub const PUSH_FANOUT: usize = 4;

/// Silence of all members after which an instance polls the platform itself.
const ISOLATION_TIMEOUT: Duration = Duration::from_secs(10);

/// Time between two exchanges of revocations of one instance.
const REVOCATION_EXCHANGE_PERIOD: Duration = Duration::from_secs(1);

/// Longest time that a fetch counts as under way.
const FETCH_TIMEOUT: Duration = Duration::from_secs(3);

/// Seed of the choice of watchers.
const WATCHER_SEED: u64 = 0x7761_7463;

/// How an instance follows the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Watches the object. The rank spreads writes of several watchers over time.
    Watcher {
        /// 0 for the first of the watchers.
        rank: usize,
    },
    /// Polls, since no member was heard for long.
    Isolated,
    /// Learns of changes from members.
    Follower,
}

/// What the process has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SpreadEffect {
    /// Fetch the configuration from a member.
    Fetch {
        /// Member with a larger version.
        from: InstanceId,
    },
    /// Exchange revocations with a member.
    ExchangeRevocations {
        /// Member with other revocations.
        with: InstanceId,
    },
}

/// State of the propagation at one instance.
#[derive(Debug, Default)]
pub struct Propagation {
    local: ConfigSummary,
    fetch_since: Option<Timestamp>,
    exchanged_at: Option<Timestamp>,
}

impl Propagation {
    /// Sets what this instance has.
    pub fn set_local(&mut self, local: ConfigSummary) {
        self.local = local;
    }

    /// Version in force here.
    pub fn version(&self) -> ConfigVersion {
        self.local.config_version
    }

    /// Takes what a member said about its configuration.
    pub fn on_summary(
        &mut self,
        from: &InstanceId,
        received: ConfigSummary,
        now: Timestamp,
    ) -> Option<SpreadEffect> {
        if received.config_version > self.local.config_version {
            return self.fetch(from, now);
        }
        // Sets at different versions differ without need, as the configuration absorbs entries.
        if received.config_version == self.local.config_version
            && received.revocations_hash != self.local.revocations_hash
            && self
                .exchanged_at
                .is_none_or(|at| now >= at + REVOCATION_EXCHANGE_PERIOD)
        {
            self.exchanged_at = Some(now);
            return Some(SpreadEffect::ExchangeRevocations { with: from.clone() });
        }
        None
    }

    fn fetch(&mut self, from: &InstanceId, now: Timestamp) -> Option<SpreadEffect> {
        if self.fetch_since.is_some_and(|at| now < at + FETCH_TIMEOUT) {
            return None;
        }
        self.fetch_since = Some(now);
        Some(SpreadEffect::Fetch { from: from.clone() })
    }

    /// Notes that a fetch ended, in success or failure; the next larger version that is heard
    /// starts another.
    pub fn on_fetch_ended(&mut self) {
        self.fetch_since = None;
    }

    /// How this instance follows the platform, given the live members.
    pub fn role<'a>(
        local: &str,
        live: impl Iterator<Item = &'a str>,
        last_received_at: Option<Timestamp>,
        now: Timestamp,
    ) -> Role {
        let rank = rendezvous_rank(WATCHER_SEED, local, live);
        let is_silent = now >= last_received_at.unwrap_or_default() + ISOLATION_TIMEOUT;
        match rank {
            rank if rank < WATCHER_COUNT => Role::Watcher { rank },
            _ if is_silent => Role::Isolated,
            _ => Role::Follower,
        }
    }
}
