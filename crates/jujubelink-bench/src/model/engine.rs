//! Time model of an engine: it processes one prefill at a time, decodes many requests concurrently,
//! and has an LRU cache of prompt blocks.

use std::collections::VecDeque;
use std::num::NonZeroUsize;
use std::time::Duration;

use lru::LruCache;

use crate::workload::{BLOCK_TOKENS, WorkRequest};

/// Fixed time of a decode step.
const DECODE_STEP: Duration = Duration::from_millis(15);
/// Additional time of a decode step for each running request.
const DECODE_STEP_PER_REQUEST: Duration = Duration::from_millis(1);

/// A simulated engine.
#[derive(Debug)]
pub struct Engine {
    /// Number of the current run, incremented by each crash.
    pub incarnation: u64,
    /// Whether the engine accepts connections.
    pub is_up: bool,
    max_running: u32,
    prefill_tokens_per_s: u64,
    cache: LruCache<u64, ()>,
    /// Attempts that wait for a slot.
    waiting: VecDeque<usize>,
    /// Attempts that have a slot and wait for their prefill.
    awaiting_prefill: VecDeque<usize>,
    /// The attempt whose prefill is in progress, and the time at which it ends.
    prefilling: Option<(usize, Duration)>,
    /// Attempts that have a slot.
    running: Vec<usize>,
}

/// A prefill that was started.
#[derive(Debug, Clone, Copy)]
pub struct Prefill {
    /// Index of the attempt.
    pub attempt: usize,
    /// Time at which the prefill ends.
    pub ends_at: Duration,
    /// Number of leading blocks found in the cache.
    pub cached_blocks: usize,
}

impl Engine {
    /// Creates an engine with an empty cache.
    pub fn new(max_running: u32, prefill_tokens_per_s: u64, cache_blocks: usize) -> Self {
        Self {
            incarnation: 1,
            is_up: true,
            max_running,
            prefill_tokens_per_s,
            cache: LruCache::new(NonZeroUsize::new(cache_blocks.max(1)).expect("positive")),
            waiting: VecDeque::new(),
            awaiting_prefill: VecDeque::new(),
            prefilling: None,
            running: Vec::new(),
        }
    }

    /// Returns the number of leading blocks of a prompt that are cached.
    pub fn cached_blocks(&self, blocks: &[u64]) -> usize {
        let is_cached = |block: &&u64| self.cache.contains(*block);
        blocks.iter().take_while(is_cached).count()
    }

    /// Returns the time until the prefill of a new request would start, provided that a slot is
    /// free. Real instances cannot observe this; only the oracle baseline uses it.
    pub fn backlog(&self, now: Duration, prefill_time_of: impl Fn(usize) -> Duration) -> Duration {
        let current = self
            .prefilling
            .map_or(Duration::ZERO, |(_, ends_at)| ends_at.saturating_sub(now));
        let queued = self.awaiting_prefill.iter().chain(&self.waiting);
        current
            + queued
                .map(|attempt| prefill_time_of(*attempt))
                .sum::<Duration>()
    }

    /// Returns the numbers of running and waiting requests, as in a load report.
    pub fn load(&self) -> (u32, u32) {
        (self.running.len() as u32, self.waiting.len() as u32)
    }

    /// Returns by how many requests the engine would exceed its slots with one more request.
    pub fn excess(&self) -> u32 {
        let total = (self.running.len() + self.waiting.len()) as u32;
        (total + 1).saturating_sub(self.max_running)
    }

    /// Accepts an attempt and starts it if a slot is free.
    pub fn submit(&mut self, attempt: usize) {
        self.waiting.push_back(attempt);
        self.admit();
    }

    fn admit(&mut self) {
        while self.running.len() < self.max_running as usize {
            let Some(attempt) = self.waiting.pop_front() else {
                break;
            };
            self.running.push(attempt);
            self.awaiting_prefill.push_back(attempt);
        }
    }

    /// Returns the time to compute the blocks of a prompt that are not cached.
    pub fn prefill_time(&self, request: &WorkRequest, cached_blocks: usize) -> Duration {
        let missing = request.prompt_tokens - cached_blocks as u64 * BLOCK_TOKENS;
        Duration::from_secs_f64(missing as f64 / self.prefill_tokens_per_s as f64)
    }

    /// Starts the next prefill if none is in progress.
    pub fn start_prefill<'a>(
        &mut self,
        now: Duration,
        request_of: impl Fn(usize) -> &'a WorkRequest,
    ) -> Option<Prefill> {
        if self.prefilling.is_some() {
            return None;
        }
        let attempt = self.awaiting_prefill.pop_front()?;
        let request = request_of(attempt);
        let cached_blocks = self.cached_blocks(&request.prompt.blocks);
        let ends_at = now + self.prefill_time(request, cached_blocks);
        self.prefilling = Some((attempt, ends_at));
        Some(Prefill {
            attempt,
            ends_at,
            cached_blocks,
        })
    }

    /// Completes the current prefill and caches its blocks. Returns the duration of the decoding.
    pub fn end_prefill(&mut self, request: &WorkRequest) -> Duration {
        self.prefilling = None;
        // Inserted from the last block to the first, so that a prefix is evicted after its
        // extensions.
        for block in request.prompt.blocks.iter().rev() {
            self.cache.put(*block, ());
        }
        let step = DECODE_STEP + DECODE_STEP_PER_REQUEST * self.running.len() as u32;
        step * request.completion_tokens as u32
    }

    /// Completes an attempt and releases its slot.
    pub fn complete(&mut self, attempt: usize) {
        self.running
            .retain(|running_attempt| *running_attempt != attempt);
        self.admit();
    }

    /// Stops the engine and empties its cache. Returns the attempts that are lost.
    pub fn crash(&mut self) -> Vec<usize> {
        self.is_up = false;
        self.incarnation += 1;
        self.cache.clear();
        self.prefilling = None;
        self.awaiting_prefill.clear();
        let mut lost = std::mem::take(&mut self.running);
        lost.extend(self.waiting.drain(..));
        lost
    }
}
