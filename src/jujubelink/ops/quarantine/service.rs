//! The service that records interruptions, crashes and survivals and decides on requests.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use super::end_probes::EndProbes;
use super::message::EvidenceMessage;
use super::outbox::Outbox;
use super::probe::Interruptions;
use super::stored::{StoredEvidence, to_hex};
use crate::core::crash::{
    Admission, CauseId, CrashEvidence, CrashId, CrashedRun, Features, crash_id,
};
use crate::core::fleet::TargetRecord;
use crate::core::ids::{Fingerprint, RequestId, Timestamp};
use crate::core::relay::ProbeFinding;
use crate::ops::fleet::Fleet;
use crate::ops::kernel::Context;
use crate::ops::share::Peers;
use crate::platform::{TargetStatus, read_status};
use crate::util::duration::ms;
use crate::util::hash::stable_hash;
use crate::util::http::Client;

/// Interval at which interruptions are compared with the list of targets, and stored evidence with the
/// present one.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(250);

/// Time in which an instance that starts has to learn the causes of earlier crashes. After it, the instance
/// serves without them if neither another instance nor the store answers.
const LOAD_TIMEOUT: Duration = Duration::from_secs(3);

/// Interval at which an instance that starts checks whether the other instances are known.
const INSTANCE_LIST_POLL: Duration = Duration::from_millis(20);

/// Delay before the next attempt to read or write the evidence in the store.
const STORE_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Maximum time for which a crash or a trial is included in messages. It is sent to all instances several
/// times in it, also in a large fleet.
const MAX_PUBLICATION: Duration = Duration::from_secs(1);

/// Time for which a connection to a target is kept for the next probe.
const MAX_IDLE: Duration = Duration::from_secs(10);

/// A request whose response was interrupted.
pub struct InterruptedRun {
    /// Identifier of the client's attempt.
    pub request: RequestId,
    /// What the request has in common with others.
    pub features: Rc<Features>,
    /// Names of the shared parts of the prompt, for the log.
    pub part_names: String,
    /// Time since the send.
    pub ran_for: Duration,
    /// Whether the request was sent to find out whether a cause is gone.
    pub is_trial: bool,
}

/// Returns why a target is known to have ended.
fn end_of_target(target: &TargetRecord, status: TargetStatus) -> Option<&'static str> {
    match status {
        TargetStatus::Refused => Some("it refuses connections"),
        // An entry without an incarnation has 0.
        TargetStatus::Responded { incarnation } => incarnation
            .is_some_and(|incarnation| target.incarnation > 0 && incarnation > target.incarnation)
            .then_some("another incarnation has its address"),
        TargetStatus::OtherTarget => Some("another target has its address"),
        TargetStatus::Unknown => None,
    }
}

/// Whether a target is known to live.
fn is_alive(target: &TargetRecord, status: TargetStatus) -> bool {
    let TargetStatus::Responded { incarnation } = status else {
        return false;
    };
    incarnation == Some(target.incarnation)
}

/// Quarantine of requests under which targets crash.
pub struct Quarantine {
    context: Context,
    evidence: RefCell<CrashEvidence>,
    interruptions: RefCell<Interruptions>,
    outbox: RefCell<Outbox>,
    /// Whether the evidence from before the start of this instance is known.
    is_loaded: Cell<bool>,
    /// Whether that evidence could not be had in time.
    has_waited: Cell<bool>,
    client: Client,
    probes: EndProbes,
}

impl Quarantine {
    pub(super) fn new(context: &Context) -> Self {
        Self {
            context: context.clone(),
            evidence: RefCell::default(),
            interruptions: RefCell::default(),
            outbox: RefCell::default(),
            is_loaded: Cell::new(false),
            has_waited: Cell::new(false),
            client: Client::new(),
            probes: EndProbes::default(),
        }
    }

    fn now(&self) -> Timestamp {
        self.context.timers().boot_now()
    }

    fn fleet(&self) -> Rc<Fleet> {
        self.context.service()
    }

    fn peers(&self) -> Rc<Peers> {
        self.context.service()
    }

    /// Now, and the time until which a crash or a trial of now is sent to other instances.
    fn publication_times(&self) -> [Timestamp; 2] {
        let now = self.now();
        let until = self.peers().rebroadcast_until();
        [now, until.min(now + MAX_PUBLICATION)]
    }

