//! What a relayed request tells the quarantine, and when the quarantine refuses it.

use std::cell::{Cell, OnceCell};
use std::rc::Rc;
use std::time::Duration;

use super::exchange::{Exchange, NO_TARGET_RETRY_AFTER};
use crate::core::crash::{Admission, Features};
use crate::core::fleet::TargetRecord;
use crate::core::ids::{Fingerprint, TargetId, Timestamp};
use crate::core::relay::{MissingEvidence, ResponseEnd, judge_end};
use crate::ops::proxy::refusal::{Refusal, RefusalCode};
use crate::ops::quarantine::InterruptedRun;
use crate::util::duration::ms;
use crate::util::hash::{combine, stable_hash};

/// Heartbeats of targets without an answer of the store from which it counts as silent.
const OUTAGE_HEARTBEATS: u32 = 2;

/// Time after which an incarnation that responds is known to be registered. It registers when it starts, and the
/// store's watch reports that up to 0.4 s later.
const REGISTRATION_TIME: Duration = Duration::from_millis(600);

/// State of a request for the quarantine.
#[derive(Default)]
pub(super) struct CrashCheck {
    features: OnceCell<Rc<Features>>,
    /// Whether the request is sent to find out whether the cause of crashes is gone.
    is_trial: Cell<bool>,
}

impl Exchange {
    /// Returns what the request has in common with others. Its body must have been read.
    fn crash_features(&self) -> &Rc<Features> {
        self.crash_check.features.get_or_init(|| {
            let parts = self.suspect_parts();
            let fingerprints = parts.iter().map(|(fingerprint, _)| *fingerprint);
            Rc::new(Features::new(
                fingerprints,
                Some(self.request_fingerprint()),
            ))
        })
    }

    /// Returns the fingerprint and the name of each part of the prompt that may be the cause of crashes.
    fn suspect_parts(&self) -> Vec<(Fingerprint, &str)> {
        let prompt = self
            .head
            .prompt
            .as_ref()
            .filter(|_| self.is_model_request());
        let parts = prompt.map(|prompt| {
            let shared = prompt.shared_parts().iter();
            shared.map(|part| (prompt.crash_fingerprint(part), &*part.name))
        });
        parts.into_iter().flatten().collect()
    }

    /// Returns a fingerprint that equal requests of a workspace have in common.
    fn request_fingerprint(&self) -> Fingerprint {
        let admission = self.admission.as_ref();
        let workspace = admission.and_then(|admission| admission.workspace.as_deref());
        let path = self.parts.uri.path_and_query();
        let strings = [
            workspace.unwrap_or_default(),
            &self.head.host,
            self.parts.method.as_str(),
            path.map_or("", |path| path.as_str()),
        ];
        let head = strings
            .iter()
            .fold(0, |hash, text| stable_hash(hash, text.as_bytes()));
        let parts = self.head.prompt.iter().flat_map(|prompt| &prompt.parts);
        let prompt = parts.fold(head, |hash, part| combine(hash, part.hash));
        stable_hash(prompt, &self.body)
    }

    /// Fails if the request has everything in common with others that makes targets crash.
    pub(super) fn check_crashes(&self) -> Result<(), Refusal> {
        let quarantine = &self.relay.quarantine;
        if self.is_model_request() && !quarantine.is_ready() {
            let message = "earlier crashes of targets are not known yet";
            return Err(Refusal::not_run(RefusalCode::NotReady, message)
                .with_retry_after(NO_TARGET_RETRY_AFTER));
        }
        // A trial runs at one target only.
        let may_try = !self.has_begun();
        if self.crash_check.is_trial.get() && may_try {
            return Ok(());
        }
        let admission = quarantine.admit(self.crash_features(), may_try);
        let is_trial = matches!(admission, Admission::Trial(_));
        self.crash_check.is_trial.set(is_trial);
        let Admission::Refused {
            features,
            crashes,
            retry_after,
        } = admission
        else {
            return Ok(());
        };
        let common = self.suspect_parts().into_iter();
        let names: Vec<_> = common
            .filter(|(fingerprint, _)| features.contains(*fingerprint))
            .map(|(_, name)| name)
            .collect();
        let message = match (features.request(), &*names) {
            (None, names) => format!(
                "{crashes} targets crashed under prompts with the part {}",
                names.join(",")
            ),
            (Some(_), _) => format!("{crashes} targets crashed under the request"),
        };
        Err(Refusal::not_run(RefusalCode::Quarantined, message).with_retry_after(retry_after))
    }

