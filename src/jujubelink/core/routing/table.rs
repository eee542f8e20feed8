//! Targets by a stable index.

use std::collections::HashMap;
use std::time::Duration;

use super::TargetLoad;
use crate::core::ids::{Incarnation, TargetId, Timestamp};
use crate::util::hash::stable_hash;

/// Position of a target in the table. The position of a removed target without requests is used
/// again with a larger generation, so that beliefs cannot pass from one target to another.
pub type TargetIndex = u32;

/// Life of a block after its last use that is assumed before any was observed.
const INITIAL_LIFETIME: Duration = Duration::from_secs(10);
const MIN_LIFETIME: Duration = Duration::from_millis(500);
const MAX_LIFETIME: Duration = Duration::from_secs(120);

/// Weight of one observation of a block's life.
const LIFETIME_SMOOTHING: f64 = 0.1;

/// What the configuration says about a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetSettings {
    /// Requests that the target runs at once.
    pub max_running: u32,
    /// Whether an operator has taken the target out of service.
    pub is_draining: bool,
}

/// What a target's load report says besides its load.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReportedState {
    /// Hash of the model in service; 0 if not reported.
    pub model_hash: u64,
    /// Hash of the model and its weights version; 0 if not reported.
    pub weights_hash: u64,
    /// Whether the target leaves.
    pub is_leaving: bool,
    /// Whether the target loads weights.
    pub is_loading: bool,
}

/// One target.
#[derive(Debug, Clone)]
pub struct TargetState {
    /// Name.
    pub id: TargetId,
    /// Hash of the name, the same on all instances.
    pub name_hash: u64,
    /// Settings; `None` once the configuration no longer names the target.
    pub settings: Option<TargetSettings>,
    /// Whether other sources than its own report say that the target leaves.
    pub is_leaving: bool,
    /// What the target's last report said besides its load.
    pub reported: ReportedState,
    /// Share of normal traffic that the target may get, from 0 (ejected) to 1.
    pub traffic_fraction: f64,
    /// Whether a suspect runs at the target.
    pub has_suspect: bool,
    /// Load.
    pub load: TargetLoad,
    /// Run of the engine; 0 if unknown.
    pub incarnation: Incarnation,
    /// Grows when all beliefs about the target's cache become void.
    pub generation: u32,
    /// Observed life of a block after its last use.
    pub block_lifetime: Duration,
    /// Until when the target is taken for slow because an attempt just broke or found no listener.
    pub unreliable_until: Timestamp,
    /// Until when the target is expected to refuse requests because it loads weights.
    pub busy_until: Timestamp,
}

impl TargetState {
    fn new(id: TargetId) -> Self {
        Self {
            name_hash: stable_hash(0, id.as_bytes()),
            id,
            settings: None,
            is_leaving: false,
            reported: ReportedState::default(),
            traffic_fraction: 1.0,
            has_suspect: false,
            load: TargetLoad::default(),
            incarnation: 0,
            generation: 0,
            block_lifetime: INITIAL_LIFETIME,
            unreliable_until: Timestamp::ZERO,
            busy_until: Timestamp::ZERO,
        }
    }

    /// Whether the target takes new work.
    pub fn is_in_service(&self) -> bool {
        let is_enabled = self.settings.is_some_and(|settings| !settings.is_draining);
        let is_ready = !self.is_leaving && !self.reported.is_leaving && !self.reported.is_loading;
        is_enabled && is_ready && self.traffic_fraction > 0.0
    }

    /// Takes what a report says besides the load. Another model or weights version voids all
    /// beliefs about the cache.
    pub fn set_reported(&mut self, reported: ReportedState) {
        if self.reported.weights_hash != reported.weights_hash && self.reported.weights_hash != 0 {
            self.invalidate_cache();
            self.busy_until = Timestamp::ZERO;
        }
        self.reported = reported;
    }

    /// Takes the engine's incarnation. A change voids all beliefs about the cache. Returns whether
    /// it changed.
    pub fn set_incarnation(&mut self, incarnation: Incarnation) -> bool {
        if incarnation == 0 || incarnation == self.incarnation {
            return false;
        }
        let is_restart = self.incarnation != 0;
        self.incarnation = incarnation;
        if is_restart {
            self.invalidate_cache();
            self.load.on_restart();
        }
        is_restart
    }

    /// Makes all beliefs about the cache void.
    pub fn invalidate_cache(&mut self) {
        self.generation += 1;
    }

    /// Takes an observed life of a block after its last use. A block that was still there only
    /// raises the estimate, one that was gone only lowers it.
    pub fn observe_block_lifetime(&mut self, age: Duration, was_present: bool) {
        let is_informative = (age > self.block_lifetime) == was_present;
        if is_informative {
            let lifetime = self.block_lifetime.as_secs_f64();
            let new_lifetime = lifetime + LIFETIME_SMOOTHING * (age.as_secs_f64() - lifetime);
            self.block_lifetime =
                Duration::from_secs_f64(new_lifetime).clamp(MIN_LIFETIME, MAX_LIFETIME);
        }
    }

    /// Whether a belief about a block is still valid.
    pub fn is_estimate_valid(&self, generation: u32, seen_at: Timestamp, now: Timestamp) -> bool {
        generation == self.generation && now.saturating_sub(seen_at) < self.block_lifetime
    }
}

/// All targets that the configuration names or named.
#[derive(Debug, Clone, Default)]
pub struct TargetTable {
    states: Vec<TargetState>,
    by_name: HashMap<TargetId, TargetIndex>,
}

impl TargetTable {
    /// Index of a target by name.
    pub fn index(&self, id: &str) -> Option<TargetIndex> {
        self.by_name.get(id).copied()
    }

    /// Index of a target, which is added if it is new.
    pub fn add(&mut self, id: &TargetId) -> TargetIndex {
        if let Some(index) = self.index(id) {
            return index;
        }
        let mut state = TargetState::new(id.clone());
        let free = self
            .states
            .iter()
            .position(|held| held.settings.is_none() && held.load.local_requests() == 0);
        let index = free.unwrap_or(self.states.len());
        if let Some(held) = self.states.get_mut(index) {
            state.generation = held.generation + 1;
            self.by_name.remove(&held.id);
            *held = state;
        } else {
            self.states.push(state);
        }
        let index = index as TargetIndex;
        self.by_name.insert(id.clone(), index);
        index
    }

    /// A target.
    pub fn get(&self, index: TargetIndex) -> &TargetState {
        &self.states[index as usize]
    }

    /// A target to change.
    pub fn get_mut(&mut self, index: TargetIndex) -> &mut TargetState {
        &mut self.states[index as usize]
    }

    /// All targets.
    pub fn iter(&self) -> impl Iterator<Item = (TargetIndex, &TargetState)> {
        self.states
            .iter()
            .enumerate()
            .map(|(index, state)| (index as TargetIndex, state))
    }

    /// Number of positions.
    pub fn len(&self) -> usize {
        self.states.len()
    }

    /// Whether there is no target.
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }
}
