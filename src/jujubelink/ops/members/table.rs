//! Failure detector and its socket, shared by the tasks of the plug-in.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;

use jujubelink_proto::datagram as proto;

use super::codec::{
    DatagramCodec, record_from_proto, record_to_proto, target_from_proto, target_to_proto,
};
use crate::core::ids::{Incarnation, InstanceId, TargetId, Timestamp};
use crate::core::membership::{ConfigSummary, Detector, Effect, Health, Identity, MemberEntry};
use crate::ops::kernel::Context;
use crate::ops::services::{Member, MemberService, MemberState};
use crate::util::net::Datagram;

/// Called with the configuration summary of a member.
pub type SummaryHandler = Rc<dyn Fn(&InstanceId, ConfigSummary)>;

/// Called to fetch the member list of an instance.
pub type MemberFetchHandler = Rc<dyn Fn(&InstanceId)>;

/// Member list of the fleet, maintained by a failure detector over datagrams.
pub struct MemberTable {
    context: Context,
    detector: RefCell<Detector>,
    codec: DatagramCodec,
    socket: RefCell<Option<Rc<Datagram>>>,
    leaving_targets: RefCell<Rc<BTreeSet<TargetId>>>,
    summary_handlers: RefCell<Vec<SummaryHandler>>,
    member_fetch_handler: RefCell<Option<MemberFetchHandler>>,
}

impl MemberTable {
    /// Creates a table with the seeds from the settings.
    pub fn new(context: &Context) -> Self {
        let settings = &context.settings().instance;
        let identity = Identity {
            instance: settings.peer_address.to_string().into(),
            incarnation: context.incarnation(),
            failure_domain: settings.failure_domain.as_str().into(),
            region: settings.region.as_str().into(),
        };
        let mut detector = Detector::new(identity, context.timers().now());
        detector.add_seeds(settings.seeds.iter().map(|seed| seed.to_string().into()));
        Self {
            context: context.clone(),
            detector: RefCell::new(detector),
            codec: DatagramCodec::new(&settings.cluster_key),
            socket: RefCell::default(),
            leaving_targets: RefCell::default(),
            summary_handlers: RefCell::default(),
            member_fetch_handler: RefCell::default(),
        }
    }

    /// Sets the configuration summary that this instance sends to its members.
    pub fn set_summary(&self, summary: ConfigSummary) {
        self.detector.borrow_mut().set_summary(summary);
    }

    /// Registers a handler that is called whenever a member sends its configuration summary.
    pub fn on_peer_summary(&self, handler: SummaryHandler) {
        self.summary_handlers.borrow_mut().push(handler);
    }

    /// Sets the handler that fetches the member list of an instance and passes it to
    /// [`MemberTable::import`].
    pub fn set_member_fetch_handler(&self, handler: MemberFetchHandler) {
        self.member_fetch_handler.replace(Some(handler));
    }

    /// Number of alive or suspect members, without this instance.
    pub fn live_count(&self) -> usize {
        self.detector.borrow().live_count()
    }

    /// When the last message from any member was received.
    pub fn last_received_at(&self) -> Option<Timestamp> {
        self.detector.borrow().last_received_at()
    }

    /// Exports the complete state, for an instance that joins.
    pub fn export(&self) -> (Vec<proto::MemberChange>, Vec<proto::TargetChange>) {
        let (members, targets) = self.detector.borrow().export();
        let members = members.iter().map(record_to_proto).collect();
        (members, targets.iter().map(target_to_proto).collect())
    }

    /// Merges the state exported by another instance.
    pub fn import(&self, members: Vec<proto::MemberChange>, targets: Vec<proto::TargetChange>) {
        let members = members.into_iter().filter_map(record_from_proto).collect();
        let targets = targets.into_iter().map(target_from_proto).collect();
        let now = self.context.timers().now();
        let effects = self.detector.borrow_mut().import(members, targets, now);
        self.apply(effects);
    }

    /// Replaces the seed addresses used to discover instances.
    pub(super) fn replace_seeds(&self, seeds: impl Iterator<Item = SocketAddr>) {
        let seeds = seeds.map(|seed| seed.to_string().into());
        self.detector.borrow_mut().replace_seeds(seeds);
    }

