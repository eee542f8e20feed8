//! Decides when to fetch the configuration and exchange revocations, and whether to watch or poll
//! the platform.

use std::time::Duration;

use super::rendezvous::rendezvous_rank;
use crate::core::ids::{ConfigVersion, InstanceId, Timestamp};
use crate::core::membership::ConfigSummary;

/// Number of instances that watch the platform's configuration object. One is enough; with three,
/// two may fail between changes of the member list.
pub const WATCHER_COUNT: usize = 3;

/// Number of members that a new version is pushed to.
pub const PUSH_FANOUT: usize = 4;

/// Time without a message from any member after which an instance polls the platform itself.
const ISOLATION_TIMEOUT: Duration = Duration::from_secs(10);

/// Shortest time between two exchanges of revocations by one instance.
const REVOCATION_EXCHANGE_PERIOD: Duration = Duration::from_secs(1);

/// Time after which an unfinished fetch no longer prevents another one.
const FETCH_TIMEOUT: Duration = Duration::from_secs(3);

/// Hash seed for the choice of watchers.
const WATCHER_SEED: u64 = 0x7761_7463;

/// How an instance receives configuration changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Watches the platform's configuration object. The rank is used to stagger the writes of
    /// several watchers.
    Watcher {
        /// 0 for the first of the watchers.
        rank: usize,
    },
    /// Polls the platform, because no member has sent a message for `ISOLATION_TIMEOUT`.
    Isolated,
    /// Receives changes from other members.
    Follower,
}

/// Action that the process has to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SpreadEffect {
    /// Fetch the configuration from a member.
    Fetch {
        /// Member that has a newer version.
        from: InstanceId,
    },
    /// Exchange revocations with a member.
    ExchangeRevocations {
        /// Member that has different revocations.
        with: InstanceId,
    },
}

/// Propagation state of the local instance.
#[derive(Debug, Default)]
pub struct Propagation {
    local: ConfigSummary,
    fetch_since: Option<Timestamp>,
    exchanged_at: Option<Timestamp>,
}

impl Propagation {
    /// Sets the state of the local configuration.
    pub fn set_local(&mut self, local: ConfigSummary) {
        self.local = local;
    }

    /// Returns the active version.
    pub fn version(&self) -> ConfigVersion {
        self.local.config_version
    }

    /// Handles the state of a member's configuration. Returns what to request from the member, if
    /// anything.
    pub fn on_summary(
        &mut self,
        from: &InstanceId,
        received: ConfigSummary,
        now: Timestamp,
    ) -> Option<SpreadEffect> {
        if received.config_version > self.local.config_version {
            return self.fetch(from, now);
        }
        // At different versions the sets are expected to differ, because the configuration absorbs
        // entries.
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

    /// Records that a fetch succeeded or failed. The next message with a newer version starts
    /// another one.
    pub fn on_fetch_ended(&mut self) {
        self.fetch_since = None;
    }

    /// Returns the role of the local instance, given the live members.
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
