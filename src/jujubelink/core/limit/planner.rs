//! The choice of holders for one charge.

use std::collections::BTreeSet;
use std::time::Duration;

use super::{HolderView, MICRO_PER_TOKEN, SlotLimit};
use crate::core::ids::{InstanceId, Timestamp, Tokens};

/// Longest time from the first call of a charge to its last answer. The rest of the admission slack
/// is for the queue. Within it, tokens that were granted are kept while others are asked for.
pub const MAX_CHARGE_DURATION: Duration = Duration::from_millis(300);

/// Rounds of calls in one charge.
const MAX_ROUNDS: u32 = 12;

/// Added to a wait for accrual, for the rounding of levels to whole tokens.
const WAIT_MARGIN: Duration = Duration::from_millis(2);

/// Tokens to ask one holder for. It may grant fewer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HolderCharge {
    /// Holder.
    pub instance: InstanceId,
    /// Tokens.
    pub tokens: Tokens,
}

/// What to do next for a charge.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlannerStep {
    /// Ask all these holders at once.
    Charge(Vec<HolderCharge>),
    /// Wait for tokens to accrue.
    Wait(Timestamp),
    /// All tokens are granted.
    Done,
    /// The tokens cannot be had in time. What was granted is to be refunded.
    GiveUp {
        /// Time after which the same charge can succeed; `None` if no holder can be asked.
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
    /// Holders that failed in this charge.
    failed: BTreeSet<InstanceId>,
}

impl ChargePlanner {
    /// A charge of `tokens`, to be granted by `deadline`.
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

    /// Time before the first call that was granted tokens.
    pub fn first_call_at(&self) -> Option<Timestamp> {
        self.first_call_at
    }

    /// Tokens granted so far.
    pub fn granted(&self) -> Tokens {
        self.granted
    }

    /// Notes tokens that a holder granted.
    pub fn on_granted(&mut self, tokens: Tokens) {
        self.granted += tokens;
    }

    /// Notes that a holder did not answer or holds nothing; it is not asked again.
    pub fn on_failed(&mut self, instance: &InstanceId) {
        self.failed.insert(instance.clone());
    }

    /// Decides what to do next. `slot_limit` is the share of one slot.
    pub fn next(
        &mut self,
        holders: &[HolderView],
        slot_limit: &SlotLimit,
        now: Timestamp,
    ) -> PlannerStep {
        let missing = self.tokens.saturating_sub(self.granted);
        if missing == 0 {
            return PlannerStep::Done;
        }
        let usable: Vec<&HolderView> = holders
            .iter()
            .filter(|holder| !self.failed.contains(&holder.instance))
            .collect();
        let slots: u32 = usable.iter().map(|holder| holder.slots).sum();
        if slots == 0 {
            return PlannerStep::GiveUp { retry_after: None };
        }
        let missing_micro = (missing as i64).saturating_mul(MICRO_PER_TOKEN);
        let charges = choose_holders(&usable, slot_limit, missing_micro);
        let covered: Tokens = charges.iter().map(|charge| charge.tokens).sum();
        if covered >= missing && self.rounds < MAX_ROUNDS && now < self.charge_deadline() {
            self.rounds += 1;
            if self.granted == 0 {
                self.first_call_at = Some(now);
            }
            return PlannerStep::Charge(charges);
        }
        let total: i64 = usable.iter().map(|holder| holder.level_micro).sum();
        // Each holder grants whole tokens, so up to one token of each level cannot be used.
        let unusable = (usable.len() as i64).min(missing as i64) * MICRO_PER_TOKEN;
        let wait = slot_limit.time_to_accrue(missing_micro - total + unusable, slots);
        let ready = now.saturating_add(wait).saturating_add(WAIT_MARGIN);
        if ready < self.charge_deadline() && self.rounds < MAX_ROUNDS {
            return PlannerStep::Wait(ready);
        }
        PlannerStep::GiveUp {
            retry_after: Some(wait.max(WAIT_MARGIN)),
        }
    }

    /// When the charge has to be complete.
    fn charge_deadline(&self) -> Timestamp {
        match self.first_call_at {
            Some(first) if self.granted > 0 => self.deadline.min(first + MAX_CHARGE_DURATION),
            _ => self.deadline,
        }
    }
}

/// Chooses one holder whose level covers the charge if there is one, otherwise the fullest ones.
///
/// A holder that keeps at least half its cap is taken in order of proximity. When none does, the
/// fullest goes first, so that no slot stays at its cap, where accrual is lost, while others are
/// empty. With all levels even, the slots admit what one bucket would.
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

/// Divides a charge over the fullest holders, each asked for its whole tokens.
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
