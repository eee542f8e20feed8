//! Observations that are included in the messages to other instances for a while.

use std::collections::VecDeque;
use std::time::Duration;

use super::message::{AgedFingerprint, CrashMessage, CrashedRunMessage, EvidenceMessage};
use crate::core::crash::{CrashId, CrashedRun};
use crate::core::ids::Timestamp;
use crate::util::duration::ms;

/// Maximum number of crashes in a message, and of survivals and trials; the oldest is dropped first.
const MAX_ITEMS: usize = 32;

/// Maximum number of requests of a crash in a message; the last ones that the target got are included.
const MAX_RUNS: usize = 16;

/// Time for which an observation is sent to all instances at the minimum interval: several messages, as
/// single ones may be lost.
const URGENT_DURATION: Duration = Duration::from_millis(600);

struct Item<T> {
    key: u64,
    at: Timestamp,
    until: Timestamp,
    content: T,
}

/// Observations with the time until which they are sent.
#[derive(Default)]
pub(super) struct Outbox {
    crashes: VecDeque<Item<Vec<CrashedRun>>>,
    survivals: VecDeque<Item<()>>,
    trials: VecDeque<Item<()>>,
    urgent_until: Timestamp,
}

impl Outbox {
    /// Adds requests of a crash.
    pub(super) fn add_crash(
        &mut self,
        crash: CrashId,
        runs: &[CrashedRun],
        at: Timestamp,
        [now, until]: [Timestamp; 2],
    ) {
        let known = self.crashes.iter().position(|item| item.key == crash);
        let known = known.and_then(|index| self.crashes.remove(index));
        let mut content = known.map_or_else(Vec::new, |item| item.content);
        content.extend_from_slice(runs);
        content.sort_by_key(|run| run.ran_for);
        content.truncate(MAX_RUNS);
        push(&mut self.crashes, crash, at, until, content);
        self.urgent_until = now + URGENT_DURATION;
    }

    /// Adds a survival. It is sent with the regular messages.
    pub(super) fn add_survival(&mut self, fingerprint: u64, at: Timestamp, until: Timestamp) {
        self.survivals.retain(|item| item.key != fingerprint);
        push(&mut self.survivals, fingerprint, at, until, ());
    }

    /// Adds a trial.
    pub(super) fn add_trial(&mut self, cause: u64, [now, until]: [Timestamp; 2]) {
        self.trials.retain(|item| item.key != cause);
        push(&mut self.trials, cause, now, until, ());
        self.urgent_until = now + URGENT_DURATION;
    }

    /// Whether all instances have to be told before the next regular message.
    pub(super) fn is_urgent(&self, now: Timestamp) -> bool {
        now < self.urgent_until
    }

    /// Returns the observations to send.
    pub(super) fn message(&mut self, now: Timestamp) -> Option<EvidenceMessage> {
        self.crashes.retain(|item| now < item.until);
        self.survivals.retain(|item| now < item.until);
        self.trials.retain(|item| now < item.until);
        let aged = |item: &Item<()>| AgedFingerprint {
            fingerprint: item.key,
            age_ms: ms(now.saturating_sub(item.at)),
        };
        let message = EvidenceMessage {
            crashes: self
                .crashes
                .iter()
                .map(|item| CrashMessage {
                    crash: item.key,
                    age_ms: ms(now.saturating_sub(item.at)),
                    runs: item.content.iter().map(run_message).collect(),
                })
                .collect(),
            survivals: self.survivals.iter().map(aged).collect(),
            trials: self.trials.iter().map(aged).collect(),
        };
        (message != EvidenceMessage::default()).then_some(message)
    }
}

fn push<T>(items: &mut VecDeque<Item<T>>, key: u64, at: Timestamp, until: Timestamp, content: T) {
    if items.len() >= MAX_ITEMS {
        items.pop_front();
    }
    items.push_back(Item {
        key,
        at,
        until,
        content,
    });
}

fn run_message(run: &CrashedRun) -> CrashedRunMessage {
    CrashedRunMessage {
        request: run.request,
        parts: run.features.parts().to_vec(),
        whole: run.features.request(),
        ran_for_ms: ms(run.ran_for),
        is_trial: run.is_trial,
    }
}
