//! Entries in the platform's store by which targets register themselves.

use std::net::SocketAddr;

use serde::Deserialize;

use super::objects::decode_owned;
use crate::core::fleet::TargetRecord;

/// Fields with an underscore are not used, but an entry in which one has another type is invalid.
#[derive(Deserialize)]
struct Entry {
    service: String,
    address: SocketAddr,
    /// Failure domain.
    zone: String,
    /// Maximum number of concurrent requests.
    slots: u32,
    state: String,
    #[serde(default)]
    models: Vec<EntryModel>,
    /// Incarnation: start time of the target, in milliseconds since the Unix epoch.
    #[serde(default)]
    born: u64,
    /// Version of the target's software.
    #[serde(default)]
    version: String,
    #[serde(default, rename = "cold_remaining_ms")]
    _cold_remaining_ms: f64,
    #[serde(default, rename = "sequence")]
    _writes: u64,
}

#[derive(Deserialize)]
struct EntryModel {
    name: String,
    version: u64,
}

/// Decodes a target's entry. Entries may be incomplete or malformed, since other programs can write
/// them too.
pub fn decode_target(id: &str, spec: &str) -> Result<TargetRecord, String> {
    let entry: Entry = decode_owned(spec)?;
    let is_leaving = match entry.state.as_str() {
        "ready" => false,
        "draining" => true,
        other => return Err(format!("unknown state {other:?}")),
    };
    if entry.address.port() == 0 || entry.address.ip().is_unspecified() {
        return Err(format!("{} is not the address of a target", entry.address));
    }
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
        version: entry.version.into(),
    })
}
