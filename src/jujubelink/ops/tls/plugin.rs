//! Plug-in that provides TLS for client connections, if the settings enable it.

use std::rc::Rc;
use std::time::Duration;

use anyhow::Result;

use super::ServerTls;
use crate::ops::kernel::{Context, Plugin, PluginEntry};

/// Interval of the checks for changed files.
const CHECK_PERIOD: Duration = Duration::from_secs(2);

inventory::submit! { PluginEntry::new(|| Box::new(TlsPlugin)) }

struct TlsPlugin;

impl Plugin for TlsPlugin {
    fn name(&self) -> &'static str {
        "tls"
    }

    fn register(&self, context: &Context) -> Result<()> {
        if let Some(settings) = &context.settings().listen.tls {
            context.provide(Rc::new(ServerTls::new(context, settings)?));
        }
        Ok(())
    }

    fn start(&self, context: &Context) -> Result<()> {
        let Some(tls) = context.find_service::<ServerTls>() else {
            return Ok(());
        };
        let mut ticks = context.timers().interval(CHECK_PERIOD);
        compio::runtime::spawn(async move {
            loop {
                ticks.tick().await;
                tls.reload_if_changed();
            }
        })
        .detach();
        Ok(())
    }
}
