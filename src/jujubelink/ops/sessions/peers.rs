//! Other instances as sessions and limits see them.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

use super::PeerRpcClient;
use crate::core::ids::{Incarnation, InstanceId, Timestamp};
use crate::core::lease::WitnessRef;
use crate::core::limit::Proximity;
use crate::ops::kernel::Context;
use crate::ops::services::{MemberService, MemberState};

/// Time between calls to a seed.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Time without an answer after which a seed is taken for dead.
const SEED_TIMEOUT: Duration = Duration::from_secs(4);

/// Another instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Peer address.
    pub instance: InstanceId,
    /// Run of the instance.
    pub incarnation: Incarnation,
    /// Failure domain.
    pub failure_domain: String,
    /// Region.
    pub region: String,
    /// Whether it answers, or did a moment ago.
    pub is_live: bool,
    /// Whether it takes new work: live, and neither suspect nor leaving.
    pub accepts_work: bool,
}

/// The members that the membership plug-in knows, or the seeds of the settings while it knows none.
pub struct Peers {
    context: Context,
    /// Seeds by address with the time of their last answer. Bounded by the settings.
    seeds: RefCell<BTreeMap<InstanceId, (Peer, Timestamp)>>,
}

impl Peers {
    /// No peers known yet.
    pub fn new(context: &Context) -> Self {
        Self {
            context: context.clone(),
            seeds: RefCell::default(),
        }
    }

    /// All known peers, also dead ones.
    pub fn all(&self) -> Vec<Peer> {
        let members = self.context.service::<dyn MemberService>().members();
        if members.is_empty() {
            return self.seed_peers();
        }
        members
            .into_iter()
            .map(|member| Peer {
                is_live: member.state != MemberState::Dead,
                accepts_work: member.state == MemberState::Alive,
                instance: member.instance,
                incarnation: member.incarnation,
                failure_domain: member.failure_domain,
                region: member.region,
            })
            .collect()
    }

    fn seed_peers(&self) -> Vec<Peer> {
        let now = self.context.timers().now();
        let seeds = self.seeds.borrow();
        seeds
            .values()
            .map(|(peer, answered_at)| {
                let is_live = now < *answered_at + SEED_TIMEOUT;
                Peer {
                    is_live,
                    accepts_work: is_live,
                    ..peer.clone()
                }
            })
            .collect()
    }

    /// Whether an instance is known to answer.
    pub fn is_live(&self, instance: &InstanceId) -> bool {
        let mut peers = self.all().into_iter();
        peers.any(|peer| peer.instance == *instance && peer.is_live)
    }

    /// Live peers as witnesses, with their failure domains.
    pub fn witness_candidates(&self) -> Vec<(WitnessRef, String)> {
        self.all()
            .into_iter()
            .filter(|peer| peer.accepts_work)
            .map(|peer| {
                let witness = WitnessRef {
                    instance: peer.instance,
                    incarnation: peer.incarnation,
                };
                (witness, peer.failure_domain)
            })
            .collect()
    }

    /// How near each known peer is.
    pub fn proximities(&self) -> BTreeMap<InstanceId, Proximity> {
        let local = &self.context.settings().instance;
        let of = |peer: &Peer| match () {
            () if peer.failure_domain == local.failure_domain => Proximity::SameDomain,
            () if peer.region == local.region => Proximity::SameRegion,
            () => Proximity::Other,
        };
        let peers = self.all();
        peers
            .iter()
            .map(|peer| (peer.instance.clone(), of(peer)))
            .collect()
    }

    /// Whether the settings name seeds, none of which has answered yet.
    pub fn is_waiting_for_seeds(&self) -> bool {
        self.seed_addresses().next().is_some() && self.all().is_empty()
    }

    /// Addresses of the seeds but for this instance's own, which all instances may have in their
    /// settings. An instance is no witness of its own session.
    fn seed_addresses(&self) -> impl Iterator<Item = InstanceId> {
        let local = &self.context.settings().instance;
        local
            .seeds
            .iter()
            .map(|seed| seed.to_string())
            .filter(|seed| *seed != local.peer_address.to_string())
            .map(InstanceId::from)
    }

    /// Calls the seeds while the membership plug-in knows no members.
    pub(super) async fn probe_seeds(&self, peer_rpc: &PeerRpcClient) {
        loop {
            let members = self.context.service::<dyn MemberService>().members();
            if members.is_empty() {
                let probes = self.seed_addresses().map(|seed| self.probe(peer_rpc, seed));
                futures_util::future::join_all(probes).await;
            }
            self.context.timers().sleep(PROBE_INTERVAL).await;
        }
    }

    async fn probe(&self, peer_rpc: &PeerRpcClient, instance: InstanceId) {
        let sent_at = self.context.timers().now();
        let Ok(reply) = peer_rpc.directory(&instance).await else {
            return;
        };
        let peer = Peer {
            instance: instance.clone(),
            incarnation: reply.incarnation,
            failure_domain: reply.failure_domain,
            region: reply.region,
            is_live: true,
            accepts_work: true,
        };
        self.seeds.borrow_mut().insert(instance, (peer, sent_at));
    }
}
