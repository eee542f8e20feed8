//! Token bucket whose refunds never exceed the limit in any time window.

use std::collections::VecDeque;
use std::time::Duration;

use crate::core::ids::{Timestamp, Tokens};

/// Largest number of headroom minima kept by a bucket. At the bound the two oldest are merged into
/// the smaller one, so refunds of old charges may return fewer tokens.
const MAX_HEADROOMS: usize = 64;

/// The part of a workspace's limit that one slot carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct SlotLimit {
    /// Rate of the whole workspace.
    pub rate_tokens_per_s: Tokens,
    /// Number of slots that the rate is divided into.
    pub slots: u64,
    /// Largest level of the slot, in micro-tokens.
    pub cap_micro: i64,
}

impl SlotLimit {
    /// Returns the micro-tokens that accrue in one slot during `elapsed`.
    pub fn accrued(&self, elapsed: Duration) -> i64 {
        let product = u128::from(self.rate_tokens_per_s) * elapsed.as_micros();
        i64::try_from(product / u128::from(self.slots)).unwrap_or(i64::MAX)
    }

    /// Returns the time in which `micro` micro-tokens accrue in `slots` slots together.
    pub fn time_to_accrue(&self, micro: i64, slots: u32) -> Duration {
        if micro <= 0 {
            return Duration::ZERO;
        }
        let per_s = u128::from(self.rate_tokens_per_s) * u128::from(slots);
        let scaled = micro as u128 * u128::from(self.slots);
        match per_s {
            0 => Duration::MAX,
            _ => Duration::from_micros(u64::try_from(scaled.div_ceil(per_s)).unwrap_or(u64::MAX)),
        }
    }
}

/// Smallest headroom (cap minus level) immediately before any of the debits after the previous
/// entry up to number `debit`, in micro-tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Headroom {
    debit: u64,
    micro: i64,
}

/// Token bucket of one workspace in one slot.
///
/// A refund restores the level that the bucket would have had if fewer tokens had been charged.
/// Tokens that would have overflowed the cap since the charge are not returned. Otherwise a refund
/// of an old charge, on top of a bucket that is full again, would admit more than burst + rate ×
/// window.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Bucket {
    level_micro: i64,
    updated_at: Timestamp,
    debit_count: u64,
    headrooms: VecDeque<Headroom>,
}

impl Bucket {
    /// Creates a bucket with a level at a time.
    pub fn new(level_micro: i64, updated_at: Timestamp) -> Self {
        Self {
            level_micro,
            updated_at,
            debit_count: 0,
            headrooms: VecDeque::new(),
        }
    }

    /// Adds the tokens accrued up to `now` and returns the level. A smaller cap takes effect
    /// immediately.
    pub fn refill(&mut self, slot_limit: &SlotLimit, now: Timestamp) -> i64 {
        if let Some(elapsed) = now.checked_sub(self.updated_at) {
            self.level_micro = self.level_micro.saturating_add(slot_limit.accrued(elapsed));
            self.updated_at = now;
        }
        self.level_micro = self.level_micro.min(slot_limit.cap_micro);
        self.level_micro
    }

    /// Takes tokens, which the level must cover, and returns the number of the debit.
    pub fn debit(&mut self, slot_limit: &SlotLimit, micro: i64) -> u64 {
        debug_assert!(micro <= self.level_micro);
        self.debit_count += 1;
        let headroom = slot_limit.cap_micro - self.level_micro;
        while self
            .headrooms
            .back()
            .is_some_and(|last| last.micro >= headroom)
        {
            self.headrooms.pop_back();
        }
        self.headrooms.push_back(Headroom {
            debit: self.debit_count,
            micro: headroom,
        });
        if self.headrooms.len() > MAX_HEADROOMS {
            let oldest = self.headrooms.pop_front();
            if let (Some(oldest), Some(next)) = (oldest, self.headrooms.front_mut()) {
                next.micro = next.micro.min(oldest.micro);
            }
        }
        self.level_micro -= micro;
        self.debit_count
    }

    /// Refunds unused tokens of a debit, and returns how many micro-tokens were refunded.
    pub fn refund(
        &mut self,
        slot_limit: &SlotLimit,
        debit: u64,
        unused_micro: i64,
        now: Timestamp,
    ) -> i64 {
        let level = self.refill(slot_limit, now);
        let later = self
            .headrooms
            .iter()
            .filter(|headroom| headroom.debit > debit);
        let min_headroom = later
            .map(|headroom| headroom.micro)
            .min()
            .unwrap_or(i64::MAX);
        let returned = unused_micro
            .min(min_headroom)
            .min(slot_limit.cap_micro - level)
            .max(0);
        self.level_micro += returned;
        for headroom in &mut self.headrooms {
            if headroom.debit > debit {
                headroom.micro -= returned;
            }
        }
        returned
    }
}
