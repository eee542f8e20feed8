//! Plug-ins and their registration.

use anyhow::Result;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;

use super::Context;
use crate::ops::settings::ProcessSettings;

/// Phases of the graceful shutdown, in order. Each starts once all plug-ins have finished the previous
/// one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DrainPhase {
    /// The readiness check fails and the other members are notified that the instance leaves. The
    /// listener still accepts connections until the load balancer has reacted.
    Announce,
    /// Requests in progress are finished.
    FinishRequests,
    /// Leases, slots and other resources are handed over to other instances.
    HandOver,
    /// Connections are closed and buffers are flushed.
    Close,
}

impl DrainPhase {
    /// All phases in order.
    pub const ALL: [Self; 4] = [
        Self::Announce,
        Self::FinishRequests,
        Self::HandOver,
        Self::Close,
    ];
}

/// A component of the server process.
pub trait Plugin {
    /// Returns the name, which is used in logs and errors and determines the order of registration.
    fn name(&self) -> &'static str;

    /// Adds services to the service table. Services of other plug-ins may not exist yet.
    fn register(&self, _context: &Context) -> Result<()> {
        Ok(())
    }

    /// Starts tasks and listeners. All services are in the table by now.
    fn start(&self, _context: &Context) -> Result<()> {
        Ok(())
    }

    /// Performs the plug-in's part of one phase of the graceful shutdown.
    fn drain(&self, _context: &Context, _phase: DrainPhase) -> LocalBoxFuture<'static, ()> {
        async {}.boxed_local()
    }
}

/// Kind of deployments in which a plug-in runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PluginScope {
    /// All deployments.
    All,
    /// Deployments in which this program stores its own configuration and leases in the object API.
    Standalone,
    /// Deployments in which the platform's store contains the configuration, the targets and the
    /// announced weights.
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
    /// Creates an entry for the plug-in that `create` returns.
    pub const fn new(create: fn() -> Box<dyn Plugin>) -> Self {
        Self {
            create,
            scope: PluginScope::All,
        }
    }

    /// Restricts the plug-in to one kind of deployments.
    pub const fn with_scope(mut self, scope: PluginScope) -> Self {
        self.scope = scope;
        self
    }
}

inventory::collect!(PluginEntry);

/// Creates the plug-ins that are registered for this kind of deployment, sorted by name.
pub fn registered_plugins(settings: &ProcessSettings) -> Vec<Box<dyn Plugin>> {
    let mut plugins: Vec<_> = inventory::iter::<PluginEntry>
        .into_iter()
        .filter(|entry| entry.scope.includes(settings))
        .map(|entry| (entry.create)())
        .collect();
    // Sorted, because the linker's order of the entries differs between builds.
    plugins.sort_by_key(|plugin| plugin.name());
    plugins
}