    /// Returns a check whether the request is refused by now.
    pub(super) fn crash_refusal(&self) -> impl Fn() -> bool + 'static {
        let quarantine = Rc::clone(&self.relay.quarantine);
        let features = Rc::clone(self.crash_features());
        let is_trial = self.crash_check.is_trial.get();
        move || !is_trial && quarantine.is_refused(&features)
    }

    /// Records that the request does not crash targets.
    pub(super) fn record_survival(&self) {
        self.relay.quarantine.on_survival(self.crash_features());
    }

    /// Whether a response without a length that ended with its connection, at `ended_at` or later, is complete.
    pub(super) async fn is_end_proved(&self, ended_at: Timestamp) -> bool {
        let current = self.current_target();
        let target = current.and_then(|target| self.last_send(&target));
        let Some(target) = target.map(|(target, _)| Rc::clone(target)) else {
            return false;
        };
        let fleet = &self.relay.fleet;
        let mut probe = None;
        let mut probed_at = None;
        let mut is_registration_known = false;
        let end = |probe, probed_at: Option<Timestamp>, is_registration_known| {
            let state = fleet.state();
            let departed_at = state.departed_at(&target);
            let current = state.target(&target.id);
            let settings = fleet.settings();
            let outage = Duration::from_millis(settings.heartbeat_ms) * OUTAGE_HEARTBEATS;
            ResponseEnd {
                is_delimited: false,
                probe,
                probed_after: probed_at.map_or(Duration::ZERO, |at| at.saturating_sub(ended_at)),
                is_replaced: current.is_some_and(|it| it.incarnation > target.incarnation),
                is_registration_known,
                departed_for: departed_at.and_then(|at| ended_at.checked_sub(at)),
                drain_time: Duration::from_millis(settings.drain_ms),
                is_store_fresh: fleet.store_unanswered() < outage,
            }
        };
        let (end, reason) = loop {
            let end = end(probe, probed_at, is_registration_known);
            match judge_end(&end) {
                Ok(reason) => break (end, reason),
                Err(MissingEvidence::Probe) => {
                    probe = Some(self.relay.quarantine.probe_after_end(&target).await);
                    probed_at = Some(self.now());
                }
                Err(MissingEvidence::Registration) => {
                    self.proxy.context.timers().sleep(REGISTRATION_TIME).await;
                    is_registration_known = true;
                }
            }
        };
        slog::info!(self.proxy.context.log(), "response ended with its connection";
            "request" => &*self.head.id, "target" => &*target.id, "incarnation" => target.incarnation,
            "complete" => reason.is_complete(), "reason" => reason.to_string(),
            "probe" => end.probe.map(|probe| format!("{probe:?}")),
            "probed_after_ms" => ms(end.probed_after), "replaced" => end.is_replaced,
            "departed_for_ms" => end.departed_for.map(ms), "drain_ms" => ms(end.drain_time));
        let name = format!("relay.ends.{reason}");
        self.proxy.context.metrics().count(&name, 1);
        reason.is_complete()
    }

    /// Returns a target, and when the request was last sent there.
    pub(super) fn last_send(&self, target: &TargetId) -> Option<&(Rc<TargetRecord>, Timestamp)> {
        let mut sends = self.sent_to.iter().rev();
        sends.find(|(record, _)| record.id == *target)
    }

    /// Records a complete response. An error need not come from the code that runs requests, and proves
    /// nothing.
    pub(super) fn record_complete_response(&self, status: u16) {
        if (200..300).contains(&status) {
            self.record_survival();
        }
    }

    /// Records that a target interrupted its response.
    pub(super) fn record_interruption(&self, target: &TargetId) {
        let Some((target, sent_at)) = self.last_send(target) else {
            return;
        };
        let run = InterruptedRun {
            request: self.head.id.clone(),
            features: Rc::clone(self.crash_features()),
            part_names: self.shared_part_names().unwrap_or_default(),
            ran_for: self.now().saturating_sub(*sent_at),
            is_trial: self.crash_check.is_trial.get(),
        };
        self.relay.quarantine.on_interruption(target, run);
    }
}
