//! Tokens of one slot through charges, duplicates, refunds, a handover and a takeover.

use std::time::Duration;

use jujubelink::core::ids::{Tokens, WorkspaceId};
use jujubelink::core::lease::Safeguards;
use jujubelink::core::limit::{ChargeStatus, InitialLevels, SlotKey, SlotTable, WorkspaceLimit};

use super::{World, expect_safe, expect_violation};

/// A tick is half a second, the admission slack.
const TICK: Duration = Duration::from_millis(500);

/// One token a tick; the burst without the slack is 3.
const LIMIT: WorkspaceLimit = WorkspaceLimit {
    rate_tokens_per_s: 2,
    burst_tokens: 4,
};

const KEY: SlotKey = SlotKey { shard: 0, slot: 0 };

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Sent {
    id: u64,
    tokens: Tokens,
    /// Holder that was charged.
    epoch: u64,
    charged_tick: u32,
    /// When the request reached its target.
    dispatched_tick: Option<u32>,
    is_settled: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct TokenWorld {
    safeguards: Safeguards,
    /// Burst that the buckets use; larger than the real one to leave out the slack.
    limit: WorkspaceLimit,
    tick: u32,
    ticks_left: u32,
    charges_left: u64,
    duplicates_left: u32,
    moves_left: u32,
    epoch: u64,
    table: SlotTable,
    sent: Vec<Sent>,
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
            moves_left: 1,
            epoch: 1,
            table,
            sent: Vec::new(),
            has_double_debit: false,
        }
    }

    fn now(&self) -> Duration {
        TICK * self.tick
    }

    fn charge(&mut self, id: u64, tokens: Tokens) -> bool {
        let (limit, now) = (self.limit, self.now());
        let answer = self
            .table
            .charge(id, 0, &workspace(), &limit, 1, tokens, false, now);
        answer.status == ChargeStatus::Granted
    }

    fn level(&mut self) -> Tokens {
        let (share, now) = (self.limit.slot_limit(1), self.now());
        self.table.level_tokens(0, &workspace(), &share, now)
    }

    fn charges(&self, out: &mut Vec<(String, Self)>) {
        for tokens in [2, 3] {
            if self.charges_left == 0 {
                return;
            }
            let mut next = self.clone();
            next.charges_left -= 1;
            let id = self.charges_left;
            if next.charge(id, tokens) {
                next.sent.push(Sent {
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

    fn requests(&self, out: &mut Vec<(String, Self)>) {
        for (index, sent) in self.sent.iter().enumerate() {
            // At another holder a repeat takes tokens that nobody uses, which is safe.
            if self.duplicates_left > 0 && sent.epoch == self.epoch {
                let mut next = self.clone();
                next.duplicates_left -= 1;
                let before = next.level();
                next.charge(sent.id, sent.tokens);
                next.has_double_debit = next.level() != before;
                out.push((format!("charge {} arrives again", sent.id), next));
            }
            if sent.dispatched_tick.is_none() {
                let mut next = self.clone();
                next.sent[index].dispatched_tick = Some(self.tick);
                out.push((format!("dispatch {}", sent.id), next));
            } else if !sent.is_settled && sent.tokens > 1 {
                let mut next = self.clone();
                next.sent[index].is_settled = true;
                let (limit, now) = (self.limit, self.now());
                next.table.refund(sent.id, sent.tokens - 1, &limit, 1, now);
                out.push((format!("settle {} with 1", sent.id), next));
            }
        }
    }

    fn time(&self, out: &mut Vec<(String, Self)>) {
        // A request is dispatched within the slack, which is one tick.
        let is_dispatch_due = self
            .sent
            .iter()
            .any(|sent| sent.dispatched_tick.is_none() && sent.charged_tick < self.tick);
        if self.ticks_left > 0 && !is_dispatch_due {
            let mut next = self.clone();
            next.tick += 1;
            next.ticks_left -= 1;
            out.push(("tick".to_owned(), next));
        }
    }

    fn moves(&self, out: &mut Vec<(String, Self)>) {
        if self.moves_left == 0 {
            return;
        }
        let mut next = self.clone();
        next.moves_left -= 1;
        next.epoch += 1;
        let mut taken = next.clone();
        taken.table = SlotTable::new(self.safeguards);
        let start = match self.safeguards.starts_empty_after_takeover {
            true => InitialLevels::EmptySince(self.now()),
            false => InitialLevels::Full,
        };
        taken.table.insert(KEY, next.epoch, start);
        out.push(("crash and takeover".to_owned(), taken));
        let name = workspace();
        let shares = [(&name, self.limit.slot_limit(1))];
        let removed = next.table.remove(KEY, shares.into_iter(), self.now());
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
        self.charges(&mut out);
        self.requests(&mut out);
        self.time(&mut out);
        self.moves(&mut out);
        out
    }

    fn is_violated(&self) -> bool {
        let admitted: Vec<(u32, Tokens)> = self
            .sent
            .iter()
            .filter_map(|sent| {
                let tokens = if sent.is_settled { 1 } else { sent.tokens };
                Some((sent.dispatched_tick?, tokens))
            })
            .collect();
        let is_over = admitted.iter().any(|(first, _)| {
            admitted.iter().any(|(last, _)| {
                let inside = admitted
                    .iter()
                    .filter(|(tick, _)| first <= tick && tick <= last);
                let sum: Tokens = inside.map(|(_, tokens)| *tokens).sum();
                let width = u64::from(last.saturating_sub(*first));
                sum > LIMIT.burst_tokens + LIMIT.rate_tokens_per_s * width / 2
            })
        });
        is_over || self.has_double_debit
    }
}

/// Guards against more tokens than burst + rate × window at the targets.
#[test]
fn tokens_stay_within_the_limit() {
    expect_safe("tokens", &TokenWorld::new(Safeguards::default(), LIMIT));
}

/// Guards against a search that cannot see what a safeguard prevents.
#[test]
fn removed_token_safeguards_are_found() {
    let on = Safeguards::default;
    let full = Safeguards {
        starts_empty_after_takeover: false,
        ..on()
    };
    expect_violation("full after a takeover", &TokenWorld::new(full, LIMIT));
    let twice = Safeguards {
        recognizes_duplicates: false,
        ..on()
    };
    expect_violation("duplicates are debited", &TokenWorld::new(twice, LIMIT));
    let refunds = Safeguards {
        limits_refunds: false,
        ..on()
    };
    expect_violation("refunds ignore overflow", &TokenWorld::new(refunds, LIMIT));
    let no_slack = WorkspaceLimit {
        burst_tokens: LIMIT.burst_tokens + 1,
        ..LIMIT
    };
    expect_violation(
        "the burst keeps back no slack",
        &TokenWorld::new(on(), no_slack),
    );
}
