//! Registers the quarantine and starts its tasks.

use std::rc::Rc;

use anyhow::Result;

use super::Quarantine;
use crate::ops::kernel::{Context, Plugin, PluginEntry, PluginScope};

inventory::submit! {
    PluginEntry::new(|| Box::new(QuarantinePlugin)).with_scope(PluginScope::FleetStore)
}

struct QuarantinePlugin;

impl Plugin for QuarantinePlugin {
    fn name(&self) -> &'static str {
        "quarantine"
    }

    fn register(&self, context: &Context) -> Result<()> {
        context.provide(Rc::new(Quarantine::new(context)));
        Ok(())
    }

    fn start(&self, context: &Context) -> Result<()> {
        let quarantine = context.service::<Quarantine>();
        compio::runtime::spawn(Rc::clone(&quarantine).keep_stored()).detach();
        compio::runtime::spawn(quarantine.maintain()).detach();
        Ok(())
    }
}