    /// Whether prompts are taken. An instance that has just started does not know yet which ones crash
    /// targets.
    pub fn is_ready(&self) -> bool {
        self.is_loaded.get() || self.has_waited.get()
    }

    /// Decides whether a request may be sent. `may_try` tells whether it can be sent to find out whether a
    /// cause is gone.
    pub fn admit(&self, features: &Features, may_try: bool) -> Admission {
        let peers = self.peers();
        let place = |cause: CauseId| may_try.then(|| peers.place_in_order(cause));
        let admission = self
            .evidence
            .borrow_mut()
            .admit(features, place, self.now());
        if let Admission::Trial(cause) = admission {
            self.outbox
                .borrow_mut()
                .add_trial(cause, self.publication_times());
            slog::info!(self.context.log(), "refused prompt tried"; "cause" => to_hex(cause));
        }
        admission
    }

    /// Whether requests with these features are refused.
    pub fn is_refused(&self, features: &Features) -> bool {
        self.evidence.borrow().cause_of(features).is_some()
    }

    /// Records that a request ran to its end, or for so long that it does not crash targets.
    pub fn on_survival(&self, features: &Features) {
        self.change_evidence(|evidence, now| evidence.on_survival(features.iter(), now));
    }

    /// Records that the response of a target was interrupted. It counts as a crash if the target is found to
    /// have ended.
    pub fn on_interruption(self: &Rc<Self>, target: &Rc<TargetRecord>, run: InterruptedRun) {
        // A target that has left as planned ends without a crash.
        if self.fleet().state().has_left(target) {
            return;
        }
        let crashed_run = CrashedRun {
            request: stable_hash(0, run.request.as_bytes()),
            features: run.features,
            ran_for: run.ran_for,
            is_trial: run.is_trial,
        };
        let is_first = {
            let fleet = self.fleet();
            let mut interruptions = self.interruptions.borrow_mut();
            let (state, now) = (fleet.state(), self.now());
            interruptions.add(target, crashed_run, run.part_names, &state, now)
        };
        let id = crash_id(&target.id, target.incarnation);
        if self.evidence.borrow().contains(id) {
            self.on_target_ended(id, "it has ended before");
        } else if is_first {
            compio::runtime::spawn(Rc::clone(self).probe(Rc::clone(target))).detach();
        }
    }

    /// Records that a target refused a connection.
    pub fn on_connection_refused(&self, target: &TargetRecord) {
        let id = crash_id(&target.id, target.incarnation);
        self.on_target_ended(id, "it refuses connections");
    }

    /// Asks a target with an interrupted response whether it lives.
    async fn probe(self: Rc<Self>, target: Rc<TargetRecord>) {
        let id = crash_id(&target.id, target.incarnation);
        let runs = self.interruptions.borrow().run_count(id);
        let status = read_status(&self.client, target.address, &target.id).await;
        if let Some(reason) = end_of_target(&target, status) {
            self.on_target_ended(id, reason);
            return;
        }
        if is_alive(&target, status) {
            self.interruptions.borrow_mut().set_alive(id, runs);
        }
        if self.interruptions.borrow().contains(id) {
            slog::info!(self.context.log(), "target not known to have ended";
                "target" => &*target.id, "status" => format!("{status:?}"));
        }
    }

    /// Probes whether a target lives, after now. Responses that end while
    /// another probe is unanswered share the next one.
    pub async fn probe_after_end(&self, target: &Rc<TargetRecord>) -> ProbeFinding {
        let (client, asked) = (self.client.clone(), Rc::clone(target));
        let context = self.context.clone();
        let ask = async move {
            context.metrics().count("relay.end_probes", 1);
            let status = read_status(&client, asked.address, &asked.id).await;
            match (end_of_target(&asked, status), status) {
                (Some(_), _) => ProbeFinding::Gone,
                (None, _) if is_alive(&asked, status) => ProbeFinding::Alive,
                (None, TargetStatus::Responded { .. }) => ProbeFinding::Responded,
                (None, _) => ProbeFinding::Unknown,
            }
        };
        let id = crash_id(&target.id, target.incarnation);
        self.probes.ask(id, ask).await
    }

