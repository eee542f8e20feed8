//! Table of targets, addressed by a stable index.

use std::collections::HashMap;
use std::time::Duration;

use super::{TargetLoad, unit_random};
use crate::core::ids::{Incarnation, TargetId, Timestamp};
use crate::core::pace::{Ramp, TargetPace};
use crate::util::hash::stable_hash;

/// Index of a target in the table. The index of a removed target without requests is reused with a
/// higher generation, so that cache entries of one target are never applied to another.
pub type TargetIndex = u32;

/// Assumed lifetime of a cached block after its last use until one has been observed.
const INITIAL_LIFETIME: Duration = Duration::from_secs(10);
const MIN_LIFETIME: Duration = Duration::from_millis(500);
const MAX_LIFETIME: Duration = Duration::from_secs(120);

/// Maximum number of pauses kept for targets that may return.
const MAX_FORMER_PAUSES: usize = 1_024;

/// Seed that makes the requests of an increase independent of other random choices.
const RAMP_SEED: u64 = 0x7261_6d70;

/// Smoothing factor of observed block lifetimes.
const LIFETIME_SMOOTHING: f64 = 0.1;

/// Settings of a target in the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetSettings {
    /// Maximum number of concurrent requests.
    pub max_running: u32,
    /// Whether an operator has taken the target out of service.
    pub is_draining: bool,
}

/// Fields of a target's load report that do not describe load.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReportedState {
    /// Hash of the model in service; 0 if not reported.
    pub model_hash: u64,
    /// Hash of the model and its weights version; 0 if not reported.
    pub weights_hash: u64,
    /// Whether the target is shutting down and takes no new work.
    pub is_leaving: bool,
    /// Whether the target is loading weights.
    pub is_loading: bool,
}

/// Routing state of one target.
#[derive(Debug, Clone)]
pub struct TargetState {
    /// Name.
    pub id: TargetId,
    /// Hash of the name, the same on all instances.
    pub name_hash: u64,
    /// Settings; `None` once the target has been removed from the configuration.
    pub settings: Option<TargetSettings>,
    /// Whether a source other than the target's load report states that it is shutting down.
    pub is_leaving: bool,
    /// State from the target's last load report.
    pub reported: ReportedState,
    /// Fraction of normal traffic that the target may receive, from 0 (ejected) to 1.
    pub traffic_fraction: f64,
    /// Whether a suspect (a request that may crash engines) is running at the target.
    pub has_suspect: bool,
    /// Load.
    pub load: TargetLoad,
    /// Incarnation of the engine; 0 if unknown.
    pub incarnation: Incarnation,
    /// Incremented to invalidate all entries of the cache index for the target.
    pub generation: u32,
    /// Observed lifetime of a cached block after its last use.
    pub block_lifetime: Duration,
    /// Until when the target gets a cost penalty, after a connection failed or was refused.
    pub unreliable_until: Timestamp,
    /// Until when the target is expected to refuse requests because it is loading weights.
    pub busy_until: Timestamp,
    /// Until when the target asked this instance to send it no requests.
    pub paused_until: Timestamp,
    /// How fast the target works; `None` until its service uses paces.
    pub pace: Option<Box<TargetPace>>,
    /// Increase of the traffic after the target was added or restarted. Used only with paces.
    pub ramp: Ramp,
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
            paused_until: Timestamp::ZERO,
            pace: None,
            ramp: Ramp::default(),
        }
    }

    /// Whether the target takes new work.
    pub fn is_in_service(&self) -> bool {
        self.is_ready() && self.traffic_fraction > 0.0
    }

    /// Whether the target has reported a valid pace.
    pub fn reports_pace(&self) -> bool {
        let pace = self.pace.as_ref();
        pace.is_some_and(|pace| pace.has_reported())
    }

    /// Whether a request may be sent to the target while its traffic increases. `random` selects the
    /// requests.
    pub fn is_ramp_sampled(&self, random: u64, now: Timestamp) -> bool {
        let share = self.ramp.share(now);
        share >= 1.0 || unit_random(random ^ RAMP_SEED, self.name_hash) < share
    }

    /// Whether only its failures keep the target from taking new work.
    pub fn is_ejected(&self) -> bool {
        self.is_ready() && self.traffic_fraction <= 0.0
    }

    fn is_ready(&self) -> bool {
        let is_enabled = self.settings.is_some_and(|settings| !settings.is_draining);
        is_enabled && !self.is_leaving && !self.reported.is_leaving && !self.reported.is_loading
    }

    /// Whether requests may be sent to the target: it takes new work and has not asked for a pause.
    pub fn accepts_requests(&self, now: Timestamp) -> bool {
        self.is_in_service() && self.paused_until <= now
    }

    /// Applies the state from a load report. Another model or weights version invalidates the cache
    /// index for the target.
    pub fn set_reported(&mut self, reported: ReportedState) {
        if self.reported.weights_hash != reported.weights_hash && self.reported.weights_hash != 0 {
            self.invalidate_cache();
            self.busy_until = Timestamp::ZERO;
        }
        self.reported = reported;
    }

    /// Applies the engine's incarnation. A restart invalidates the cache index for the target and
    /// its reported load, and ends a pause. Returns whether the engine restarted.
    pub fn set_incarnation(&mut self, incarnation: Incarnation) -> bool {
        if incarnation == 0 || incarnation == self.incarnation {
            return false;
        }
        let is_restart = self.incarnation != 0;
        self.incarnation = incarnation;
        if is_restart {
            self.invalidate_cache();
            self.load.on_restart();
            self.paused_until = Timestamp::ZERO;
            self.ramp = Ramp::Pending;
            if let Some(pace) = &mut self.pace {
                **pace = TargetPace::default();
            }
        }
        is_restart
    }

    /// Invalidates all entries of the cache index for the target.
    pub fn invalidate_cache(&mut self) {
        self.generation += 1;
    }

    /// Updates the block lifetime from one observation. A block that was still cached can only
    /// raise the estimate, and one that was evicted can only lower it.
    pub fn observe_block_lifetime(&mut self, age: Duration, was_present: bool) {
        let is_informative = (age > self.block_lifetime) == was_present;
        if is_informative {
            let lifetime = self.block_lifetime.as_secs_f64();
            let new_lifetime = lifetime + LIFETIME_SMOOTHING * (age.as_secs_f64() - lifetime);
            self.block_lifetime =
                Duration::from_secs_f64(new_lifetime).clamp(MIN_LIFETIME, MAX_LIFETIME);
        }
    }

    /// Whether an entry of the cache index is still valid.
    pub fn is_estimate_valid(&self, generation: u32, seen_at: Timestamp, now: Timestamp) -> bool {
        generation == self.generation && now.saturating_sub(seen_at) < self.block_lifetime
    }
}

