//! Registers the services of the state exchange and starts its tasks.

use std::rc::Rc;

use anyhow::{Context as _, Result};

use super::limits::SharedLimits;
use super::{Peers, exchange};
use crate::ops::fleet::Fleet;
use crate::ops::kernel::{Context, Plugin, PluginEntry, PluginScope};
use crate::ops::services::{GossipService, LimitService, MemberService};
use crate::ops::store::InstanceRecord;
use crate::util::net::{Datagram, Listener};

inventory::submit! {
    PluginEntry::new(|| Box::new(SharePlugin)).with_scope(PluginScope::FleetStore)
}

struct SharePlugin;

impl Plugin for SharePlugin {
    fn name(&self) -> &'static str {
        "share"
    }

    fn register(&self, context: &Context) -> Result<()> {
        // Plug-ins register in alphabetical order, so the fleet plug-in has already provided its
        // service.
        let peers = Rc::new(Peers::new(context, context.service::<Fleet>()));
        let members: Rc<dyn MemberService> = peers.clone();
        let gossip: Rc<dyn GossipService> = peers.clone();
        let limits: Rc<dyn LimitService> = Rc::new(SharedLimits(Rc::clone(&peers)));
        context.provide(members);
        context.provide(gossip);
        context.provide(limits);
        context.provide(peers);
        Ok(())
    }

    fn start(&self, context: &Context) -> Result<()> {
        let address = context.settings().instance.peer_address;
        let socket = Datagram::bind(address)
            .with_context(|| format!("bind the peer datagram socket to {address}"))?;
        let listener = Listener::bind(address)
            .with_context(|| format!("listen for peer connections on {address}"))?;
        let socket = Rc::new(socket);
        let peers = context.service::<Peers>();
        let local_record = InstanceRecord {
            name: peers.name().to_string(),
            address,
        };
        spawn(exchange::receive(Rc::clone(&peers), Rc::clone(&socket)));
        spawn(exchange::send(Rc::clone(&peers), socket));
        spawn(exchange::maintain_registration(
            Rc::clone(&peers),
            local_record,
        ));
        spawn(exchange::sync_limits(Rc::clone(&peers)));
        spawn(exchange::serve_peers(peers, listener));
        Ok(())
    }
}

fn spawn(task: impl Future<Output = ()> + 'static) {
    compio::runtime::spawn(task).detach();
}
