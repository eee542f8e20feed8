//! The plug-in that keeps the configuration in force.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use anyhow::Result;
use jujubelink_proto::spread::spread_server;

use super::calls;
use super::gossip::{self, GossipState};
use super::push;
use super::server::{Parts, SpreadServer};
use super::start;
use super::state::ConfigState;
use super::watch;
use super::withdrawals;
use crate::core::ids::InstanceId;
use crate::core::spread::{Propagation, SpreadEffect};
use crate::ops::kernel::{Context, Plugin, PluginEntry, PluginScope};
use crate::ops::members::MemberTable;
use crate::ops::peer::PeerServices;
use crate::ops::services::{ConfigService, GossipService};

inventory::submit! {
    PluginEntry::new(|| Box::new(SpreadPlugin)).with_scope(PluginScope::OwnState)
}

struct SpreadPlugin;

impl Plugin for SpreadPlugin {
    /// Sorts before plug-ins that take the platform's client in `register`.
    fn name(&self) -> &'static str {
        "config"
    }

    fn register(&self, context: &Context) -> Result<()> {
        let state = ConfigState::new(context);
        let service: Rc<dyn ConfigService> = Rc::new(state.clone());
        context.provide(service);
        context.provide(Rc::new(state));
        let gossip = Rc::new(GossipState::new(context));
        let service: Rc<dyn GossipService> = gossip.clone();
        context.provide(service);
        context.provide(gossip);
        Ok(())
    }

    fn start(&self, context: &Context) -> Result<()> {
        let parts = Rc::new(Parts {
            context: context.clone(),
            state: (*context.service::<ConfigState>()).clone(),
            gossip: context.service::<GossipState>(),
            members: context.service::<MemberTable>(),
        });
        let server = SpreadServer::new(Rc::clone(&parts));
        let server = spread_server::SpreadServer::new(server)
            .max_decoding_message_size(calls::MAX_MESSAGE_BYTES);
        context.service::<PeerServices>().add(server);
        listen_to_members(&parts);
        spawn(push::push_news(Rc::clone(&parts)));
        spawn(gossip::flush(Rc::clone(&parts)));
        spawn(gossip::maintain(Rc::clone(&parts)));
        spawn(withdrawals::write_revocations(Rc::clone(&parts)));
        spawn(async move {
            start::first_configuration(Rc::clone(&parts)).await;
            watch::follow_platform(parts).await;
        });
        Ok(())
    }
}

fn spawn(task: impl Future<Output = ()> + 'static) {
    compio::runtime::spawn(task).detach();
}

/// Acts on what members say about their configuration.
fn listen_to_members(parts: &Rc<Parts>) {
    let propagation = Rc::new(RefCell::new(Propagation::default()));
    let handler_parts = Rc::downgrade(parts);
    let fetch_parts = Rc::downgrade(parts);
    parts.members.set_member_fetch_handler(Rc::new(move |from| {
        if let Some(parts) = fetch_parts.upgrade() {
            spawn(fetch_members(parts, from.clone()));
        }
    }));
    parts.members.on_peer_summary(Rc::new(move |from, heard| {
        let Some(parts) = handler_parts.upgrade() else {
            return;
        };
        let now = parts.context.timers().now();
        let effect = {
            let mut propagation = propagation.borrow_mut();
            propagation.set_own(parts.state.summary());
            propagation.on_heard(from, heard, now)
        };
        if let Some(effect) = effect {
            spawn(carry_out(parts, Rc::clone(&propagation), effect));
        }
    }));
}

async fn fetch_members(parts: Rc<Parts>, from: InstanceId) {
    if let Ok(address) = from.parse::<SocketAddr>() {
        let result = calls::fetch_members(&parts.context, &parts.members, address).await;
        push::note_failure(&parts, "fetch of the member list failed", result);
    }
}

async fn carry_out(parts: Rc<Parts>, propagation: Rc<RefCell<Propagation>>, effect: SpreadEffect) {
    match effect {
        SpreadEffect::Fetch { from } => {
            if let Ok(address) = from.parse::<SocketAddr>() {
                let result =
                    calls::fetch_and_adopt(&parts.context, &parts.state, &parts.gossip, address);
                push::note_failure(&parts, "fetch of a configuration failed", result.await);
            }
            propagation.borrow_mut().on_fetch_ended();
        }
        SpreadEffect::ExchangeRevocations { with } => {
            if let Ok(address) = with.parse::<SocketAddr>() {
                let result = calls::exchange_revocations(&parts.context, &parts.state, address);
                push::note_failure(&parts, "exchange of revocations failed", result.await);
            }
        }
    }
}