    /// Removes the state of targets that are not in the configuration.
    pub(super) fn retain_targets(&self, is_configured: impl Fn(&TargetId) -> bool) {
        self.detector.borrow_mut().retain_targets(is_configured);
        self.apply(vec![Effect::TargetsChanged]);
    }

    pub(super) fn set_socket(&self, socket: Rc<Datagram>) {
        self.socket.replace(Some(socket));
    }

    pub(super) fn tick(&self) {
        let now = self.context.timers().now();
        let effects = self.detector.borrow_mut().on_tick(now, &mut rand::rng());
        self.apply(effects);
    }

    pub(super) fn announce_departure(&self) {
        let effects = self
            .detector
            .borrow_mut()
            .announce_departure(&mut rand::rng());
        self.apply(effects);
    }

    /// Processes a received datagram.
    pub(super) fn receive(&self, bytes: &[u8], source: SocketAddr) {
        let local_id = self.self_id();
        let message = self.codec.decode(&local_id, bytes);
        // The response goes to the claimed sender, so the datagram has to come from that address.
        let message = message.filter(|message| *message.sender.instance == *source.to_string());
        let Some(message) = message else {
            return self
                .context
                .metrics()
                .count("members.rejected_datagrams", 1);
        };
        let now = self.context.timers().now();
        let effects = self
            .detector
            .borrow_mut()
            .on_message(message, now, &mut rand::rng());
        self.apply(effects);
    }

    fn apply(&self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send { to, message } => {
                    let bytes = self.codec.encode(&to, message);
                    self.send(&to, &bytes);
                }
                Effect::MemberChanged { record } => {
                    slog::debug!(self.context.log(), "member changed";
                        "member" => &*record.instance,
                        "health" => ?record.health,
                        "leaving" => record.is_leaving);
                    self.context.metrics().count("members.changes", 1);
                }
                Effect::SummaryReceived { instance, summary } => {
                    let handlers = self.summary_handlers.borrow().clone();
                    for handler in handlers {
                        handler(&instance, summary);
                    }
                }
                Effect::FetchMembers { from } => {
                    let handler = self.member_fetch_handler.borrow().clone();
                    if let Some(handler) = handler {
                        handler(&from);
                    }
                }
                Effect::TargetsChanged => {
                    let leaving = self.detector.borrow().leaving_targets();
                    self.leaving_targets.replace(Rc::new(leaving));
                }
            }
        }
    }

    fn send(&self, to: &str, bytes: &[u8]) {
        let (Ok(address), Some(socket)) = (to.parse(), self.socket.borrow().clone()) else {
            return;
        };
        if socket.send_to(bytes, address).is_err() {
            // The failure detector notices an unreachable member by its missing acknowledgement.
            self.context.metrics().count("members.send_errors", 1);
        }
    }
}

impl MemberService for MemberTable {
    fn self_id(&self) -> InstanceId {
        self.detector.borrow().local().instance.clone()
    }

    fn self_incarnation(&self) -> Incarnation {
        self.context.incarnation()
    }

    fn members(&self) -> Vec<Member> {
        self.detector.borrow().members().map(to_member).collect()
    }

    fn leave(&self) {
        let effects = self
            .detector
            .borrow_mut()
            .announce_leaving(&mut rand::rng());
        self.apply(effects);
    }

    fn leaving_targets(&self) -> Rc<BTreeSet<TargetId>> {
        self.leaving_targets.borrow().clone()
    }

    fn set_target_leaving(&self, target: &TargetId, is_leaving: bool) {
        let now = self.context.timers().now();
        let effects = self
            .detector
            .borrow_mut()
            .set_target_leaving(target, is_leaving, now);
        self.apply(effects);
    }
}

fn to_member(entry: &MemberEntry) -> Member {
    let record = &entry.record;
    let state = match record.health {
        Health::Dead => MemberState::Dead,
        _ if record.is_leaving => MemberState::Leaving,
        Health::Suspect => MemberState::Suspect,
        Health::Alive => MemberState::Alive,
    };
    Member {
        instance: record.instance.clone(),
        incarnation: record.incarnation,
        state,
        failure_domain: record.failure_domain.to_string(),
        region: record.region.to_string(),
        config_version: entry.summary.config_version,
    }
}
