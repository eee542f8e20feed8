//! Admission of a request again, if the configuration leads it elsewhere before it has run.

use std::pin::pin;

use futures_util::FutureExt;

use super::admission::{Admission, admit, check_size, quota_units};
use super::crashes::CrashCheck;
use super::exchange::{Exchange, NO_TARGET_RETRY_AFTER};
use crate::core::relay::Failure;
use crate::ops::proxy::refusal::{Refusal, RefusalCode};
use crate::ops::services::{AttemptOutcome, ConfigService, Placement};

impl Exchange {
    /// Obtains a placement at a target. Returns `None` if the request has to be admitted again first.
    pub(super) async fn choose_admitted_target(&self) -> Result<Option<Placement>, Refusal> {
        if self.has_begun() {
            return self.choose_target().await.map(Some);
        }
        let mut chosen = pin!(self.choose_target().fuse());
        let mut changed = pin!(self.admission_changed().fuse());
        futures_util::select_biased! {
            placement = chosen => placement.map(Some),
            () = changed => Ok(None),
        }
    }

    /// Completes once the configuration leads the request to another service or workspace.
    async fn admission_changed(&self) {
        let config = self.proxy.context.service::<dyn ConfigService>();
        loop {
            let changed = config.changed();
            // One that is no longer admitted at all is refused before it is sent.
            if let Ok(Some(_)) = self.other_admission() {
                return;
            }
            changed.await;
        }
    }

    /// Returns the admission of the request by the active configuration, if it leads to another service or
    /// workspace than that by which the request was admitted.
    fn other_admission(&self) -> Result<Option<Admission>, Refusal> {
        let admission = self.admission()?;
        let fleet = &self.relay.fleet;
        if fleet.state().config_version() == admission.policy.version {
            return Ok(None);
        }
        let current = admit(fleet, &self.head, self.parts.uri.path())?;
        let is_other =
            current.service != admission.service || current.workspace != admission.workspace;
        Ok(is_other.then_some(current))
    }

    /// Admits a request that has not run by the active configuration, if that leads it elsewhere. Returns
    /// whether it was admitted again.
    pub(super) async fn readmit(&mut self) -> Result<bool, Refusal> {
        if self.has_begun() {
            return Ok(false);
        }
        let Some(current) = self.other_admission()? else {
            return Ok(false);
        };
        self.end_placement(AttemptOutcome::Cancelled);
        let body_bytes = self.body.len() as u64;
        check_size(&self.relay.fleet, &current.policy, &self.parts, body_bytes)?;
        slog::info!(self.proxy.context.log(), "request admitted again"; "request" => &*self.head.id,
            "service" => &*current.service, "config" => current.policy.version,
            "sends" => self.attempts.sends());
        let former_deadline = self.deadline;
        self.set_times(&current.route);
        let units = quota_units(&current, &self.head);
        let previous = self.admission.replace(current);
        let is_charged = previous.is_some_and(|previous| {
            previous.workspace
                == self
                    .admission
                    .as_ref()
                    .and_then(|new| new.workspace.clone())
                && quota_units(&previous, &self.head) == units
        });
        // What the request has in common with others depends on its workspace.
        self.crash_check = CrashCheck::default();
        if !is_charged {
            self.settle_charge();
            self.acquire_charge().await?;
        }
        if self.attempts.may_have_arrived() {
            // At the new service too, the request arrives once more, and within the time stated before.
            self.deadline = self.deadline.min(former_deadline);
            self.acquire_resend(Failure::NotRun).map_err(|reason| {
                Refusal::not_run(RefusalCode::Overloaded, reason.to_string())
                    .with_retry_after(NO_TARGET_RETRY_AFTER)
            })?;
        }
        Ok(true)
    }
}
