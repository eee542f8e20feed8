//! A token bucket with refunds that keep the limit in every window.

use std::collections::VecDeque;
use std::time::Duration;

use crate::core::ids::{Timestamp, Tokens};

/// Remembered low points of headroom in a bucket. At the bound the two oldest are merged into the
/// stricter one, so refunds of old charges may return less.
const MAX_HEADROOMS: usize = 64;

/// What one slot carries of a workspace's limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct SlotLimit {
    /// Rate of the whole workspace.
    pub rate_tokens_per_s: Tokens,
    /// Slots that the rate is divided over.
    pub slots: u64,
    /// Largest level of the slot.
    pub cap_micro: i64,
}

impl SlotLimit {
    /// Micro-tokens that accrue in one slot.
    pub fn accrued(&self, elapsed: Duration) -> i64 {
        let product = u128::from(self.rate_tokens_per_s) * elapsed.as_micros();
        i64::try_from(product / u128::from(self.slots)).unwrap_or(i64::MAX)
    }

    /// Time in which `micro` accrue in `slots` slots together.
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

/// Smallest distance of the level from the cap, at the debit with the number `debit`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Headroom {
    debit: u64,
    micro: i64,
}

/// Level of one workspace in one slot.
///
/// A refund gives back what the level would have if fewer tokens had been charged at the time of the
/// charge. Tokens that would have overflowed the cap since then are not returned; otherwise a refund
/// of an old charge, on top of a bucket that has filled up again, would admit more than
/// burst + rate × window.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Bucket {
    level_micro: i64,
    updated_at: Timestamp,
    debit_count: u64,
    headrooms: VecDeque<Headroom>,
}

impl Bucket {
    /// A bucket with a level at a time.
    pub fn new(level_micro: i64, updated_at: Timestamp) -> Self {
        Self {
            level_micro,
            updated_at,
            debit_count: 0,
            headrooms: VecDeque::new(),
        }
    }

    /// Level after accrual up to `now`. A smaller cap takes effect at once.
    pub fn refill(&mut self, slot_limit: &SlotLimit, now: Timestamp) -> i64 {
        if let Some(elapsed) = now.checked_sub(self.updated_at) {
            self.level_micro = self.level_micro.saturating_add(slot_limit.accrued(elapsed));
            self.updated_at = now;
        }
        self.level_micro = self.level_micro.min(slot_limit.cap_micro);
        self.level_micro
    }

    /// Takes tokens that the level covers, and returns the number of the debit.
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

    /// Returns unused tokens of a debit, and how many were returned.
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
