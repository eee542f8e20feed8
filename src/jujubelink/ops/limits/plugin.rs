//! The limits plug-in.

use std::rc::Rc;

use anyhow::Result;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use jujubelink_proto::limits::limits_server::LimitsServer as GeneratedServer;

use super::charging::Charging;
use super::server::LimitsServer;
use super::{Limits, slots};
use crate::ops::kernel::{Context, DrainPhase, Plugin, PluginEntry, PluginScope};
use crate::ops::peer::PeerServices;
use crate::ops::services::LimitService;

inventory::submit! {
    PluginEntry::new(|| Box::new(LimitPlugin)).with_scope(PluginScope::Standalone)
}

struct LimitPlugin;

impl Plugin for LimitPlugin {
    fn name(&self) -> &'static str {
        "limits"
    }

    fn register(&self, context: &Context) -> Result<()> {
        let limits = Rc::new(Limits::new(context));
        let service: Rc<dyn LimitService> = Rc::new(Charging(Rc::clone(&limits)));
        context.provide(limits);
        context.provide(service);
        Ok(())
    }

    fn start(&self, context: &Context) -> Result<()> {
        let limits = context.service::<Limits>();
        let server = LimitsServer::new(Rc::clone(&limits));
        context
            .service::<PeerServices>()
            .add(GeneratedServer::new(server));
        compio::runtime::spawn(slots::run(Rc::clone(&limits))).detach();
        compio::runtime::spawn(Rc::clone(&limits).maintain_directory()).detach();
        Ok(())
    }

    fn drain(&self, context: &Context, phase: DrainPhase) -> LocalBoxFuture<'static, ()> {
        let limits = context.service::<Limits>();
        async move {
            if phase == DrainPhase::HandOver {
                limits.stop().await;
            }
        }
        .boxed_local()
    }
}