    /// Counts the interruptions at a target as a crash.
    fn on_target_ended(&self, id: CrashId, reason: &'static str) {
        let Some(interruption) = self.interruptions.borrow_mut().take(id) else {
            return;
        };
        let target = &interruption.target;
        slog::warn!(self.context.log(), "target ended within responses"; "target" => &*target.id,
            "incarnation" => target.incarnation, "crash" => to_hex(id), "reason" => reason,
            "parts" => interruption.part_names.join(" "), "responses" => interruption.runs.len(),
            "age_ms" => ms(self.now().saturating_sub(interruption.at)));
        self.outbox.borrow_mut().add_crash(
            id,
            &interruption.runs,
            interruption.at,
            self.publication_times(),
        );
        self.context.metrics().count("quarantine.crashes", 1);
        self.change_evidence(|evidence, _| {
            evidence.on_crash(id, interruption.runs, interruption.at)
        });
    }

    /// Changes the evidence, reports the survivals that `change` returns to the other instances, and logs the
    /// causes that are new or gone.
    fn change_evidence(
        &self,
        change: impl FnOnce(&mut CrashEvidence, Timestamp) -> Vec<Fingerprint>,
    ) {
        let mut evidence = self.evidence.borrow_mut();
        let ids = |evidence: &CrashEvidence| -> BTreeSet<CauseId> {
            evidence.causes().iter().map(|cause| cause.id()).collect()
        };
        let before = ids(&evidence);
        let survived = change(&mut evidence, self.now());
        let after = ids(&evidence);
        if !survived.is_empty() {
            let (now, until) = (self.now(), self.peers().rebroadcast_until());
            let mut outbox = self.outbox.borrow_mut();
            for fingerprint in survived {
                outbox.add_survival(fingerprint, now, until);
            }
        }
        if before == after {
            return;
        }
        for cause in evidence.causes() {
            if before.contains(&cause.id()) {
                continue;
            }
            let features = cause.features.iter().map(to_hex);
            let crashes = cause.crashes.iter().copied().map(to_hex);
            slog::warn!(self.context.log(), "requests refused after crashes";
                "cause" => to_hex(cause.id()), "features" => features.collect::<Vec<_>>().join(" "),
                "crashes" => crashes.collect::<Vec<_>>().join(" "),
                "failed_trials" => cause.failed_trials,
                "age_ms" => ms(self.now().saturating_sub(cause.last_crash_at)));
        }
        for id in before.difference(&after) {
            slog::info!(self.context.log(), "requests no longer refused"; "cause" => to_hex(*id));
        }
        let metrics = self.context.metrics();
        metrics.gauge("quarantine.causes", after.len() as u64);
    }

    /// Returns the recent observations for the messages to other instances.
    pub fn outgoing(&self) -> Option<EvidenceMessage> {
        self.outbox.borrow_mut().message(self.now())
    }

    /// Whether all instances have to get a message before the next regular one.
    pub fn is_urgent(&self) -> bool {
        self.outbox.borrow().is_urgent(self.now())
    }

    /// Applies the observations of another instance.
    pub fn on_message(&self, message: &EvidenceMessage) {
        let now = self.now();
        let time_of = |age_ms: u64| now.saturating_sub(Duration::from_millis(age_ms));
        for crash in &message.crashes {
            let runs = crash.runs.iter().map(|run| CrashedRun {
                request: run.request,
                features: Rc::new(Features::new(run.parts.iter().copied(), run.whole)),
                ran_for: Duration::from_millis(run.ran_for_ms),
                is_trial: run.is_trial,
            });
            let (runs, at) = (runs.collect(), time_of(crash.age_ms));
            self.change_evidence(|evidence, _| evidence.on_crash(crash.crash, runs, at));
        }
        if !message.survivals.is_empty() {
            self.change_evidence(|evidence, _| {
                for survival in &message.survivals {
                    evidence.on_survival([survival.fingerprint], time_of(survival.age_ms));
                }
                // The other instance reports them itself.
                Vec::new()
            });
        }
        for trial in &message.trials {
            let at = time_of(trial.age_ms);
            self.evidence.borrow_mut().on_trial(trial.fingerprint, at);
        }
    }

