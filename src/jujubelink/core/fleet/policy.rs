//! Configuration of the platform, in the form used for requests.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use crate::core::ids::{ConfigVersion, KeyHash, ModelId, Tokens, WorkspaceId};
use crate::util::hash::sha256_hex;

/// How often a request may be run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// May be run more than once.
    Idempotent,
    /// Is run at most once for each attempt of the client.
    SingleRun,
    /// A stream of events; run at most once unless streams of the route can be resumed.
    Stream {
        /// Whether another target can continue the stream after a given event.
        is_resumable: bool,
    },
}

impl RequestKind {
    /// Whether the request may be sent again after it may have been run.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { is_resumable: true })
    }

    /// Whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service that receives a part of a route's traffic.
#[derive(Debug, Clone, PartialEq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: Arc<str>,
    /// Weight relative to the other services of the route.
    pub weight: u32,
}

/// A route, selected by host and path prefix.
#[derive(Debug, Clone, PartialEq)]
pub struct PolicyRoute {
    /// Name in logs.
    pub name: Arc<str>,
    /// Prefix of the path; ends with a slash.
    pub path_prefix: String,
    /// How often the requests may be run.
    pub kind: RequestKind,
    /// Services that process the requests; never empty.
    pub services: Vec<WeightedService>,
    /// Maximum number of targets to which one request is sent.
    pub max_attempts: u32,
    /// Maximum time for which a client is kept waiting.
    pub timeout: Duration,
    /// Time within which a response, or the first event of a stream, is of full value to the
    /// client.
    pub latency_objective: Duration,
    /// Longest pause between two events of a stream that is still on time.
    pub max_event_gap: Duration,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Whether requests are accepted without a key.
    pub is_public: bool,
}

/// Properties of the model engines of a service.
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
    /// Present if the targets are model engines.
    pub engine: Option<EngineTraits>,
    /// Present if the service is a KV cache store.
    pub kv_store: Option<SocketAddr>,
    /// Bandwidth of the store's link, in bytes per second; infinite if unknown.
    pub kv_link_bytes_per_s: f64,
}

/// Unit of a workspace's rate limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaUnit {
    /// Requests.
    Requests,
    /// Prompt and output tokens.
    Tokens,
}

/// A workspace with its rate limit.
#[derive(Debug, Clone, PartialEq)]
pub struct PolicyWorkspace {
    /// Unit of the limit.
    pub unit: QuotaUnit,
    /// Units per second over all instances together; 0 means no limit.
    pub rate_per_s: f64,
    /// Units that may be used at once.
    pub burst: f64,
    /// Tokens charged for a request that does not state its number of tokens.
    pub default_tokens: Tokens,
    /// Priority that overrides the route's.
    pub priority: Option<u8>,
    /// Whether the workspace shares no cached prompts with other workspaces.
    pub is_cache_isolated: bool,
}

/// A configuration, indexed for requests. Immutable.
#[derive(Debug, Clone, PartialEq)]
pub struct FleetPolicy {
    /// Version; increases with each change, not necessarily by 1.
    pub version: ConfigVersion,
    /// Routes by lower-case host, longest path prefix first.
    pub routes: HashMap<String, Vec<Rc<PolicyRoute>>>,
    /// Services by name.
    pub services: BTreeMap<Arc<str>, PolicyService>,
    /// Workspaces by name. If there are none, requests carry no key.
    pub workspaces: BTreeMap<WorkspaceId, PolicyWorkspace>,
    /// Namespace of the cached prompts that the workspaces without cache isolation share, from
    /// [`shared_cache_namespace`].
    pub shared_cache_namespace: String,
    /// Workspaces by the SHA-256 of their keys.
    pub keys: HashMap<KeyHash, WorkspaceId>,
    /// Maximum size of the head of a request, in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Time that clients may take to send the head of a request.
    pub header_timeout: Duration,
    /// Time for which clients may leave a connection idle.
    pub idle_timeout: Duration,
}

/// Number of hexadecimal digits of the hash in a [`shared_cache_namespace`].
const NAMESPACE_DIGITS: usize = 16;

/// Returns the namespace of the cached prompts that the workspaces without cache isolation share.
///
/// It is a function of the set of isolated workspaces. Only workspaces outside of the set place in it, so
/// prompts that a workspace left there before it became isolated are not used while it is. Without isolated
/// workspaces it is empty.
pub fn shared_cache_namespace(workspaces: &BTreeMap<WorkspaceId, PolicyWorkspace>) -> String {
    let isolated = workspaces
        .iter()
        .filter(|(_, workspace)| workspace.is_cache_isolated);
    let mut names = Vec::new();
    for (name, _) in isolated {
        // The length keeps names apart that contain any separator.
        names.extend_from_slice(&(name.len() as u64).to_le_bytes());
        names.extend_from_slice(name.as_bytes());
    }
    match names.is_empty() {
        true => String::new(),
        false => format!("/{}", &sha256_hex(&names)[..NAMESPACE_DIGITS]),
    }
}

impl FleetPolicy {
    /// Returns the namespace of the cached prompts of a workspace, or of requests without a workspace.
    /// `None` if the configuration does not contain the workspace.
    pub fn cache_namespace(&self, workspace: Option<&WorkspaceId>) -> Option<String> {
        let Some(name) = workspace else {
            return Some(self.shared_cache_namespace.clone());
        };
        if !self.workspaces.get(name)?.is_cache_isolated {
            return Some(self.shared_cache_namespace.clone());
        }
        // The prefix keeps such names apart from the shared namespace, which is empty or starts with one
        // slash.
        let is_ambiguous = name.is_empty() || name.starts_with('/');
        Some(match is_ambiguous {
            true => format!("//{name}"),
            false => name.to_string(),
        })
    }

    /// Returns the route of a request: the one of the host with the longest matching path prefix.
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
