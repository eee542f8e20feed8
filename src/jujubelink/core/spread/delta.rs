//! Differences between two configurations, by entry.

use std::collections::{BTreeMap, BTreeSet};

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use crate::core::config::{ConfigSnapshot, FleetConfig};
use crate::core::ids::ConfigVersion;
use crate::util::hash::stable_hash;

/// Seed of the checksum of a configuration.
const CHECK_SEED: u64 = 0x636f_6e66;

/// Reason why a delta cannot be applied. The whole configuration has to be fetched instead.
#[derive(Debug, Display, Error)]
pub enum DeltaError {
    /// The delta is based on another version.
    #[display("the delta is based on version {base}, not on {held}")]
    WrongBase {
        /// Version that the delta is based on.
        base: ConfigVersion,
        /// Version that it was applied to.
        held: ConfigVersion,
    },
    /// The result is not a valid configuration, or differs from the sender's.
    #[display(
        "the result of the delta to version {version} differs from the sender's configuration"
    )]
    WrongResult {
        /// Version of the result.
        version: ConfigVersion,
    },
}

/// Change of one section of the configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum SectionDelta {
    /// Changed entries of a map, by name.
    Entries {
        set: BTreeMap<String, Value>,
        removed: BTreeSet<String>,
    },
    /// Changed elements of a set.
    Elements {
        added: BTreeSet<String>,
        removed: BTreeSet<String>,
    },
    /// New value of the whole section.
    Value(Value),
}

/// A change from one version of the configuration to a later one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigDelta {
    /// Version that the delta is based on.
    pub base_version: ConfigVersion,
    /// Version of the result.
    pub version: ConfigVersion,
    /// Checksum of the result. Without it, a release that supports other fields would end up with a
    /// different configuration under the same version.
    check: u64,
    sections: BTreeMap<String, SectionDelta>,
}

impl ConfigDelta {
    /// Computes the delta from `base` to `next`.
    pub fn new(base: &ConfigSnapshot, next: &ConfigSnapshot) -> Self {
        let base_sections = sections_of(&base.fleet);
        let mut sections = BTreeMap::new();
        for (name, value) in sections_of(&next.fleet) {
            let before = base_sections.get(&name).unwrap_or(&Value::Null);
            if *before != value {
                sections.insert(name, section_delta(before, value));
            }
        }
        Self {
            base_version: base.version,
            version: next.version,
            check: checksum(&next.fleet),
            sections,
        }
    }

    /// Applies the delta to `base`.
    pub fn apply(&self, base: &ConfigSnapshot) -> Result<ConfigSnapshot, DeltaError> {
        if base.version != self.base_version {
            return Err(DeltaError::WrongBase {
                base: self.base_version,
                held: base.version,
            });
        }
        let mut sections = sections_of(&base.fleet);
        for (name, delta) in &self.sections {
            let section = sections.entry(name.clone()).or_insert(Value::Null);
            apply_section(section, delta);
        }
        let wrong_result = || DeltaError::WrongResult {
            version: self.version,
        };
        let fleet: FleetConfig =
            serde_json::from_value(Value::Object(sections)).map_err(|_| wrong_result())?;
        if checksum(&fleet) != self.check {
            return Err(wrong_result());
        }
        Ok(ConfigSnapshot::new(self.version, fleet))
    }
}

fn sections_of(fleet: &FleetConfig) -> Map<String, Value> {
    match serde_json::to_value(fleet) {
        Ok(Value::Object(sections)) => sections,
        _ => Map::new(),
    }
}

fn checksum(fleet: &FleetConfig) -> u64 {
    let text = serde_json::to_vec(fleet).unwrap_or_default();
    stable_hash(CHECK_SEED, &text)
}

fn section_delta(before: &Value, after: Value) -> SectionDelta {
    match (before, after) {
        (Value::Object(before), Value::Object(after)) => {
            let removed = before.keys().filter(|name| !after.contains_key(*name));
            SectionDelta::Entries {
                removed: removed.cloned().collect(),
                set: after
                    .into_iter()
                    .filter(|(name, value)| before.get(name) != Some(value))
                    .collect(),
            }
        }
        (Value::Array(before), Value::Array(after)) => {
            let (before, after) = (elements(before), elements(&after));
            SectionDelta::Elements {
                added: after.difference(&before).cloned().collect(),
                removed: before.difference(&after).cloned().collect(),
            }
        }
        (_, after) => SectionDelta::Value(after),
    }
}

/// Returns the elements of a section that is a set of strings. Other elements are left out, so that
/// the checksum does not match.
fn elements(values: &[Value]) -> BTreeSet<String> {
    let strings = values.iter().filter_map(Value::as_str);
    strings.map(str::to_owned).collect()
}

fn apply_section(section: &mut Value, delta: &SectionDelta) {
    match (section, delta) {
        (Value::Object(entries), SectionDelta::Entries { set, removed }) => {
            entries.retain(|name, _| !removed.contains(name));
            entries.extend(set.clone());
        }
        (Value::Array(values), SectionDelta::Elements { added, removed }) => {
            let mut kept = elements(values);
            kept.retain(|value| !removed.contains(value));
            kept.extend(added.iter().cloned());
            *values = kept.into_iter().map(Value::String).collect();
        }
        (section, SectionDelta::Value(value)) => *section = value.clone(),
        // The kind of the delta does not match the section, so the checksum will not match.
        _ => {}
    }
}
