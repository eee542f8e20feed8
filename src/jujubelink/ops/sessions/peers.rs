//! Other instances, as used by sessions and limits.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

use super::PeerRpcClient;
use crate::core::ids::{Incarnation, InstanceId, Timestamp};
use crate::core::lease::WitnessRef;
use crate::core::limit::Proximity;
use crate::ops::kernel::Context;
use crate::ops::services::{MemberService, MemberState};

/// Interval between probes of a seed.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Time without a response after which a seed is considered dead.
const SEED_TIMEOUT: Duration = Duration::from_secs(4);

/// Another instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Peer address.
    pub instance: InstanceId,
    /// Incarnation of the instance's process.
    pub incarnation: Incarnation,
    /// Failure domain.
    pub failure_domain: String,
    /// Region.
    pub region: String,
    /// Whether it is not considered dead.
    pub is_live: bool,
    /// Whether it accepts new work: it is live and neither suspect nor leaving.
    pub accepts_work: bool,
}

/// Peers of this instance: the members of the membership plug-in, or the configured seeds while the
/// membership is empty.
pub struct Peers {
    context: Context,
    /// Seeds that have responded, by address, with the send time of the last answered probe.
    /// Bounded by the number of seeds in the settings.
    seeds: RefCell<BTreeMap<InstanceId, (Peer, Timestamp)>>,
}

impl Peers {
    /// Creates an empty set of peers.
    pub fn new(context: &Context) -> Self {
        Self {
            context: context.clone(),
            seeds: RefCell::default(),
        }
    }

    /// Returns all peers, including dead ones.
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

    /// Whether an instance is a live peer.
    pub fn is_live(&self, instance: &InstanceId) -> bool {
        let mut peers = self.all().into_iter();
        peers.any(|peer| peer.instance == *instance && peer.is_live)
    }

    /// Returns the peers that can serve as witnesses, with their failure domains.
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

    /// Returns the network proximity of each peer.
    pub fn proximities(&self) -> BTreeMap<InstanceId, Proximity> {
        let settings = &self.context.settings().instance;
        let of = |peer: &Peer| match () {
            () if peer.failure_domain == settings.failure_domain => Proximity::SameDomain,
            () if peer.region == settings.region => Proximity::SameRegion,
            () => Proximity::Other,
        };
        let peers = self.all();
        peers
            .iter()
            .map(|peer| (peer.instance.clone(), of(peer)))
            .collect()
    }

    /// Whether seeds are configured but none has responded yet.
    pub fn is_waiting_for_seeds(&self) -> bool {
        self.seed_addresses().next().is_some() && self.all().is_empty()
    }

    /// Returns the addresses of the seeds except this instance, which may be in the list because
    /// all instances can share the same settings. An instance must not be a witness of its own
    /// session.
    fn seed_addresses(&self) -> impl Iterator<Item = InstanceId> {
        let settings = &self.context.settings().instance;
        settings
            .seeds
            .iter()
            .map(|seed| seed.to_string())
            .filter(|seed| *seed != settings.peer_address.to_string())
            .map(InstanceId::from)
    }

    /// Probes the seeds while the membership is empty.
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
