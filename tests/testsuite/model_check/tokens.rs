//! Model of the token bucket of one limit slot: charges, duplicate charges, refunds, and a change
//! of the slot's holder by handover or takeover.

use std::time::Duration;

use jujubelink::core::ids::{Tokens, WorkspaceId};
use jujubelink::core::lease::Safeguards;
use jujubelink::core::limit::{ChargeStatus, InitialLevels, SlotKey, SlotTable, WorkspaceLimit};

use super::{World, expect_safe, expect_violation};

/// Length of a tick. It equals the admission slack: the longest time from the charge of a request
/// to its dispatch.
const TICK: Duration = Duration::from_millis(500);

/// One token accrues per tick. Buckets hold 3 tokens: the burst less what accrues within the slack.
const LIMIT: WorkspaceLimit = WorkspaceLimit {
    rate_tokens_per_s: 2,
    burst_tokens: 4,
};

const KEY: SlotKey = SlotKey { shard: 0, slot: 0 };

/// A request whose charge was granted.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct GrantedRequest {
    id: u64,
    tokens: Tokens,
    /// Epoch of the slot holder that granted the charge.
    epoch: u64,
    charged_tick: u32,
    /// Tick at which the request reached its target.
    dispatched_tick: Option<u32>,
    /// Whether its unused tokens were refunded.
    is_settled: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct TokenWorld {
    safeguards: Safeguards,
    /// Limit that the buckets enforce. [`LIMIT`] is the one that is checked; a larger burst here
    /// cancels the slack that the buckets keep back.
    limit: WorkspaceLimit,
    tick: u32,
    ticks_left: u32,
    charges_left: u64,
    duplicates_left: u32,
    holder_changes_left: u32,
    epoch: u64,
    table: SlotTable,
    granted: Vec<GrantedRequest>,
    /// Whether a duplicate charge was debited again.
    has_double_debit: bool,
}

fn workspace() -> WorkspaceId {
    "w".into()
}

impl TokenWorld {
    fn new(safeguards: Safeguards, limit: WorkspaceLimit) -> Self {
        let mut table = SlotTable::new(safeguards);
        table.insert(KEY, 1, InitialLevels::Full);
        Self {
            safeguards,
            limit,
            tick: 0,
            ticks_left: 4,
            charges_left: 3,
            duplicates_left: 1,
            holder_changes_left: 1,
            epoch: 1,
            table,
            granted: Vec::new(),
            has_double_debit: false,
        }
    }

    fn now(&self) -> Duration {
        TICK * self.tick
    }

    fn charge(&mut self, id: u64, tokens: Tokens) -> bool {
        let (limit, now) = (self.limit, self.now());
        let outcome = self
            .table
            .charge(id, 0, &workspace(), &limit, 1, tokens, false, now);
        outcome.status == ChargeStatus::Granted
    }

    fn level(&mut self) -> Tokens {
        let (slot_limit, now) = (self.limit.slot_limit(1), self.now());
        self.table.level_tokens(0, &workspace(), &slot_limit, now)
    }

    fn charge_steps(&self, out: &mut Vec<(String, Self)>) {
        for tokens in [2, 3] {
            if self.charges_left == 0 {
                return;
            }
            let mut next = self.clone();
            next.charges_left -= 1;
            let id = self.charges_left;
            if next.charge(id, tokens) {
                next.granted.push(GrantedRequest {
                    id,
                    tokens,
                    epoch: self.epoch,
                    charged_tick: self.tick,
                    dispatched_tick: None,
                    is_settled: false,
                });
                out.push((format!("charge {id} of {tokens}"), next));
            }
        }
    }

    fn request_steps(&self, out: &mut Vec<(String, Self)>) {
        for (index, granted) in self.granted.iter().enumerate() {
            // A duplicate at a later holder debits tokens that no request uses, which is safe.
            if self.duplicates_left > 0 && granted.epoch == self.epoch {
                let mut next = self.clone();
                next.duplicates_left -= 1;
                let level_before = next.level();
                next.charge(granted.id, granted.tokens);
                next.has_double_debit = next.level() != level_before;
                out.push((format!("charge {} arrives twice", granted.id), next));
            }
            if granted.dispatched_tick.is_none() {
                let mut next = self.clone();
                next.granted[index].dispatched_tick = Some(self.tick);
                out.push((format!("dispatch {}", granted.id), next));
            } else if !granted.is_settled && granted.tokens > 1 {
                let mut next = self.clone();
                next.granted[index].is_settled = true;
                let (limit, now) = (self.limit, self.now());
                next.table
                    .refund(granted.id, granted.tokens - 1, &limit, 1, now);
                out.push((format!("refund {} down to 1 token", granted.id), next));
            }
        }
    }

