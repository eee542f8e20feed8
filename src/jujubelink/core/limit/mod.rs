//! Rate limits of workspaces across all instances: token buckets divided into slots.
//!
//! Each workspace belongs to a shard, and each shard has K slots. A slot carries `rate / K` and
//! `burst / K` of each workspace of its shard, and is held by one instance under its session. A
//! charge takes tokens from one or several holders. The level of a bucket is the number of tokens
//! that it holds.
//!
//! Used in standalone deployments; with a fleet store, [`quota`](super::quota) takes its place.

mod assignment;
mod bucket;
mod directory;
mod planner;
mod table;

pub use assignment::{SlotAssignment, claim_delay};
pub use bucket::{Bucket, SlotLimit};
pub use directory::{Directory, HolderView, LevelCache, Proximity, SlotHolder};
pub use planner::{ChargePlanner, ChargeStep, HolderCharge, MAX_CHARGE_DURATION};
pub use table::{ChargeOutcome, ChargeStatus, InitialLevels, MAX_OPEN_CHARGES, SlotTable};

use std::time::Duration;

use derive_more::Display;

use crate::core::ids::Tokens;
use crate::util::hash::stable_hash;

/// Micro-tokens per token. Levels are kept in micro-tokens so that the accrual of one microsecond
/// at one token per second is not lost to rounding.
pub const MICRO_PER_TOKEN: i64 = 1_000_000;

/// Longest time from a charge to the dispatch of its request. The usable burst is reduced by
/// what accrues in this time, so that the limit also holds at the targets.
pub const MAX_ADMISSION_DELAY: Duration = Duration::from_millis(500);

/// Time after which a response to a charge is ignored, on the caller's clock.
pub const CHARGE_TIMEOUT: Duration = Duration::from_millis(250);

/// One slot of a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display)]
#[display("limits/{shard}/{slot}")]
pub struct SlotKey {
    /// Shard.
    pub shard: u32,
    /// Number of the slot within the shard.
    pub slot: u32,
}

impl SlotKey {
    /// Returns the key of the slot's platform object.
    pub fn object_key(self) -> String {
        self.to_string()
    }

    /// Parses the key of a slot's platform object.
    pub fn from_object_key(key: &str) -> Option<Self> {
        let (shard, slot) = key.strip_prefix("limits/")?.split_once('/')?;
        Some(Self {
            shard: shard.parse().ok()?,
            slot: slot.parse().ok()?,
        })
    }
}

/// Returns the shard of a workspace.
pub fn shard_of(workspace: &str, shards: u32) -> u32 {
    (stable_hash(0, workspace.as_bytes()) % u64::from(shards.max(1))) as u32
}

/// Rate and burst of a workspace across all instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct WorkspaceLimit {
    /// Tokens per second.
    pub rate_tokens_per_s: Tokens,
    /// Largest number of tokens that may be used at once.
    pub burst_tokens: Tokens,
}

impl WorkspaceLimit {
    /// Returns the tokens that can be charged at once: the burst less what accrues between a charge
    /// and the dispatch of its request.
    pub fn usable_burst_tokens(&self) -> Tokens {
        let delay_ms = MAX_ADMISSION_DELAY.as_millis() as u64;
        let reserved = (self.rate_tokens_per_s * delay_ms).div_ceil(1000);
        self.burst_tokens.saturating_sub(reserved)
    }

    /// Returns the part of the limit that one of `slots` slots carries.
    pub fn slot_limit(&self, slots: u32) -> SlotLimit {
        let slots = u64::from(slots.max(1));
        SlotLimit {
            rate_tokens_per_s: self.rate_tokens_per_s,
            slots,
            cap_micro: (self.usable_burst_tokens() as i64).saturating_mul(MICRO_PER_TOKEN)
                / slots as i64,
        }
    }
}
