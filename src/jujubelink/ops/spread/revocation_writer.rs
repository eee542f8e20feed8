//! Writes revocations into the configuration when the platform answers.

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

/// Delay of the first watcher after a revocation; further revocations of the same time go into one
/// write.
const INITIAL_DELAY: Duration = Duration::from_millis(500);

/// Further delay of each rank, so that usually one instance writes.
const DELAY_PER_RANK: Duration = Duration::from_secs(4);

/// Delay of an instance that is no watcher. It writes only if the watchers cannot.
const FOLLOWER_DELAY: Duration = Duration::from_secs(25);

/// Time between attempts while revocations wait.
const RETRY_DELAY: Duration = Duration::from_secs(5);

/// Attempts at one write before the next pause; each follows a write by somebody else.
const MAX_WRITE_ATTEMPTS: u32 = 5;

/// Waits for revocations and writes them.
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
            slog::debug!(components.context.log(), "revocations are not written yet";
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
            // The write may have taken effect. The next read shows it: then the keys are listed,
            // whichever writer listed them.
            Err(error) => {
                slog::debug!(components.context.log(), "a write's outcome is unknown"; "nonce" => nonce,
                    "error" => %error);
            }
        }
    }
    bail!("the configuration was changed by others {MAX_WRITE_ATTEMPTS} times")
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

/// The stored value with all revocations of this instance. The grants of the keys are removed, so
/// that a key stays invalid after its hash leaves the list of withdrawn keys.
fn with_withdrawn_keys(components: &Components, value: &Value, nonce: &str) -> Result<Value> {
    let mut stored: StoredConfig =
        serde_json::from_value(value.clone()).context("the platform's configuration")?;
    // A value older than the one in force is not built on: the change would never be accepted.
    if stored.version < components.state.version() {
        bail!("the platform has an older configuration than the one in force");
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