/// A pause of a target that was removed before the pause ended.
#[derive(Debug, Clone, Copy)]
struct FormerPause {
    incarnation: Incarnation,
    until: Timestamp,
}

/// All current targets, and removed ones whose index has not been reused.
#[derive(Debug, Clone, Default)]
pub struct TargetTable {
    states: Vec<TargetState>,
    by_name: HashMap<TargetId, TargetIndex>,
    /// Pauses of targets whose index has been reused, at most [`MAX_FORMER_PAUSES`].
    former_pauses: HashMap<TargetId, FormerPause>,
}

impl TargetTable {
    /// Returns the index of a target by name. Finds removed targets until their index is reused.
    pub fn index(&self, id: &str) -> Option<TargetIndex> {
        self.by_name.get(id).copied()
    }

    /// Returns the index of a target, adding it if it is new.
    pub fn add(&mut self, id: &TargetId) -> TargetIndex {
        if let Some(index) = self.index(id) {
            return index;
        }
        let mut state = TargetState::new(id.clone());
        // The entry of a running target may be missing for a while.
        if let Some(pause) = self.former_pauses.remove(id) {
            state.incarnation = pause.incarnation;
            state.paused_until = pause.until;
        }
        let free = self.states.iter().position(|reusable| {
            reusable.settings.is_none() && reusable.load.local_requests() == 0
        });
        let index = free.unwrap_or(self.states.len());
        if let Some(reusable) = self.states.get_mut(index) {
            state.generation = reusable.generation + 1;
            self.by_name.remove(&reusable.id);
            let former = std::mem::replace(reusable, state);
            self.keep_pause(&former);
        } else {
            self.states.push(state);
        }
        let index = index as TargetIndex;
        self.by_name.insert(id.clone(), index);
        index
    }

    /// Keeps the pause of a removed target, in place of the one that ends first if there are too many.
    fn keep_pause(&mut self, former: &TargetState) {
        if former.paused_until == Timestamp::ZERO {
            return;
        }
        if self.former_pauses.len() >= MAX_FORMER_PAUSES {
            let pauses = self.former_pauses.iter();
            let first_end = pauses.min_by_key(|(_, pause)| pause.until);
            if let Some(id) = first_end.map(|(id, _)| id.clone()) {
                self.former_pauses.remove(&id);
            }
        }
        let pause = FormerPause {
            incarnation: former.incarnation,
            until: former.paused_until,
        };
        self.former_pauses.insert(former.id.clone(), pause);
    }

    /// Returns a target.
    pub fn get(&self, index: TargetIndex) -> &TargetState {
        &self.states[index as usize]
    }

    /// Returns a mutable target.
    pub fn get_mut(&mut self, index: TargetIndex) -> &mut TargetState {
        &mut self.states[index as usize]
    }

    /// Iterates over all targets, including removed ones whose index has not been reused.
    pub fn iter(&self) -> impl Iterator<Item = (TargetIndex, &TargetState)> {
        self.states
            .iter()
            .enumerate()
            .map(|(index, state)| (index as TargetIndex, state))
    }

    /// Returns the number of indexes, including those of removed targets.
    pub fn len(&self) -> usize {
        self.states.len()
    }

    /// Whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }
}
