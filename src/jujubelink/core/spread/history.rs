//! Recent deltas, for instances that are a few versions behind.

use std::collections::VecDeque;
use std::rc::Rc;

use super::delta::ConfigDelta;
use crate::core::ids::ConfigVersion;

/// Largest number of deltas kept. At 930 changes a day they cover about 100 minutes; an instance
/// that is further behind fetches the whole configuration.
const MAX_DELTAS: usize = 64;

/// Largest total size of the deltas kept.
const MAX_DELTA_BYTES: usize = 256 * 1024;

/// A delta in encoded form, so that it is encoded only once for all receivers.
#[derive(Debug)]
struct EncodedDelta {
    base_version: ConfigVersion,
    version: ConfigVersion,
    json: Rc<[u8]>,
}

/// Consecutive deltas that lead to the active version, oldest first.
#[derive(Debug, Default)]
pub struct DeltaHistory {
    deltas: VecDeque<EncodedDelta>,
    total_bytes: usize,
}

impl DeltaHistory {
    /// Adds a delta and drops the oldest ones beyond the bounds. If it is not based on the version
    /// of the last delta, all earlier ones are dropped.
    pub fn push(&mut self, delta: &ConfigDelta) {
        let Ok(json) = serde_json::to_vec(delta) else {
            return self.clear();
        };
        let is_next = |last: &EncodedDelta| last.version == delta.base_version;
        if !self.deltas.back().is_none_or(is_next) {
            self.clear();
        }
        self.total_bytes += json.len();
        self.deltas.push_back(EncodedDelta {
            base_version: delta.base_version,
            version: delta.version,
            json: json.into(),
        });
        while self.deltas.len() > MAX_DELTAS || self.total_bytes > MAX_DELTA_BYTES {
            let Some(oldest) = self.deltas.pop_front() else {
                break;
            };
            self.total_bytes -= oldest.json.len();
        }
    }

    /// Removes all deltas.
    pub fn clear(&mut self) {
        self.deltas.clear();
        self.total_bytes = 0;
    }

    /// Returns the last delta as JSON, with the version that it is based on.
    pub fn last(&self) -> Option<(ConfigVersion, Rc<[u8]>)> {
        let last = self.deltas.back()?;
        Some((last.base_version, Rc::clone(&last.json)))
    }

    /// Returns the deltas from `version` to the active version as a JSON array, or `None` if they
    /// are not kept.
    pub fn since(&self, version: ConfigVersion) -> Option<Vec<u8>> {
        let start = self
            .deltas
            .iter()
            .position(|delta| delta.base_version == version)?;
        let mut json = vec![b'['];
        for delta in self.deltas.iter().skip(start) {
            if json.len() > 1 {
                json.push(b',');
            }
            json.extend_from_slice(&delta.json);
        }
        json.push(b']');
        Some(json)
    }
}
