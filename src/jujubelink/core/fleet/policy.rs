//! A configuration of the platform in force.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use crate::core::ids::{ConfigVersion, KeyHash, ModelId, Tokens, WorkspaceId};

/// How often a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once for each attempt of the client.
    SingleRun,
    /// A stream of events; runs at most once unless the route's streams can be resumed.
    Stream {
        /// Whether another target may continue the stream after a given event.
        is_resumable: bool,
    },
}

impl RequestKind {
    /// Whether the request may be sent again after it may have run.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { is_resumable: true })
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service that a route leads to, with its part of the traffic.
#[derive(Debug, Clone, PartialEq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: Arc<str>,
    /// Weight against the other services of the route.
    pub weight: u32,
}

/// A route by host and path prefix.
#[derive(Debug, Clone, PartialEq)]
pub struct PolicyRoute {
    /// Name in logs.
    pub name: Arc<str>,
    /// Prefix of the path; it ends with a slash.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: RequestKind,
    /// Services that run the requests; never empty.
    pub services: Vec<WeightedService>,
    /// Targets that one request may be sent to.
    pub max_attempts: u32,
    /// Longest time that a client is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer, or the first event of a stream, has its full value.
    pub latency_objective: Duration,
    /// Longest pause between two events of a stream that is still on time.
    pub max_event_gap: Duration,
    /// Rank; 0 is the highest.
    pub priority: u8,
    /// Whether requests need no key.
    pub is_public: bool,
}

/// What a model engine offers.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineTraits {
    /// Models that the engines serve.
    pub models: Vec<ModelId>,
    /// Size of the KV cache of one token, in bytes; 0 if unknown.
    pub kv_bytes_per_token: f64,
}

/// A service of the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct PolicyService {
    /// Set if the targets are model engines.
    pub engine: Option<EngineTraits>,
    /// Set if the service is a store of KV cache.
    pub kv_store: Option<SocketAddr>,
    /// Rate of the store's link, in bytes per second; infinite if unknown.
    pub kv_link_bytes_per_s: f64,
}

/// What a workspace's limit counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaUnit {
    /// Requests.
    Requests,
    /// Tokens of prompt and answer.
    Tokens,
}

/// A workspace with its limit.
#[derive(Debug, Clone, PartialEq)]
pub struct PolicyWorkspace {
    /// Unit of the limit.
    pub unit: QuotaUnit,
    /// Units per second over all instances together; 0 means no limit.
    pub rate_per_s: f64,
    /// Units that may be used at once.
    pub burst: f64,
    /// Tokens that a request counts which names none.
    pub default_tokens: Tokens,
    /// Rank that goes before the route's.
    pub priority: Option<u8>,
    /// Whether the workspace shares no cached prompt with others.
    pub is_cache_isolated: bool,
}

/// A configuration, indexed for requests. Immutable.
#[derive(Debug, Clone, PartialEq)]
pub struct FleetPolicy {
    /// Grows with each change, in uneven steps.
    pub version: ConfigVersion,
    /// Routes by host in lower case, longest prefix first.
    pub routes: HashMap<String, Vec<Rc<PolicyRoute>>>,
    /// Services by name.
    pub services: BTreeMap<Arc<str>, PolicyService>,
    /// Workspaces by name. Without any, requests carry no key.
    pub workspaces: BTreeMap<WorkspaceId, PolicyWorkspace>,
    /// Workspaces by the SHA-256 of their keys.
    pub keys: HashMap<KeyHash, WorkspaceId>,
    /// Largest body of a request, in bytes.
    pub max_body_bytes: usize,
}

impl FleetPolicy {
    /// The route of a request: among the routes of the host, the one with the longest prefix of the
    /// path.
    pub fn match_route(&self, host: &str, path: &str) -> Option<&Rc<PolicyRoute>> {
        let routes = self.routes.get(host).or_else(|| {
            let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
            self.routes.get(&name.to_ascii_lowercase())
        })?;
        routes
            .iter()
            .find(|route| path.starts_with(&route.path_prefix))
    }
}
