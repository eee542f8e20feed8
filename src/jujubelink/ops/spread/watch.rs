//! Reads the configuration object of the platform, by watching it or by polling while isolated.

use std::rc::Rc;
use std::time::Duration;

use super::server::Components;
use super::state::CONFIG_OBJECT;
use crate::core::config::{ConfigSnapshot, StoredConfig};
use crate::core::ids::ObjectVersion;
use crate::core::spread::{Propagation, Role};
use crate::ops::platform::{PlatformClient, PlatformError};
use crate::ops::services::{MemberService, MemberState};

/// Maximum duration of a watch request. A watch on a hanging connection ends 2 s later. If all
/// watchers hang, 5 s of the 17 s allowed for propagation remain.
const WATCH_TIMEOUT: Duration = Duration::from_secs(10);

/// Time between polls while no other instance is reachable.
const ISOLATED_POLL_INTERVAL: Duration = Duration::from_secs(10);

/// Time between checks of the role.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Initial and maximum delay after a failed request.
const RETRY_DELAY_RANGE: (Duration, Duration) =
    (Duration::from_millis(500), Duration::from_secs(4));

/// Returns the role of this instance among the live members.
pub(super) fn role(components: &Components) -> Role {
    let members = components.members.members();
    let live = members
        .iter()
        .filter(|member| matches!(member.state, MemberState::Alive | MemberState::Suspect))
        .map(|member| &*member.instance);
    let now = components.context.timers().now();
    let last_received_at = components.members.last_received_at();
    Propagation::role(&components.members.self_id(), live, last_received_at, now)
}

/// Watches or polls the configuration, depending on the role.
pub(super) async fn sync_with_platform(components: Rc<Components>) {
    let timers = *components.context.timers();
    let mut object_version = 0;
    let mut delay = RETRY_DELAY_RANGE.0;
    loop {
        let result = match role(&components) {
            Role::Watcher { .. } => watch(&components, &mut object_version).await,
            Role::Isolated => {
                let result = watch_once(&components, &mut object_version, Duration::ZERO).await;
                timers.sleep(ISOLATED_POLL_INTERVAL).await;
                result
            }
            Role::Follower => {
                timers.sleep(ROLE_CHECK_INTERVAL).await;
                continue;
            }
        };
        match result {
            Ok(()) => delay = RETRY_DELAY_RANGE.0,
            Err(error) => {
                components
                    .context
                    .metrics()
                    .count("config.platform_errors", 1);
                slog::debug!(components.context.log(), "cannot read the configuration";
                    "error" => %error);
                timers
                    .sleep(delay.mul_f64(0.5 + rand::random::<f64>()))
                    .await;
                delay = (delay * 2).min(RETRY_DELAY_RANGE.1);
            }
        }
    }
}

async fn watch(
    components: &Components,
    object_version: &mut ObjectVersion,
) -> Result<(), PlatformError> {
    watch_once(components, object_version, WATCH_TIMEOUT).await
}

async fn watch_once(
    components: &Components,
    object_version: &mut ObjectVersion,
    timeout: Duration,
) -> Result<(), PlatformError> {
    let platform = components.context.service::<PlatformClient>();
    let object = platform
        .watch(CONFIG_OBJECT, *object_version, timeout)
        .await?;
    let Some(object) = object else {
        return Ok(());
    };
    // A value that cannot be parsed is reported once and read again only after it changes.
    *object_version = object.version;
    let stored: StoredConfig = match object.parse() {
        Ok(stored) => stored,
        Err(error) => {
            slog::error!(components.context.log(), "cannot parse the platform's configuration";
                "error" => %error);
            return Ok(());
        }
    };
    let current = components.state.version();
    if stored.version < current {
        slog::error!(components.context.log(),
            "the platform's configuration is older than the active one";
            "platform" => stored.version, "held" => current);
    }
    let snapshot = ConfigSnapshot::new(stored.version, stored.config);
    components.state.adopt(snapshot);
    Ok(())
}
