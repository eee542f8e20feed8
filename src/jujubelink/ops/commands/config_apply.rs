//! `config apply`: applies a configuration from files.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use http::Method;
use serde_json::{Value, json};

use super::files::{findings_text, load_fleet_files};
use super::{AdminClient, CommandError, ExitStatus, Output};

/// Interval between polls of the configuration versions of the instances.
const PROGRESS_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Options of `config apply`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ApplyOptions {
    /// Base file and overlays.
    pub files: Vec<PathBuf>,
    /// Version that the current configuration must have. If absent, the version that is current when
    /// the files are loaded is used.
    pub if_version: Option<u64>,
    /// Maximum time to wait until the new version is active on every live instance.
    pub timeout: Duration,
}

/// Applies a configuration from files and waits until it is active. Calls `report` with lines that
/// show the progress.
pub async fn config_apply(
    client: &AdminClient,
    options: &ApplyOptions,
    report: impl FnMut(&str),
) -> Result<Output, CommandError> {
    let loaded = load_fleet_files(client, &options.files).await?;
    let base_version = options.if_version.unwrap_or(loaded.base_version);
    let path = format!("/v1/config?if_version={base_version}");
    let body = json!({ "config": loaded.config });
    let applied = client.change(Method::PUT, &path, Some(&body)).await?;
    let output = wait_until_active(client, &applied, options.timeout, report).await?;
    let warnings = findings_text(&loaded.findings);
    let text = match warnings.is_empty() {
        true => output.text.clone(),
        false => format!("{warnings}\n{}", output.text),
    };
    Ok(Output { text, ..output })
}

/// Waits until an applied version is active on every live instance, or until the timeout.
pub(super) async fn wait_until_active(
    client: &AdminClient,
    applied: &Value,
    timeout: Duration,
    mut report: impl FnMut(&str),
) -> Result<Output, CommandError> {
    let version = applied["version"].as_u64().unwrap_or(0);
    let summary = match applied["is_changed"].as_bool() {
        Some(false) => format!("version {version} has the same content; nothing was written"),
        _ => format!("version {version} is stored"),
    };
    report(&summary);
    let started = Instant::now();
    let mut last_count = None;
    loop {
        let progress = Progress::read(client, version).await?;
        if last_count != Some(progress.active) {
            last_count = Some(progress.active);
            report(&format!(
                "in force on {} of {}",
                progress.active, progress.live
            ));
        }
        if progress.lagging.is_empty() || started.elapsed() >= timeout {
            return Ok(progress.output(version));
        }
        compio::time::sleep(PROGRESS_POLL_INTERVAL).await;
    }
}

/// How many live instances have activated a version.
struct Progress {
    live: usize,
    active: usize,
    /// Live instances with an older version.
    lagging: Vec<String>,
}

impl Progress {
    async fn read(client: &AdminClient, version: u64) -> Result<Self, CommandError> {
        let response = client.get("/v1/instances").await?;
        let live: Vec<&Value> = response["instances"]
            .as_array()
            .into_iter()
            .flatten()
            .filter(|instance| instance["state"] != "dead")
            .collect();
        let lagging: Vec<String> = live
            .iter()
            .filter(|instance| instance["config_version"].as_u64() < Some(version))
            .map(|instance| instance["instance"].as_str().unwrap_or("?").to_owned())
            .collect();
        Ok(Self {
            live: live.len(),
            active: live.len() - lagging.len(),
            lagging,
        })
    }

    fn output(self, version: u64) -> Output {
        let json = json!({ "version": version, "live_instances": self.live,
            "in_force": self.active, "lagging": self.lagging });
        if self.lagging.is_empty() {
            let text = format!(
                "version {version} is in force on all {} instances",
                self.live
            );
            return Output::new(text, json);
        }
        let lagging = self.lagging.join(", ");
        let text = format!("version {version} is stored, but these instances lag: {lagging}");
        Output::new(text, json).with_status(ExitStatus::Incomplete)
    }
}
