//! Runs the server process.

use anyhow::{Context as _, Result};
use signal_hook::consts::{SIGINT, SIGTERM};
use slog::Level;
use std::path::PathBuf;

use crate::ops::kernel::{self, Context};
use crate::ops::settings::ProcessSettings;
use crate::ops::telemetry::{Metrics, new_logger};
use crate::util::allocator::map_large_buffers;

/// Runs an instance until its graceful shutdown is complete. `paths` are the settings files, which
/// are reloaded on SIGHUP and when they change.
pub fn serve(settings: ProcessSettings, paths: Vec<PathBuf>) -> Result<()> {
    let has_memory_limit = settings.machine.memory_mb.is_some();
    let context = new_context(settings)?;
    if has_memory_limit && !map_large_buffers() {
        slog::info!(
            context.log(),
            "the allocator cannot map large buffers on their own"
        );
    }
    kernel::run(async {
        stop_on_signal(&context)?;
        reload::watch(&context, paths)?;
        kernel::run_plugins(context).await
    })?
}

/// Creates a context with the logger and the metrics that the settings configure.
pub fn new_context(settings: ProcessSettings) -> Result<Context> {
    let level: Level = settings
        .log
        .level
        .parse()
        .ok()
        .with_context(|| format!("unknown log level {:?}", settings.log.level))?;
    let metrics = match settings.metrics.statsd_address {
        Some(address) => Metrics::new(address)?,
        None if settings.metrics.listen_address.is_some() => Metrics::in_memory(),
        None => Metrics::disabled(),
    };
    let log = new_logger(level).new(slog::o!(
        "instance" => settings.instance.peer_address.to_string()
    ));
    Ok(Context::new(settings, log, metrics))
}

/// Requests a graceful shutdown on SIGTERM and SIGINT.
fn stop_on_signal(context: &Context) -> Result<()> {
    let mut signals =
        signal::Signals::new(&[SIGTERM, SIGINT]).context("install signal handlers")?;
    let context = context.clone();
    compio::runtime::spawn(async move {
        while signals.next().await.is_ok() {
            context.request_stop();
        }
    })
    .detach();
    Ok(())
}

mod reload {
    //! Reloads the settings while the process runs.

    use std::path::PathBuf;
    use std::time::Duration;

    use anyhow::{Context as _, Result};
    use futures_util::FutureExt;
    use signal_hook::consts::SIGHUP;

    use super::signal::Signals;
    use crate::ops::fleet::Fleet;
    use crate::ops::kernel::Context;
    use crate::ops::settings::{ProcessSettings, SettingsSource, load_process, read_sources};

    /// Interval at which the files are checked for changes that were not signalled.
    const POLL_INTERVAL: Duration = Duration::from_secs(2);

    /// Reloads the settings on SIGHUP and when a file has changed.
    pub(super) fn watch(context: &Context, paths: Vec<PathBuf>) -> Result<()> {
        let mut signals = Signals::new(&[SIGHUP]).context("install SIGHUP handler")?;
        let context = context.clone();
        compio::runtime::spawn(async move {
            let mut current = read_sources(&paths).ok();
            loop {
                let timers = *context.timers();
                let is_signalled = futures_util::select! {
                    signal = signals.next().fuse() => signal.is_ok(),
                    () = timers.sleep(POLL_INTERVAL).fuse() => false,
                };
                match read_sources(&paths) {
                    Ok(sources) if is_signalled || current.as_ref() != Some(&sources) => {
                        reload(&context, &sources);
                        current = Some(sources);
                    }
                    Ok(_) => {}
                    Err(error) => {
                        slog::warn!(context.log(), "cannot reload the settings";
                            "error" => format!("{error:#}"));
                    }
                }
            }
        })
        .detach();
        Ok(())
    }

    /// Applies changed settings. Only those of the fleet take effect without a restart.
    fn reload(context: &Context, sources: &[SettingsSource]) {
        let loaded = load_process(sources);
        let Some(settings) = loaded.settings else {
            for finding in &loaded.findings {
                slog::warn!(context.log(), "changed settings are invalid; keeping the current ones";
                    "finding" => finding.to_string());
            }
            return;
        };
        let is_restart_needed = without_fleet(&settings) != without_fleet(context.settings());
        slog::info!(context.log(), "settings reloaded";
            "waits_for_restart" => is_restart_needed);
        if let (Some(fleet), Some(changed)) = (context.find_service::<Fleet>(), settings.fleet) {
            fleet.set_settings(changed);
        }
    }

    /// Returns the settings that take effect only after a restart.
    fn without_fleet(settings: &ProcessSettings) -> ProcessSettings {
        ProcessSettings {
            fleet: None,
            ..settings.clone()
        }
    }
}

mod signal {
    //! Delivers signals through a socket pair, so that no extra thread is needed.

    use std::future::poll_fn;
    use std::io::{self, Read};
    use std::os::unix::net::UnixStream;

    use compio::runtime::fd::PollFd;

    /// Receives a set of signals.
    pub(super) struct Signals {
        receiver: PollFd<UnixStream>,
    }

    impl Signals {
        pub(super) fn new(numbers: &[i32]) -> io::Result<Self> {
            let (receiver, sender) = UnixStream::pair()?;
            receiver.set_nonblocking(true)?;
            for number in numbers {
                signal_hook::low_level::pipe::register(*number, sender.try_clone()?)?;
            }
            Ok(Self {
                receiver: PollFd::new(receiver)?,
            })
        }

        /// Waits for the next signal.
        pub(super) async fn next(&mut self) -> io::Result<()> {
            let mut byte = [0];
            poll_fn(|cx| {
                self.receiver
                    .poll_read_with(cx, |mut stream| stream.read(&mut byte))
            })
            .await
            .map(drop)
        }
    }
}
