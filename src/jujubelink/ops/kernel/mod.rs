//! Event loop, plug-in registry, timer service and service table.
//!
//! A plug-in implements [`Plugin`] and registers itself with
//! `inventory::submit! { PluginEntry::new(|| Box::new(MyPlugin::default())) }`.

mod context;
mod notifier;
mod plugin;
mod shutdown;
mod timers;

pub use context::Context;
pub use notifier::Notifier;
pub use plugin::{DrainPhase, Plugin, PluginEntry, PluginScope, registered_plugins};
pub use shutdown::{Lifecycle, Shutdown};
pub use timers::{Interval, Timers};

use std::future::Future;

use anyhow::{Context as _, Result};

use crate::util::duration::ms;

/// Runs a future to completion on a new event loop on this thread.
pub fn run<F: Future>(future: F) -> Result<F::Output> {
    let runtime = compio::runtime::Runtime::new().context("create the event loop")?;
    Ok(runtime.block_on(future))
}

/// Registers and starts all plug-ins, waits for a shutdown request, and drains the plug-ins.
pub async fn run_plugins(context: Context) -> Result<()> {
    let plugins = registered_plugins(context.settings());
    for plugin in &plugins {
        plugin
            .register(&context)
            .with_context(|| format!("register plug-in {}", plugin.name()))?;
    }
    for plugin in &plugins {
        plugin
            .start(&context)
            .with_context(|| format!("start plug-in {}", plugin.name()))?;
    }
    slog::info!(context.log(), "instance started"; "plugins" => plugins.len(),
        "since_boot_ms" => ms(context.timers().since_boot()));
    context.shutdown().requested().await;
    drain(&context, &plugins).await;
    slog::info!(context.log(), "instance stopped");
    Ok(())
}

/// Runs the phases of the graceful shutdown. In each phase the plug-ins drain concurrently.
async fn drain(context: &Context, plugins: &[Box<dyn Plugin>]) {
    slog::info!(context.log(), "planned stop begins");
    for phase in DrainPhase::ALL {
        let drains = plugins.iter().map(|plugin| plugin.drain(context, phase));
        futures_util::future::join_all(drains).await;
    }
}
