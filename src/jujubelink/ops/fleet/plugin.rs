//! Registers the services of the fleet view and starts its tasks.

use std::rc::Rc;

use anyhow::{Context as _, Result};

use super::state::FleetConfigService;
use super::{Fleet, sync};
use crate::ops::kernel::{Context, Plugin, PluginEntry, PluginScope};
use crate::ops::services::ConfigService;
use crate::ops::store::{SharedStore, StoreEras};
use crate::platform::ObjectStoreClient;

inventory::submit! {
    PluginEntry::new(|| Box::new(FleetPlugin)).with_scope(PluginScope::FleetStore)
}

struct FleetPlugin;

impl Plugin for FleetPlugin {
    fn name(&self) -> &'static str {
        "fleet"
    }

    fn register(&self, context: &Context) -> Result<()> {
        let settings = context.settings();
        let fleet_settings = settings.fleet.clone().context("no fleet is configured")?;
        let eras = Rc::new(StoreEras::new(context));
        let client = ObjectStoreClient::new(settings.platform.address, Rc::clone(&eras));
        let store: SharedStore = Rc::new(client);
        let fleet = Rc::new(Fleet::new(context, fleet_settings, store, eras));
        let service: Rc<dyn ConfigService> = Rc::new(FleetConfigService(Rc::clone(&fleet)));
        context.provide(fleet);
        context.provide(service);
        Ok(())
    }

    fn start(&self, context: &Context) -> Result<()> {
        let fleet = context.service::<Fleet>();
        compio::runtime::spawn(sync::sync_targets(context.clone(), Rc::clone(&fleet))).detach();
        compio::runtime::spawn(sync::refresh_config_and_weights(context.clone(), fleet)).detach();
        Ok(())
    }
}
