//! The difference between two configurations, by entry.

use std::collections::{BTreeMap, BTreeSet};

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use crate::core::config::{ConfigSnapshot, FleetConfig};
use crate::core::ids::ConfigVersion;
use crate::util::hash::stable_hash;

/// Seed of the hash that checks the result of a delta.
const CHECK_SEED: u64 = 0x636f_6e66;

/// Reason why a delta cannot be applied. The whole configuration has to be fetched then.
#[derive(Debug, Display, Error)]
pub enum DeltaError {
    /// The delta starts at another version.
    #[display("the delta starts at version {base}, not {held}")]
    WrongBase {
        /// Version that the delta starts at.
        base: ConfigVersion,
        /// Version held.
        held: ConfigVersion,
    },
    /// The result is no configuration, or not the one that the sender has.
    #[display("the delta to version {version} does not give the sender's configuration")]
    WrongResult {
        /// Version that the delta leads to.
        version: ConfigVersion,
    },
}

/// Change of one section of the configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum SectionDelta {
    /// Entries by name that were set or removed.
    Entries {
        set: BTreeMap<String, Value>,
        removed: BTreeSet<String>,
    },
    /// Elements of a set that were added or removed.
    Elements {
        added: BTreeSet<String>,
        removed: BTreeSet<String>,
    },
    /// Another value.
    Value(Value),
}

/// A change from one version of the configuration to a later one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigDelta {
    /// Version that the change starts at.
    pub base_version: ConfigVersion,
    /// Version that it leads to.
    pub version: ConfigVersion,
    /// Hash of the result. A release that knows other fields would otherwise end with a different
    /// configuration under the same version.
    check: u64,
    sections: BTreeMap<String, SectionDelta>,
}

impl ConfigDelta {
    /// The change from `base` to `next`.
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

    /// The configuration that the change makes of `base`.
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

/// Elements of a section that is a set of strings. Another kind of element fails the check of the
/// result.
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
        // A delta of another kind than the section; the check of the result fails.
        _ => {}
    }
}
