//! Plug-ins and their registration.

use anyhow::Result;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;

use super::Context;
use crate::ops::settings::ProcessSettings;

/// Steps of a planned stop, in order. Each begins when all plug-ins have ended the one before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DrainPhase {
    /// Readiness is off and members know that the instance leaves; the listener still accepts until
    /// the balancer has noticed.
    Announce,
    /// Requests under way run to their end.
    FinishRequests,
    /// Leases, slots and other holdings are handed over.
    HandOver,
    /// Connections are closed and buffers written.
    Close,
}

impl DrainPhase {
    /// All steps in order.
    pub const ALL: [Self; 4] = [
        Self::Announce,
        Self::FinishRequests,
        Self::HandOver,
        Self::Close,
    ];
}

/// A part of the serving process.
pub trait Plugin {
    /// Name in logs and errors.
    fn name(&self) -> &'static str;

    /// Puts services into the service table. Other plug-ins' services may not exist yet.
    fn register(&self, _context: &Context) -> Result<()> {
        Ok(())
    }

    /// Starts tasks and listeners. All services are in the table.
    fn start(&self, _context: &Context) -> Result<()> {
        Ok(())
    }

    /// Takes part in a planned stop.
    fn drain(&self, _context: &Context, _phase: DrainPhase) -> LocalBoxFuture<'static, ()> {
        async {}.boxed_local()
    }
}

/// Deployments that a plug-in is part of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PluginScope {
    /// All deployments.
    All,
    /// Deployments in which this program keeps its own configuration and leases in the object API.
    Standalone,
    /// Deployments in which the platform's store holds configuration, targets and named weights.
    FleetStore,
}

impl PluginScope {
    fn includes(self, settings: &ProcessSettings) -> bool {
        match self {
            Self::All => true,
            Self::Standalone => settings.fleet.is_none(),
            Self::FleetStore => settings.fleet.is_some(),
        }
    }
}

/// Registration of a plug-in.
pub struct PluginEntry {
    create: fn() -> Box<dyn Plugin>,
    scope: PluginScope,
}

impl PluginEntry {
    /// An entry whose plug-in is made by `create`.
    pub const fn new(create: fn() -> Box<dyn Plugin>) -> Self {
        Self {
            create,
            scope: PluginScope::All,
        }
    }

    /// Limits the plug-in to some deployments.
    pub const fn with_scope(mut self, scope: PluginScope) -> Self {
        self.scope = scope;
        self
    }
}

inventory::collect!(PluginEntry);

/// One plug-in of each kind that is registered for the deployment, in order of name.
pub fn registered_plugins(settings: &ProcessSettings) -> Vec<Box<dyn Plugin>> {
    let mut plugins: Vec<_> = inventory::iter::<PluginEntry>
        .into_iter()
        .filter(|entry| entry.scope.includes(settings))
        .map(|entry| (entry.create)())
        .collect();
    // The order in which the linker places entries differs between builds.
    plugins.sort_by_key(|plugin| plugin.name());
    plugins
}
