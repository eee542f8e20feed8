//! Registers the roll-out by version and starts its task.

use std::rc::Rc;

use anyhow::Result;

use super::Canary;
use super::orders::read_orders;
use crate::ops::kernel::{Context, Plugin, PluginEntry, PluginScope};

inventory::submit! {
    PluginEntry::new(|| Box::new(CanaryPlugin)).with_scope(PluginScope::FleetStore)
}

struct CanaryPlugin;

impl Plugin for CanaryPlugin {
    /// Plug-ins register in alphabetical order, and this one needs the services of `fleet` and `share`.
    fn name(&self) -> &'static str {
        "version_rollout"
    }

    fn register(&self, context: &Context) -> Result<()> {
        context.provide(Rc::new(Canary::new(context)));
        Ok(())
    }

    fn start(&self, context: &Context) -> Result<()> {
        let canary = context.service::<Canary>();
        compio::runtime::spawn(read_orders(canary)).detach();
        Ok(())
    }
}
