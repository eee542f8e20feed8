//! The claims plug-in.

use std::rc::Rc;

use anyhow::Result;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;

use super::service::SharedClaims;
use super::sweep::SWEEP_LEASE;
use super::{Claims, sweep};
use crate::ops::kernel::{Context, DrainPhase, Plugin, PluginEntry, PluginScope};
use crate::ops::services::{ClaimService, LeaseService};

inventory::submit! {
    PluginEntry::new(|| Box::new(ClaimPlugin)).with_scope(PluginScope::Standalone)
}

struct ClaimPlugin;

impl Plugin for ClaimPlugin {
    fn name(&self) -> &'static str {
        "claims"
    }

    fn register(&self, context: &Context) -> Result<()> {
        let claims = Rc::new(Claims::new(context));
        let service: Rc<dyn ClaimService> = Rc::new(SharedClaims(Rc::clone(&claims)));
        context.provide(claims);
        context.provide(service);
        Ok(())
    }

    fn start(&self, context: &Context) -> Result<()> {
        compio::runtime::spawn(sweep::run(context.service::<Claims>())).detach();
        Ok(())
    }

    fn drain(&self, context: &Context, phase: DrainPhase) -> LocalBoxFuture<'static, ()> {
        let leases = context.find_service::<dyn LeaseService>();
        async move {
            let Some(leases) = leases.filter(|_| phase == DrainPhase::HandOver) else {
                return;
            };
            if let Some(lease) = leases.held(SWEEP_LEASE) {
                leases.release(lease).await;
            }
        }
        .boxed_local()
    }
}