    fn tick_steps(&self, out: &mut Vec<(String, Self)>) {
        // Time stands still while a dispatch is due: requests are dispatched within the slack of
        // one tick.
        let is_dispatch_due = self
            .granted
            .iter()
            .any(|granted| granted.dispatched_tick.is_none() && granted.charged_tick < self.tick);
        if self.ticks_left > 0 && !is_dispatch_due {
            let mut next = self.clone();
            next.tick += 1;
            next.ticks_left -= 1;
            out.push(("tick".to_owned(), next));
        }
    }

    fn holder_change_steps(&self, out: &mut Vec<(String, Self)>) {
        if self.holder_changes_left == 0 {
            return;
        }
        let mut next = self.clone();
        next.holder_changes_left -= 1;
        next.epoch += 1;
        let mut takeover = next.clone();
        takeover.table = SlotTable::new(self.safeguards);
        let initial_levels = match self.safeguards.starts_empty_after_takeover {
            true => InitialLevels::EmptySince(self.now()),
            false => InitialLevels::Full,
        };
        takeover.table.insert(KEY, next.epoch, initial_levels);
        out.push(("crash and takeover".to_owned(), takeover));
        let workspace = workspace();
        let slot_limits = [(&workspace, self.limit.slot_limit(1))];
        let removed = next.table.remove(KEY, slot_limits.into_iter(), self.now());
        let (_, levels) = removed.expect("a held slot");
        next.table = SlotTable::new(self.safeguards);
        let at = self.now();
        next.table
            .insert(KEY, next.epoch, InitialLevels::Levels { levels, at });
        out.push(("handover".to_owned(), next));
    }
}

impl World for TokenWorld {
    fn successors(&self) -> Vec<(String, Self)> {
        let mut out = Vec::new();
        self.charge_steps(&mut out);
        self.request_steps(&mut out);
        self.tick_steps(&mut out);
        self.holder_change_steps(&mut out);
        out
    }

    fn is_violated(&self) -> bool {
        let admitted: Vec<(u32, Tokens)> = self
            .granted
            .iter()
            .filter_map(|granted| {
                let tokens = if granted.is_settled {
                    1
                } else {
                    granted.tokens
                };
                Some((granted.dispatched_tick?, tokens))
            })
            .collect();
        let exceeds_limit = admitted.iter().any(|(first, _)| {
            admitted.iter().any(|(last, _)| {
                let in_window = admitted
                    .iter()
                    .filter(|(tick, _)| first <= tick && tick <= last);
                let sum: Tokens = in_window.map(|(_, tokens)| *tokens).sum();
                let window_ticks = u64::from(last.saturating_sub(*first));
                sum > LIMIT.burst_tokens + LIMIT.rate_tokens_per_s * window_ticks / 2
            })
        });
        exceeds_limit || self.has_double_debit
    }
}

/// Guards against more tokens at the targets than burst + rate × window, in any window.
#[test]
fn admitted_tokens_stay_within_the_limit() {
    expect_safe("tokens", &TokenWorld::new(Safeguards::default(), LIMIT));
}

/// Guards against a model that does not detect the fault which a safeguard prevents: each search
/// runs with one safeguard disabled and must find a violation.
#[test]
fn searches_without_a_token_safeguard_find_a_violation() {
    let all_enabled = Safeguards::default;
    let starts_full = Safeguards {
        starts_empty_after_takeover: false,
        ..all_enabled()
    };
    expect_violation(
        "buckets start full after a takeover",
        &TokenWorld::new(starts_full, LIMIT),
    );
    let debits_duplicates = Safeguards {
        recognizes_duplicates: false,
        ..all_enabled()
    };
    expect_violation(
        "duplicate charges are debited",
        &TokenWorld::new(debits_duplicates, LIMIT),
    );
    let unlimited_refunds = Safeguards {
        limits_refunds: false,
        ..all_enabled()
    };
    expect_violation(
        "refunds return tokens that would have overflowed the bucket",
        &TokenWorld::new(unlimited_refunds, LIMIT),
    );
    let no_slack = WorkspaceLimit {
        burst_tokens: LIMIT.burst_tokens + 1,
        ..LIMIT
    };
    expect_violation(
        "buckets keep back no slack from the burst",
        &TokenWorld::new(all_enabled(), no_slack),
    );
}
