//! Writes revocations into the configuration stored on the platform.

use std::rc::Rc;
use std::time::Duration;

use anyhow::{Context as _, Result, bail};
use serde_json::{Value, json};

use super::server::Components;
use super::state::CONFIG_OBJECT;
use super::watch::role;
use crate::core::config::{ConfigSnapshot, StoredConfig};
use crate::core::spread::Role;
use crate::ops::config_history::archive;
use crate::ops::platform::{PlatformClient, StoredObject, WriteOutcome};

/// Delay of the first watcher after a revocation, so that revocations in quick succession need only
/// one write.
const INITIAL_DELAY: Duration = Duration::from_millis(500);

/// Additional delay for each rank, so that usually only one instance writes.
const DELAY_PER_RANK: Duration = Duration::from_secs(4);

/// Delay of an instance that is not a watcher. It writes only if all watchers fail to.
const FOLLOWER_DELAY: Duration = Duration::from_secs(25);

/// Delay before the next attempt after a failed one.
const RETRY_DELAY: Duration = Duration::from_secs(5);

/// Attempts at a write before backing off. Each further attempt follows a conflicting write.
const MAX_WRITE_ATTEMPTS: u32 = 5;

/// Waits for revocations and writes them to the platform.
pub(super) async fn write_revocations(components: Rc<Components>) {
    let timers = *components.context.timers();
    loop {
        let changed = crate::ops::services::ConfigService::changed(&components.state);
        if components.state.revocations().is_empty() {
            changed.await;
            continue;
        }
        let delay = match role(&components) {
            Role::Watcher { rank } => INITIAL_DELAY + DELAY_PER_RANK * rank as u32,
            Role::Isolated => INITIAL_DELAY,
            Role::Follower => FOLLOWER_DELAY.mul_f64(1.0 + rand::random::<f64>()),
        };
        timers.sleep(delay).await;
        if components.state.revocations().is_empty() {
            continue;
        }
        if let Err(error) = write(&components).await {
            components
                .context
                .metrics()
                .count("config.revocation_write_errors", 1);
            slog::debug!(components.context.log(),
                "cannot write revocations to the platform; retrying";
                "error" => format!("{error:#}"));
            timers
                .sleep(RETRY_DELAY.mul_f64(0.5 + rand::random::<f64>()))
                .await;
        }
    }
}

async fn write(components: &Components) -> Result<()> {
    let platform = components.context.service::<PlatformClient>();
    for _ in 0..MAX_WRITE_ATTEMPTS {
        let object = platform.read(CONFIG_OBJECT).await?;
        let object = object.context("the platform has no configuration")?;
        if contains_revocations(components, &object)? {
            return adopt(components, &object);
        }
        archive(&platform, &object.parse()?).await?;
        let nonce = format!("{:032x}", rand::random::<u128>());
        let value = with_withdrawn_keys(components, &object.value, &nonce)?;
        match platform.write(CONFIG_OBJECT, object.version, &value).await {
            Ok(WriteOutcome::Done { version }) => {
                let key = object.key;
                return adopt(
                    components,
                    &StoredObject {
                        key,
                        version,
                        value,
                    },
                );
            }
            Ok(WriteOutcome::Conflict { .. }) => {}
            Err(error) if error.has_no_effect() => return Err(error.into()),
            // The write may have taken effect. If so, the next read shows the keys as withdrawn,
            // regardless of which writer added them.
            Err(error) => {
                slog::debug!(components.context.log(),
                    "outcome of a configuration write is unknown";
                    "nonce" => nonce, "error" => %error);
            }
        }
    }
    bail!(
        "gave up after {MAX_WRITE_ATTEMPTS} configuration writes that conflicted or had an unknown outcome"
    )
}

fn adopt(components: &Components, object: &StoredObject) -> Result<()> {
    let stored: StoredConfig = object.parse()?;
    let snapshot = ConfigSnapshot::new(stored.version, stored.config);
    components.state.adopt(snapshot);
    Ok(())
}

fn contains_revocations(components: &Components, object: &StoredObject) -> Result<bool> {
    let stored: StoredConfig = object.parse()?;
    let mut pending = components.state.revocations().into_iter();
    Ok(pending.all(|hash| stored.config.withdrawn_keys.contains(&hash)))
}

/// Returns the stored value with all pending revocations. The grants of the revoked keys are
/// removed too, so that a key stays invalid after its hash is removed from the list of withdrawn
/// keys.
fn with_withdrawn_keys(components: &Components, value: &Value, nonce: &str) -> Result<Value> {
    let mut stored: StoredConfig =
        serde_json::from_value(value.clone()).context("decode the platform's configuration")?;
    // Instances would never accept a change based on a value older than the active version.
    if stored.version < components.state.version() {
        bail!("the platform has an older configuration than the active one");
    }
    for hash in components.state.revocations() {
        stored.config.keys.remove(&hash);
        stored.config.withdrawn_keys.insert(hash);
    }
    stored.version += 1;
    stored.nonce = nonce.to_owned();
    stored.author = "revocation".to_owned();
    stored.changed_unix_ms = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64);
    Ok(json!(stored))
}
