//! Entries in the platform's store by which targets register themselves.

use std::net::SocketAddr;

use serde::Deserialize;

use crate::core::fleet::TargetRecord;

#[derive(Deserialize)]
struct Entry {
    service: String,
    address: SocketAddr,
    /// Failure domain.
    #[serde(default)]
    zone: String,
    /// Maximum number of concurrent requests.
    #[serde(default)]
    slots: u32,
    state: String,
    #[serde(default)]
    models: Vec<EntryModel>,
    /// Incarnation: start time of the target, in milliseconds since the Unix epoch.
    #[serde(default)]
    born: u64,
}

#[derive(Deserialize)]
struct EntryModel {
    name: String,
    version: u64,
}

/// Decodes a target's entry. Entries may be incomplete or malformed, since other programs can write
/// them too.
pub fn decode_target(id: &str, spec: &serde_json::Value) -> Result<TargetRecord, String> {
    let entry = Entry::deserialize(spec).map_err(|error| error.to_string())?;
    let is_leaving = match entry.state.as_str() {
        "ready" => false,
        "draining" => true,
        other => return Err(format!("unknown state {other:?}")),
    };
    let weights = entry.models.into_iter();
    Ok(TargetRecord {
        id: id.into(),
        service: entry.service.into(),
        address: entry.address,
        failure_domain: entry.zone.into(),
        slots: entry.slots,
        is_leaving,
        weights: weights
            .map(|model| (model.name.into(), model.version))
            .collect(),
        incarnation: entry.born,
    })
}
