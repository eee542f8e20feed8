//! Versions of targets that a request may be sent to.

use super::Relay;
use super::exchange::Exchange;
use crate::core::fleet::TargetRecord;
use crate::core::ids::TargetId;

impl Exchange {
    /// Chooses the version for the next send.
    pub(super) fn choose_version(&self) {
        let Some(admission) = &self.admission else {
            return;
        };
        let is_first = self.attempts.sends() == 0 && !self.has_begun();
        let canary = &self.relay.canary;
        let choice = canary.choose(&admission.service, &self.head.id, is_first);
        self.version_choice.replace(choice);
    }

    /// Chooses the old version instead of the new one, if there is a choice. Returns whether there is.
    pub(super) fn choose_other_version(&self) -> bool {
        let Some(admission) = &self.admission else {
            return false;
        };
        let canary = &self.relay.canary;
        let other = canary.other_choice(&admission.service, &self.version_choice.borrow());
        let is_found = other.is_some();
        if let Some(other) = other {
            self.version_choice.replace(other);
        }
        is_found
    }

    /// Whether a target has a version that this send may use.
    pub(super) fn permits_version(&self, target: &TargetId) -> bool {
        let state = self.relay.fleet.state();
        let choice = self.version_choice.borrow();
        let record = state.target(target);
        record.is_none_or(|record| choice.permits(&record.version))
    }

    /// Returns the targets of the service whose version this send may not use.
    pub(super) fn other_versions(&self) -> Vec<TargetId> {
        let Some(admission) = &self.admission else {
            return Vec::new();
        };
        let choice = self.version_choice.borrow();
        let state = self.relay.fleet.state();
        let others = state.targets().filter(|record| {
            record.service == admission.service && !choice.permits(&record.version)
        });
        others.map(|record| record.id.clone()).collect()
    }

    /// Records the first data of a response, or a failure, as evidence on the version of its target.
    pub(super) fn record_version_response(&self, target: &TargetId, is_failed: bool) {
        let (Some(admission), Some((record, sent_at))) = (&self.admission, self.last_send(target))
        else {
            return;
        };
        let took = self.now().saturating_sub(*sent_at);
        let canary = &self.relay.canary;
        canary.on_response(record, &admission.route.name, is_failed, took);
    }
}

/// Whether requests may be sent to the version of a target now.
pub(super) fn may_send_version(relay: &Relay, record: &TargetRecord) -> bool {
    relay.canary.may_send(record)
}
