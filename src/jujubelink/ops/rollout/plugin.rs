//! Registration.

use std::rc::Rc;

use anyhow::Result;

use super::run::Giver;
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
        let giver = Rc::new(Giver::new(context));
        compio::runtime::spawn(giver.run()).detach();
        Ok(())
    }
}
