//! Interrupted responses whose targets may have crashed.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use crate::core::crash::{CrashId, CrashedRun, crash_id};
use crate::core::fleet::{FleetState, TargetRecord};
use crate::core::ids::Timestamp;

/// Time within which the end of a target has to be known after an interruption. The entry of a target that
/// crashed is removed after three heartbeats, and a new target has its address later.
pub(super) const CONFIRMATION_TIME: Duration = Duration::from_secs(5);

/// Maximum number of targets with interruptions; those at further ones do not count as crashes.
const MAX_INTERRUPTIONS: usize = 256;

/// Maximum number of prompts whose parts the log names for a crash.
const MAX_LOGGED_PROMPTS: usize = 8;

/// Requests that were interrupted at one incarnation of a target.
pub(super) struct Interruption {
    pub(super) target: Rc<TargetRecord>,
    pub(super) at: Timestamp,
    pub(super) runs: Vec<CrashedRun>,
    /// Names of the shared parts of the prompts, for the log.
    pub(super) part_names: Vec<String>,
    /// Whether the store listed the target when its response was interrupted.
    was_listed: bool,
    /// Whether the target has answered since its last interruption. The loss of its entry is no sign of a
    /// crash then.
    is_alive: bool,
}

/// Interruptions by the identifier that the crash of the target would have.
#[derive(Default)]
pub(super) struct Interruptions(HashMap<CrashId, Interruption>);

impl Interruptions {
    /// Records an interruption. Returns whether it is the first one of the target.
    pub(super) fn add(
        &mut self,
        target: &Rc<TargetRecord>,
        run: CrashedRun,
        part_names: String,
        state: &FleetState,
        now: Timestamp,
    ) -> bool {
        let id = crash_id(&target.id, target.incarnation);
        if self.0.len() >= MAX_INTERRUPTIONS && !self.0.contains_key(&id) {
            return false;
        }
        let interruption = self.0.entry(id).or_insert_with(|| Interruption {
            target: Rc::clone(target),
            at: now,
            runs: Vec::new(),
            part_names: Vec::new(),
            was_listed: state.is_current_incarnation(&target.id, target.incarnation),
            is_alive: false,
        });
        interruption.is_alive = false;
        interruption.runs.push(run);
        if interruption.part_names.len() < MAX_LOGGED_PROMPTS {
            interruption.part_names.push(part_names);
        }
        interruption.runs.len() == 1
    }

    /// Returns the number of interrupted runs of a target.
    pub(super) fn run_count(&self, id: CrashId) -> usize {
        let interruption = self.0.get(&id);
        interruption.map_or(0, |interruption| interruption.runs.len())
    }

    /// Records that a target has answered after the first `runs` interruptions. The answer says nothing about
    /// later ones.
    pub(super) fn set_alive(&mut self, id: CrashId, runs: usize) {
        if let Some(interruption) = self.0.get_mut(&id) {
            interruption.is_alive |= interruption.runs.len() == runs;
        }
    }

    pub(super) fn take(&mut self, id: CrashId) -> Option<Interruption> {
        self.0.remove(&id)
    }

    pub(super) fn contains(&self, id: CrashId) -> bool {
        self.0.contains_key(&id)
    }

    /// Returns the crashes of the targets that have been replaced or have lost their entry in the store, and
    /// removes the interruptions that are too old.
    pub(super) fn sweep(&mut self, state: &FleetState, now: Timestamp) -> Vec<CrashId> {
        self.0
            .retain(|_, interruption| now.saturating_sub(interruption.at) < CONFIRMATION_TIME);
        let ended = self.0.iter().filter(|(_, interruption)| {
            let target = &interruption.target;
            let is_listed = state.target(&target.id).is_some();
            let has_lost_entry = interruption.was_listed && !interruption.is_alive && !is_listed;
            has_lost_entry || state.targets().any(|other| replaces(other, target))
        });
        ended.map(|(id, _)| *id).collect()
    }
}

/// Whether a target is a later incarnation of another one, or a later one at its address.
fn replaces(target: &TargetRecord, former: &TargetRecord) -> bool {
    let has_its_place = target.id == former.id || target.address == former.address;
    has_its_place && target.incarnation > former.incarnation
}
