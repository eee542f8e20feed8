//! The plug-in for KV cache stores.

use std::rc::Rc;

use anyhow::Result;

use super::CacheStores;
use crate::ops::fleet::Fleet;
use crate::ops::kernel::{Context, Plugin, PluginEntry, PluginScope};

inventory::submit! {
    PluginEntry::new(|| Box::new(CacheStoresPlugin)).with_scope(PluginScope::FleetStore)
}

struct CacheStoresPlugin;

impl Plugin for CacheStoresPlugin {
    fn name(&self) -> &'static str {
        "kvcache"
    }

    fn register(&self, context: &Context) -> Result<()> {
        // Plug-ins register in alphabetical order, so the fleet plug-in has already provided its
        // service.
        let stores = CacheStores::new(context, context.service::<Fleet>());
        context.provide(Rc::new(stores));
        Ok(())
    }

    fn start(&self, context: &Context) -> Result<()> {
        let stores = context.service::<CacheStores>();
        compio::runtime::spawn(stores.follow_stores()).detach();
        Ok(())
    }
}
