//! The rollout plug-in.

use std::rc::Rc;

use anyhow::Result;

use super::coordinator::Coordinator;
use crate::ops::kernel::{Context, Plugin, PluginEntry, PluginScope};

inventory::submit! {
    PluginEntry::new(|| Box::new(RolloutPlugin)).with_scope(PluginScope::FleetStore)
}

struct RolloutPlugin;

impl Plugin for RolloutPlugin {
    fn name(&self) -> &'static str {
        "rollout"
    }

    fn start(&self, context: &Context) -> Result<()> {
        let coordinator = Rc::new(Coordinator::new(context));
        compio::runtime::spawn(coordinator.run()).detach();
        Ok(())
    }
}
