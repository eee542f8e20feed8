//! Choice of the holders that are called for one charge.

use std::collections::BTreeSet;
use std::time::Duration;

use super::{HolderView, MICRO_PER_TOKEN, SlotLimit};
use crate::core::ids::{InstanceId, Timestamp, Tokens};

/// Longest time from the first call of a charge to its last response. Tokens that were granted are
/// kept during this time while more are requested. The rest of [`super::MAX_ADMISSION_DELAY`] is
/// left for the queue.
pub const MAX_CHARGE_DURATION: Duration = Duration::from_millis(300);

/// Largest number of rounds of calls in one charge.
const MAX_ROUNDS: u32 = 12;

/// Added to a wait for accrual to allow for the rounding of levels to whole tokens.
const WAIT_MARGIN: Duration = Duration::from_millis(2);

/// A call to one holder for a part of a charge. The holder may grant fewer tokens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HolderCharge {
    /// Holder.
    pub instance: InstanceId,
    /// Tokens to request.
    pub tokens: Tokens,
}

/// Next step of a charge.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChargeStep {
    /// Call all these holders concurrently.
    Charge(Vec<HolderCharge>),
    /// Wait until this time for tokens to accrue.
    Wait(Timestamp),
    /// All tokens are granted.
    Done,
    /// The tokens do not become available in time. Granted tokens have to be refunded.
    GiveUp {
        /// Time after which the same charge can succeed; `None` if there is no holder to call.
        retry_after: Option<Duration>,
    },
}

/// Progress of one charge.
#[derive(Debug, Clone)]
pub struct ChargePlanner {
    tokens: Tokens,
    granted: Tokens,
    deadline: Timestamp,
    rounds: u32,
    first_call_at: Option<Timestamp>,
    /// Holders whose calls failed during this charge.
    failed: BTreeSet<InstanceId>,
}

impl ChargePlanner {
    /// Creates a charge of `tokens` that has to be granted by `deadline`.
    pub fn new(tokens: Tokens, deadline: Timestamp) -> Self {
        Self {
            tokens,
            granted: 0,
            deadline,
            rounds: 0,
            first_call_at: None,
            failed: BTreeSet::new(),
        }
    }

    /// Returns the time before the first round of calls that granted tokens.
    pub fn first_call_at(&self) -> Option<Timestamp> {
        self.first_call_at
    }

    /// Returns the tokens granted so far.
    pub fn granted(&self) -> Tokens {
        self.granted
    }

    /// Records tokens that a holder granted.
    pub fn on_granted(&mut self, tokens: Tokens) {
        self.granted += tokens;
    }

    /// Records that a holder did not respond or holds no slot; it is not called again for this
    /// charge.
    pub fn on_failed(&mut self, instance: &InstanceId) {
        self.failed.insert(instance.clone());
    }

    /// Returns the next step. `slot_limit` is the limit of one slot.
    pub fn next(
        &mut self,
        holders: &[HolderView],
        slot_limit: &SlotLimit,
        now: Timestamp,
    ) -> ChargeStep {
        let missing = self.tokens.saturating_sub(self.granted);
        if missing == 0 {
            return ChargeStep::Done;
        }
        let usable: Vec<&HolderView> = holders
            .iter()
            .filter(|holder| !self.failed.contains(&holder.instance))
            .collect();
        let slots: u32 = usable.iter().map(|holder| holder.slots).sum();
        if slots == 0 {
            return ChargeStep::GiveUp { retry_after: None };
        }
        let missing_micro = (missing as i64).saturating_mul(MICRO_PER_TOKEN);
        let charges = choose_holders(&usable, slot_limit, missing_micro);
        let covered: Tokens = charges.iter().map(|charge| charge.tokens).sum();
        if covered >= missing && self.rounds < MAX_ROUNDS && now < self.charge_deadline() {
            self.rounds += 1;
            if self.granted == 0 {
                self.first_call_at = Some(now);
            }
            return ChargeStep::Charge(charges);
        }
        let total: i64 = usable.iter().map(|holder| holder.level_micro).sum();
        // Each holder grants whole tokens only, so up to one token of each level cannot be used.
        let unusable = (usable.len() as i64).min(missing as i64) * MICRO_PER_TOKEN;
        let wait = slot_limit.time_to_accrue(missing_micro - total + unusable, slots);
        let ready = now.saturating_add(wait).saturating_add(WAIT_MARGIN);
        if ready < self.charge_deadline() && self.rounds < MAX_ROUNDS {
            return ChargeStep::Wait(ready);
        }
        ChargeStep::GiveUp {
            retry_after: Some(wait.max(WAIT_MARGIN)),
        }
    }

    /// Returns when the charge has to be complete.
    fn charge_deadline(&self) -> Timestamp {
        match self.first_call_at {
            Some(first) if self.granted > 0 => self.deadline.min(first + MAX_CHARGE_DURATION),
            _ => self.deadline,
        }
    }
}

/// Chooses one holder whose level covers the charge if there is one, otherwise splits the charge
/// over the fullest ones.
///
/// Among holders that would keep at least half their cap, the nearest is chosen. If there are none,
/// the fullest is chosen, so that no slot stays at its cap, where accrual is lost, while others are
/// empty. With all levels even, the slots together admit what a single bucket would.
fn choose_holders(
    holders: &[&HolderView],
    slot_limit: &SlotLimit,
    missing_micro: i64,
) -> Vec<HolderCharge> {
    let stays_half_full = |holder: &&&HolderView| {
        let cap = slot_limit.cap_micro.saturating_mul(i64::from(holder.slots));
        holder.level_micro - missing_micro >= cap / 2
    };
    let nearest = holders
        .iter()
        .filter(stays_half_full)
        .min_by_key(|holder| (holder.proximity, std::cmp::Reverse(holder.level_micro)));
    let fullest = holders
        .iter()
        .filter(|holder| holder.level_micro >= missing_micro)
        .max_by_key(|holder| {
            (
                holder.level_micro / i64::from(holder.slots.max(1)),
                holder.slots,
            )
        });
    if let Some(holder) = nearest.or(fullest) {
        let tokens = (missing_micro / MICRO_PER_TOKEN) as Tokens;
        return vec![HolderCharge {
            instance: holder.instance.clone(),
            tokens,
        }];
    }
    split_charge(holders, (missing_micro / MICRO_PER_TOKEN) as Tokens)
}

/// Splits a charge over the fullest holders, requesting all whole tokens of each.
fn split_charge(holders: &[&HolderView], mut missing: Tokens) -> Vec<HolderCharge> {
    let mut ordered: Vec<&&HolderView> = holders.iter().collect();
    ordered.sort_by_key(|holder| (std::cmp::Reverse(holder.level_micro), holder.proximity));
    let mut charges = Vec::new();
    for holder in ordered {
        let tokens = missing.min((holder.level_micro.max(0) / MICRO_PER_TOKEN) as Tokens);
        if tokens == 0 {
            break;
        }
        missing -= tokens;
        charges.push(HolderCharge {
            instance: holder.instance.clone(),
            tokens,
        });
    }
    charges
}
