//! Entries that targets write about themselves.

use std::net::SocketAddr;

use serde::Deserialize;

use crate::core::fleet::TargetRecord;

#[derive(Deserialize)]
struct Entry {
    service: String,
    address: SocketAddr,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    slots: u32,
    state: String,
    #[serde(default)]
    models: Vec<EntryModel>,
    /// Start of the target, in milliseconds since the Unix epoch.
    #[serde(default)]
    born: u64,
}

#[derive(Deserialize)]
struct EntryModel {
    name: String,
    version: u64,
}

/// Decodes a target's entry. An entry of another writer may miss fields or hold anything.
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
