//! Plug-in that keeps the configuration up to date and starts the propagation tasks.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use anyhow::Result;
use jujubelink_proto::spread::spread_server;

use super::bootstrap;
use super::calls;
use super::gossip::{self, GossipState};
use super::push;
use super::revocation_writer;
use super::server::{Components, SpreadServer};
use super::state::ConfigState;
use super::watch;
use crate::core::ids::InstanceId;
use crate::core::spread::{Propagation, SpreadEffect};
use crate::ops::kernel::{Context, Plugin, PluginEntry, PluginScope};
use crate::ops::members::MemberTable;
use crate::ops::peer::PeerServices;
use crate::ops::services::{ConfigService, GossipService};

inventory::submit! {
    PluginEntry::new(|| Box::new(SpreadPlugin)).with_scope(PluginScope::Standalone)
}

struct SpreadPlugin;

impl Plugin for SpreadPlugin {
    /// The name sorts before the plug-ins that request the platform client in `register`.
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
        let components = Rc::new(Components {
            context: context.clone(),
            state: (*context.service::<ConfigState>()).clone(),
            gossip: context.service::<GossipState>(),
            members: context.service::<MemberTable>(),
        });
        let server = SpreadServer::new(Rc::clone(&components));
        let server = spread_server::SpreadServer::new(server)
            .max_decoding_message_size(calls::MAX_MESSAGE_BYTES);
        context.service::<PeerServices>().add(server);
        register_member_handlers(&components);
        spawn(push::push_updates(Rc::clone(&components)));
        spawn(gossip::flush(Rc::clone(&components)));
        spawn(gossip::maintain(Rc::clone(&components)));
        spawn(revocation_writer::write_revocations(Rc::clone(&components)));
        spawn(async move {
            bootstrap::load_initial_config(Rc::clone(&components)).await;
            watch::sync_with_platform(components).await;
        });
        Ok(())
    }
}

fn spawn(task: impl Future<Output = ()> + 'static) {
    compio::runtime::spawn(task).detach();
}

/// Registers the handlers for configuration summaries and member list fetches.
fn register_member_handlers(components: &Rc<Components>) {
    let propagation = Rc::new(RefCell::new(Propagation::default()));
    let summary_components = Rc::downgrade(components);
    let fetch_components = Rc::downgrade(components);
    components
        .members
        .set_member_fetch_handler(Rc::new(move |from| {
            if let Some(components) = fetch_components.upgrade() {
                spawn(fetch_members(components, from.clone()));
            }
        }));
    components
        .members
        .on_peer_summary(Rc::new(move |from, summary| {
            let Some(components) = summary_components.upgrade() else {
                return;
            };
            let now = components.context.timers().now();
            let effect = {
                let mut propagation = propagation.borrow_mut();
                propagation.set_local(components.state.summary());
                propagation.on_summary(from, summary, now)
            };
            if let Some(effect) = effect {
                spawn(execute(components, Rc::clone(&propagation), effect));
            }
        }));
}

async fn fetch_members(components: Rc<Components>, from: InstanceId) {
    if let Ok(address) = from.parse::<SocketAddr>() {
        let result = calls::fetch_members(&components.context, &components.members, address).await;
        push::record_failure(&components, "fetch of the member list failed", result);
    }
}

async fn execute(
    components: Rc<Components>,
    propagation: Rc<RefCell<Propagation>>,
    effect: SpreadEffect,
) {
    match effect {
        SpreadEffect::Fetch { from } => {
            if let Ok(address) = from.parse::<SocketAddr>() {
                let result = calls::fetch_and_adopt(
                    &components.context,
                    &components.state,
                    &components.gossip,
                    address,
                );
                push::record_failure(&components, "fetch of a configuration failed", result.await);
            }
            propagation.borrow_mut().on_fetch_ended();
        }
        SpreadEffect::ExchangeRevocations { with } => {
            if let Ok(address) = with.parse::<SocketAddr>() {
                let result =
                    calls::exchange_revocations(&components.context, &components.state, address);
                push::record_failure(&components, "exchange of revocations failed", result.await);
            }
        }
    }
}
