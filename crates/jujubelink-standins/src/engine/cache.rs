//! Prefix cache of an engine, and the stream of events about its changes.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

struct Event {
    sequence: u64,
    visible_at: Instant,
    body: Value,
}

/// LRU cache of prompt blocks. The fingerprint of a block covers all blocks before it.
pub(super) struct PrefixCache {
    capacity_blocks: usize,
    /// Last use (a value of `use_clock`) and workspace of each block.
    blocks: HashMap<u64, (u64, String)>,
    /// Blocks ordered by last use.
    by_last_use: BTreeMap<u64, u64>,
    /// Logical clock that advances with each use of a block.
    use_clock: u64,
    events: VecDeque<Event>,
    kept_events: usize,
    next_sequence: u64,
    event_delay: Duration,
    /// Fault: each n-th event is omitted from the stream.
    pub(super) lose_event_every: Option<u64>,
}

impl PrefixCache {
    pub(super) fn new(capacity_blocks: usize, kept_events: usize, event_delay: Duration) -> Self {
        Self {
            capacity_blocks,
            blocks: HashMap::new(),
            by_last_use: BTreeMap::new(),
            use_clock: 0,
            events: VecDeque::new(),
            kept_events,
            next_sequence: 0,
            event_delay,
            lose_event_every: None,
        }
    }

    pub(super) fn len(&self) -> usize {
        self.blocks.len()
    }

    pub(super) fn contains(&self, fingerprint: u64) -> bool {
        self.blocks.contains_key(&fingerprint)
    }

    pub(super) fn fingerprints(&self) -> Vec<u64> {
        self.blocks.keys().copied().collect()
    }

    /// Returns the number of leading blocks of a prompt that are cached.
    pub(super) fn cached_prefix(&self, blocks: &[u64]) -> usize {
        blocks
            .iter()
            .take_while(|block| self.contains(**block))
            .count()
    }

    /// Marks blocks as used and stores those that are missing. The last block of a prompt counts as
    /// the least recently used one, so that a prefix outlives its extensions.
    pub(super) fn store(&mut self, workspace: &str, blocks: &[u64]) {
        for block in blocks.iter().rev() {
            self.use_clock += 1;
            let entry = (self.use_clock, workspace.to_owned());
            match self.blocks.insert(*block, entry) {
                Some((used, _)) => drop(self.by_last_use.remove(&used)),
                None => self.push_event("stored", workspace, *block),
            }
            self.by_last_use.insert(self.use_clock, *block);
        }
        while self.blocks.len() > self.capacity_blocks {
            self.evict_oldest();
        }
    }

    fn evict_oldest(&mut self) {
        let Some((_, block)) = self.by_last_use.pop_first() else {
            return;
        };
        if let Some((_, workspace)) = self.blocks.remove(&block) {
            self.push_event("evicted", &workspace, block);
        }
    }

    fn push_event(&mut self, kind: &str, workspace: &str, fingerprint: u64) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let body = json!({ "seq": sequence, "kind": kind, "workspace": workspace,
            "fingerprint": fingerprint });
        self.events.push_back(Event {
            sequence,
            visible_at: Instant::now() + self.event_delay,
            body,
        });
        while self.events.len() > self.kept_events {
            self.events.pop_front();
        }
    }

    /// Returns the events that are visible now, starting at a sequence number, preceded by the
    /// sequence number of the first one and the number at which the next call continues.
    pub(super) fn events_from(&self, after: u64) -> (u64, u64, Vec<Value>) {
        let now = Instant::now();
        let visible: Vec<_> = self
            .events
            .iter()
            .skip_while(|event| event.sequence < after)
            .take_while(|event| event.visible_at <= now)
            .collect();
        let first = visible.first().map_or(after, |event| event.sequence);
        let next = visible.last().map_or(after, |event| event.sequence + 1);
        let events = visible
            .iter()
            .filter(|event| !self.is_lost(event.sequence))
            .map(|event| event.body.clone())
            .collect();
        (first, next, events)
    }

    fn is_lost(&self, sequence: u64) -> bool {
        self.lose_event_every
            .is_some_and(|every| sequence % every == every - 1)
    }
}