    /// Returns the evidence for an instance that starts; `None` while this one does not know it either.
    pub fn stored_evidence(&self) -> Option<StoredEvidence> {
        let is_loaded = self.is_loaded.get();
        is_loaded.then(|| StoredEvidence::new(&self.evidence.borrow(), self.now()))
    }

    /// Learns the evidence of earlier crashes, then keeps it in the store.
    pub(super) async fn keep_stored(self: Rc<Self>) {
        let timers = *self.context.timers();
        while !self.peers().has_instance_list() {
            timers.sleep(INSTANCE_LIST_POLL).await;
        }
        let mut load = pin!(self.load());
        let mut stored = match timers.timeout(LOAD_TIMEOUT, load.as_mut()).await {
            Some(stored) => Some(stored),
            None => {
                slog::warn!(self.context.log(), "earlier crashes of targets are not known";
                    "waited_ms" => ms(LOAD_TIMEOUT));
                self.has_waited.set(true);
                Some(load.await)
            }
        };
        self.is_loaded.set(true);
        let eras = Rc::clone(self.fleet().eras());
        let mut restores = eras.restores();
        loop {
            timers.sleep(MAINTENANCE_INTERVAL).await;
            if eras.restores() != restores {
                // All instances know the evidence that the store has lost, and what has been refuted since
                // the copy. The first one to have rank 0 writes it once.
                restores = eras.restores();
                stored = None;
            }
            if self.peers().rank() == 0 {
                self.store(&mut stored).await;
            }
        }
    }

    /// Follows the ends of targets with interrupted responses, and removes old evidence.
    pub(super) async fn maintain(self: Rc<Self>) {
        let timers = *self.context.timers();
        loop {
            timers.sleep(MAINTENANCE_INTERVAL).await;
            self.client.close_idle(MAX_IDLE);
            let ended = {
                let fleet = self.fleet();
                let mut interruptions = self.interruptions.borrow_mut();
                interruptions.sweep(&fleet.state(), self.now())
            };
            for id in ended {
                self.on_target_ended(id, "its entry is gone or another one has its place");
            }
            self.change_evidence(|evidence, now| {
                evidence.expire(now);
                Vec::new()
            });
        }
    }

    /// Obtains the evidence from another instance or from the store. Returns what the store holds, as far as
    /// it is known.
    async fn load(&self) -> StoredEvidence {
        loop {
            if let Some((peer, evidence)) = self.peers().fetch_evidence().await {
                self.apply_stored(&evidence, &peer);
                return evidence.relative_to_last_crash();
            }
            match self.fleet().store().read_evidence().await {
                Ok(evidence) => {
                    self.apply_stored(&evidence, "store");
                    return evidence;
                }
                Err(error) => {
                    slog::warn!(self.context.log(), "cannot read the crashes of targets from the store";
                        "error" => %error);
                    self.context.timers().sleep(STORE_RETRY_DELAY).await;
                }
            }
        }
    }

    fn apply_stored(&self, stored: &StoredEvidence, source: &str) {
        let unreadable = Cell::new(0);
        self.change_evidence(|evidence, now| {
            unreadable.set(stored.apply(evidence, now));
            Vec::new()
        });
        slog::info!(self.context.log(), "earlier crashes of targets known"; "source" => source,
            "crashes" => stored.crashes.len(), "unreadable" => unreadable.get());
    }

    /// Writes the evidence to the store if that is not known to hold it.
    async fn store(&self, stored: &mut Option<StoredEvidence>) {
        let evidence =
            StoredEvidence::new(&self.evidence.borrow(), self.now()).relative_to_last_crash();
        if stored.as_ref() == Some(&evidence) {
            return;
        }
        let fleet = self.fleet();
        let restores = fleet.eras().restores();
        match fleet.store().write_evidence(evidence.clone()).await {
            // A write from before a restore may be lost.
            Ok(_) if fleet.eras().restores() == restores => *stored = Some(evidence),
            Ok(_) => {}
            Err(error) => {
                slog::warn!(self.context.log(), "cannot write the crashes of targets to the store";
                    "error" => %error);
                self.context.timers().sleep(STORE_RETRY_DELAY).await;
            }
        }
    }
}
