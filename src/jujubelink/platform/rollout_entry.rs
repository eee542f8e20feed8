//! Orders to move a service to another version, and their status.

use std::time::Duration;

use serde::Deserialize;
use serde_json::{Value, json};

use super::objects::decode_owned;
use crate::core::canary::{RolloutOrder, RolloutRecord, RolloutState, RolloutStatus};
use crate::core::ids::ObjectVersion;

/// Longest duration of an order, in seconds. A larger value is invalid.
const MAX_DURATION_S: f64 = 86_400.0;

#[derive(Deserialize)]
struct Spec {
    service: String,
    target: String,
    duration_s: f64,
}

#[derive(Deserialize)]
struct Status {
    state: String,
    target: String,
}

/// Decodes the order `name`. A status that cannot be decoded counts as absent, since it is written again.
pub(super) fn decode_rollout(
    name: &str,
    revision: ObjectVersion,
    spec: &str,
    status: &str,
) -> Result<RolloutRecord, String> {
    let spec: Spec = decode_owned(spec)?;
    if spec.service != name {
        return Err(format!("names another service, {:?}", spec.service));
    }
    if spec.target.is_empty() {
        return Err("names no version".to_owned());
    }
    if !(spec.duration_s > 0.0 && spec.duration_s <= MAX_DURATION_S) {
        return Err(format!(
            "{} s is not a duration of an order",
            spec.duration_s
        ));
    }
    let status = decode_owned::<Status>(status).ok();
    Ok(RolloutRecord {
        revision,
        order: RolloutOrder {
            service: spec.service.into(),
            target: spec.target.into(),
            duration: Duration::from_secs_f64(spec.duration_s),
        },
        status: status.and_then(|status| {
            Some(RolloutStatus {
                state: decode_state(&status.state)?,
                target: status.target.into(),
            })
        }),
    })
}

fn decode_state(state: &str) -> Option<RolloutState> {
    [
        RolloutState::Running,
        RolloutState::Completed,
        RolloutState::RolledBack,
    ]
    .into_iter()
    .find(|known| known.to_string() == state)
}

/// Encodes the status of an order for a write that requires the revision.
pub(super) fn encode_status(record: &RolloutRecord, state: RolloutState) -> Value {
    json!({
        "metadata": { "name": &*record.order.service, "revision": record.revision },
        "status": { "state": state.to_string(), "target": &*record.order.target },
    })
}
