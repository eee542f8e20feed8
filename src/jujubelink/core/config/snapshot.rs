//! Versioned configuration with lookups for requests.

use serde::{Deserialize, Serialize};

use super::{FleetConfig, KeyGrant, Route, Target, TargetKind, Workspace};
use crate::core::ids::{ConfigVersion, RouteId, TargetId, WorkspaceId};

/// Value of the platform object that holds the configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StoredConfig {
    /// Increases by one with each change.
    pub version: ConfigVersion,
    /// Nonce of the last write. After a lost response, the writer reads the object back and
    /// compares it.
    pub nonce: String,
    /// Operator who made the change.
    #[serde(default)]
    pub author: String,
    /// Time of the change, in milliseconds since the Unix epoch.
    #[serde(default)]
    pub changed_unix_ms: u64,
    /// The configuration.
    pub config: FleetConfig,
}

/// An active configuration. Immutable; each change creates a new snapshot.
#[derive(Debug, Clone, PartialEq)]
pub struct ConfigSnapshot {
    /// Version. An instance never replaces a snapshot by one with a smaller version.
    pub version: ConfigVersion,
    /// The configuration.
    pub fleet: FleetConfig,
}

impl ConfigSnapshot {
    /// Creates a snapshot of `fleet` at `version`.
    pub fn new(version: ConfigVersion, fleet: FleetConfig) -> Self {
        Self { version, fleet }
    }

    /// Returns the grant of a key, unless the key is unknown or withdrawn.
    pub fn grant(&self, key_hash: &str) -> Option<&KeyGrant> {
        if self.fleet.withdrawn_keys.contains(key_hash) {
            return None;
        }
        self.fleet.keys.get(key_hash)
    }

    /// Returns a workspace by name.
    pub fn workspace(&self, name: &str) -> Option<(&WorkspaceId, &Workspace)> {
        self.fleet.workspaces.get_key_value(name)
    }

    /// Returns the engines that may serve a model, ordered by name.
    pub fn engines_of<'a>(
        &'a self,
        model: &'a str,
    ) -> impl Iterator<Item = (&'a TargetId, &'a Target)> + 'a {
        self.fleet.targets.iter().filter(move |(_, target)| {
            target.kind == TargetKind::Engine
                && target.models.iter().any(|served| &**served == model)
        })
    }

    /// Returns the route with the longest matching path prefix. Routes with a host take
    /// precedence over those without.
    pub fn match_route(&self, host: Option<&str>, path: &str) -> Option<(&RouteId, &Route)> {
        self.fleet
            .routes
            .iter()
            .filter(|(_, route)| route.host.as_deref().is_none_or(|name| Some(name) == host))
            .filter(|(_, route)| has_path_prefix(path, &route.path_prefix))
            .max_by_key(|(_, route)| (route.host.is_some(), route.path_prefix.len()))
    }
}

/// Whether `path` equals `prefix` or lies below it, at a segment boundary.
fn has_path_prefix(path: &str, prefix: &str) -> bool {
    let prefix = prefix.strip_suffix('/').unwrap_or(prefix);
    path.strip_prefix(prefix)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}
