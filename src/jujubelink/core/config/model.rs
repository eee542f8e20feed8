//! Types of the fleet configuration.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::core::ids::{KeyHash, ModelId, RouteId, TargetId, Tokens, WeightsVersion, WorkspaceId};

/// The fleet configuration.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FleetConfig {
    /// Workspaces by name.
    pub workspaces: BTreeMap<WorkspaceId, Workspace>,
    /// Granted keys by the SHA-256 hash of the secret.
    pub keys: BTreeMap<KeyHash, KeyGrant>,
    /// Hashes of withdrawn keys. A key whose hash is in this set is refused even if `keys` contains
    /// it.
    pub withdrawn_keys: BTreeSet<KeyHash>,
    /// Models by name.
    pub models: BTreeMap<ModelId, Model>,
    /// Targets by name.
    pub targets: BTreeMap<TargetId, Target>,
    /// Routes to plain services, by name.
    pub routes: BTreeMap<RouteId, Route>,
    /// Division of limits into shards and slots.
    pub limit_layout: LimitLayout,
    /// Limits on orders to engines.
    pub orders: OrderSettings,
}

/// A customer with its weight and rate limit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Weight in fair queueing relative to other workspaces. At least 1.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Tokens per second across all instances.
    pub rate_tokens_per_s: Tokens,
    /// Largest number of tokens that may be used at once. At least one second of the rate.
    pub burst_tokens: Tokens,
    /// Priority at engines; 0 is most urgent.
    #[serde(default = "default_priority")]
    pub priority: u8,
}

/// Grant of an API key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyGrant {
    /// Workspace whose requests the key authorizes.
    pub workspace: WorkspaceId,
    /// Note for operators.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub note: String,
}

/// A language model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Version of the weights that requests use.
    pub weights_version: WeightsVersion,
    /// Prompt bytes of one cache block.
    #[serde(default = "default_block_bytes")]
    pub block_bytes: u32,
    /// Lower bound on the number of bytes per prompt token, which makes estimates of prompt tokens
    /// upper bounds.
    #[serde(default = "default_min_bytes_per_token")]
    pub min_bytes_per_token: u32,
    /// Limit on generated tokens if the request does not set one.
    #[serde(default = "default_max_tokens")]
    pub default_max_tokens: Tokens,
    /// Largest limit on generated tokens that a request may set.
    #[serde(default = "default_max_tokens_limit")]
    pub max_tokens_limit: Tokens,
    /// Prompt tokens that a target processes per second.
    #[serde(default = "default_prefill_tokens_per_s")]
    pub prefill_tokens_per_s: Tokens,
    /// Time within which a request should get its first token, in milliseconds from its arrival.
    #[serde(default = "default_first_token_deadline_ms")]
    pub first_token_deadline_ms: u64,
    /// Smallest number of targets that should have the model loaded.
    #[serde(default = "default_min_ready_targets")]
    pub min_ready_targets: u32,
}

/// Kind of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetKind {
    /// A language-model engine.
    Engine,
    /// A plain HTTP service.
    Service,
    /// A store of KV cache blocks.
    KvStore,
}

/// A back end.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Kind.
    pub kind: TargetKind,
    /// IP address and port.
    pub address: SocketAddr,
    /// Failure domain.
    pub failure_domain: String,
    /// Models that the target may serve; empty unless it is an engine.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub models: Vec<ModelId>,
    /// Largest number of requests that the target runs concurrently.
    #[serde(default = "default_max_running")]
    pub max_running: u32,
    /// Whether the target refuses orders with an outdated fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Credential that is sent to the target as a bearer token.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub credential: Option<String>,
    /// Whether an operator has taken the target out of service.
    #[serde(default)]
    pub is_draining: bool,
}

/// Who may use a route.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Access {
    /// Requests need the key of a workspace.
    #[default]
    Key,
    /// Requests need no key.
    Open,
}

/// What happens to a request whose client disconnects.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OnDisconnect {
    /// The request is cancelled at the target.
    #[default]
    Cancel,
    /// The request runs to completion.
    Continue,
}

/// A route to plain services, by host and path prefix.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Host that the request must have; any if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub host: Option<String>,
    /// Path prefix, matched at segment boundaries. The longest match wins.
    pub path_prefix: String,
    /// Targets that serve the route.
    pub targets: Vec<TargetId>,
    /// Who may use the route.
    #[serde(default)]
    pub access: Access,
    /// Workspaces whose keys may use the route; empty for all.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub workspaces: Vec<WorkspaceId>,
    /// Whether requests with any method may be repeated. GET, HEAD and OPTIONS always may.
    #[serde(default)]
    pub is_idempotent: bool,
    /// Header with the client's idempotency key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub idempotency_header: Option<String>,
    /// Top-level field of a JSON body with the client's idempotency key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub idempotency_field: Option<String>,
    /// What happens when the client disconnects.
    #[serde(default)]
    pub on_disconnect: OnDisconnect,
    /// Tokens charged for each request.
    #[serde(default)]
    pub cost_tokens: Tokens,
    /// Time within which the target must send the response head, in milliseconds.
    #[serde(default = "default_response_timeout_ms")]
    pub response_timeout_ms: u64,
}

/// Division of limits into shards and slots. It cannot change after the first configuration was
/// applied, because the limits of all slots must add up to one rate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LimitLayout {
    /// Number of shards that the workspaces are divided into.
    pub shards: u32,
    /// Number of slots of each shard; a slot carries `rate / slots` and `burst / slots`.
    pub slots: u32,
}

impl Default for LimitLayout {
    fn default() -> Self {
        Self {
            shards: 64,
            slots: 8,
        }
    }
}

/// Limits on orders to engines.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrderSettings {
    /// Largest number of concurrent loads.
    pub loads_at_a_time: u32,
    /// Number of loads that the weight store serves per minute.
    pub weight_store_loads_per_min: u32,
}

impl Default for OrderSettings {
    fn default() -> Self {
        Self {
            loads_at_a_time: 3,
            weight_store_loads_per_min: 60,
        }
    }
}

fn default_weight() -> u32 {
    1
}

fn default_priority() -> u8 {
    4
}

fn default_block_bytes() -> u32 {
    4000
}

fn default_min_bytes_per_token() -> u32 {
    2
}

fn default_max_tokens() -> Tokens {
    256
}

fn default_max_tokens_limit() -> Tokens {
    4096
}

fn default_prefill_tokens_per_s() -> Tokens {
    20_000
}

fn default_first_token_deadline_ms() -> u64 {
    410
}

fn default_min_ready_targets() -> u32 {
    1
}

fn default_max_running() -> u32 {
    16
}

fn default_response_timeout_ms() -> u64 {
    30_000
}
