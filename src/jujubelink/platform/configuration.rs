//! Decoding of the fleet's configuration in the platform's store.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;

use super::objects::decode_owned;
use super::request::MAX_TOKENS;
use crate::core::fleet::{
    EngineTraits, FleetPolicy, PolicyRoute, PolicyService, PolicyWorkspace, QuotaUnit, RequestKind,
    WeightedService, shared_cache_namespace,
};
use crate::core::ids::{KeyHash, WorkspaceId};
use crate::util::hash::sha256_hex;

/// Defaults of optional settings.
const DEFAULT_MAX_HEADER_BYTES: usize = 64 * 1024;
const DEFAULT_MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
const DEFAULT_HEADER_TIMEOUT_MS: f64 = 15_000.0;
const DEFAULT_IDLE_TIMEOUT_MS: f64 = 15_000.0;
const DEFAULT_TIMEOUT_MS: f64 = 30_000.0;
const DEFAULT_LATENCY_OBJECTIVE_MS: f64 = 1_000.0;
const DEFAULT_MAX_EVENT_GAP_MS: f64 = 1_000.0;

#[derive(Deserialize)]
struct Document {
    version: u64,
    #[serde(default)]
    routes: Vec<Route>,
    #[serde(default)]
    services: Vec<Service>,
    #[serde(default)]
    tenants: Vec<Tenant>,
    #[serde(default)]
    limits: Limits,
}

#[derive(Deserialize)]
pub(super) struct Route {
    name: String,
    pub(super) host: String,
    path_prefix: String,
    kind: String,
    timeout_ms: Option<f64>,
    /// Latency objective of a response, or of the first event of a stream.
    target_latency_ms: Option<f64>,
    /// Longest pause between two events of a stream that is on time.
    gap_aim_ms: Option<f64>,
    #[serde(default)]
    priority: u8,
    service: Option<String>,
    #[serde(default)]
    traffic_split: Vec<Split>,
    max_attempts: Option<u32>,
    #[serde(default)]
    public: bool,
    #[serde(default)]
    resumable: bool,
}

#[derive(Deserialize)]
struct Split {
    service: String,
    weight: f64,
}

#[derive(Deserialize)]
pub(super) struct Service {
    name: String,
    engine: Option<Engine>,
    kv_store_addr: Option<SocketAddr>,
    /// Bandwidth of the store's link, in megabits per second.
    link_mbps: Option<f64>,
}

#[derive(Deserialize)]
struct Engine {
    /// Size of the KV cache of one token.
    #[serde(default)]
    kv_token_bytes: f64,
    #[serde(default)]
    models: Vec<EngineModel>,
}

#[derive(Deserialize)]
struct EngineModel {
    name: String,
}

/// A workspace.
#[derive(Deserialize)]
pub(super) struct Tenant {
    pub(super) name: String,
    #[serde(default)]
    api_keys: Vec<String>,
    priority: Option<u8>,
    /// Unit of the rate limit: `tokens`, or requests for any other value.
    #[serde(default)]
    unit: String,
    /// Tokens charged for a request that does not state its number of tokens.
    #[serde(default)]
    plain_tokens: u64,
    /// Whether the workspace shares no cached prompts with others (cache isolation).
    #[serde(default)]
    dedicated: bool,
    #[serde(default)]
    rate_per_s: f64,
    #[serde(default)]
    burst: f64,
}

#[derive(Default, Deserialize)]
pub(super) struct Limits {
    max_header_bytes: Option<usize>,
    max_body_bytes: Option<usize>,
    header_timeout_ms: Option<f64>,
    idle_timeout_ms: Option<f64>,
}

/// Longest duration; a longer one is reduced to it, so that sums of times cannot overflow.
const MAX_DURATION_MS: f64 = 24.0 * 3_600_000.0;

/// Largest rate or amount; a larger one is reduced to it, so that products stay finite.
const MAX_AMOUNT: f64 = 1e15;

const BYTES_PER_MEGABIT: f64 = 1_000_000.0 / 8.0;

/// Decodes a configuration.
pub fn decode_configuration(spec: &str) -> Result<FleetPolicy, String> {
    let document: Document = decode_owned(spec)?;
    let mut routes: HashMap<String, Vec<Rc<PolicyRoute>>> = HashMap::new();
    for route in document.routes {
        let host = route.host.to_ascii_lowercase();
        let name = route.name.clone();
        let decoded = decode_route(route).map_err(|(_, fault)| format!("route {name}: {fault}"))?;
        routes.entry(host).or_default().push(Rc::new(decoded));
    }
    for host_routes in routes.values_mut() {
        host_routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
    }
    let services = document.services.into_iter().map(decode_service);
    let mut keys = HashMap::new();
    let mut workspaces = BTreeMap::new();
    for tenant in document.tenants {
        let name: WorkspaceId = tenant.name.as_str().into();
        keys.extend(decode_keys(&tenant).map(|key| (key, name.clone())));
        workspaces.insert(name, decode_workspace(&tenant));
    }
    Ok(FleetPolicy {
        version: document.version,
        routes,
        services: services.collect(),
        shared_cache_namespace: shared_cache_namespace(&workspaces),
        workspaces,
        keys,
        max_header_bytes: document
            .limits
            .max_header_bytes
            .unwrap_or(DEFAULT_MAX_HEADER_BYTES),
        max_body_bytes: document
            .limits
            .max_body_bytes
            .unwrap_or(DEFAULT_MAX_BODY_BYTES),
        header_timeout: duration_ms(document.limits.header_timeout_ms, DEFAULT_HEADER_TIMEOUT_MS),
        idle_timeout: duration_ms(document.limits.idle_timeout_ms, DEFAULT_IDLE_TIMEOUT_MS),
    })
}

/// Decodes a route. The error names a field and states what is wrong with it.
pub(super) fn decode_route(route: Route) -> Result<PolicyRoute, (&'static str, String)> {
    let kind = match route.kind.as_str() {
        "idempotent" => RequestKind::Idempotent,
        "non_idempotent" => RequestKind::SingleRun,
        "streaming" => RequestKind::Stream {
            is_resumable: route.resumable,
        },
        other => {
            let fault = format!(
                "unknown kind {other:?}; it must be `idempotent`, `non_idempotent` or `streaming`"
            );
            return Err(("kind", fault));
        }
    };
    let mut services: Vec<WeightedService> = route
        .traffic_split
        .into_iter()
        .map(|split| WeightedService {
            service: split.service.into(),
            weight: split.weight.max(0.0) as u32,
        })
        .collect();
    if services.is_empty() {
        let service = route.service.ok_or_else(|| {
            (
                "service",
                "is missing, and `traffic_split` names none".to_owned(),
            )
        })?;
        services.push(WeightedService {
            service: service.into(),
            weight: 1,
        });
    }
    Ok(PolicyRoute {
        name: route.name.into(),
        path_prefix: route.path_prefix,
        kind,
        services,
        max_attempts: route.max_attempts.unwrap_or(1).max(1),
        timeout: duration_ms(route.timeout_ms, DEFAULT_TIMEOUT_MS),
        latency_objective: duration_ms(route.target_latency_ms, DEFAULT_LATENCY_OBJECTIVE_MS),
        max_event_gap: duration_ms(route.gap_aim_ms, DEFAULT_MAX_EVENT_GAP_MS),
        priority: route.priority,
        is_public: route.public,
    })
}

pub(super) fn decode_service(service: Service) -> (Arc<str>, PolicyService) {
    let decoded = PolicyService {
        engine: service.engine.map(decode_engine),
        kv_store: service.kv_store_addr,
        kv_link_bytes_per_s: service
            .link_mbps
            .map_or(f64::INFINITY, |mbps| amount(mbps) * BYTES_PER_MEGABIT),
    };
    (service.name.into(), decoded)
}

fn decode_engine(engine: Engine) -> EngineTraits {
    let models = engine.models.into_iter().map(|model| model.name.into());
    EngineTraits {
        models: models.collect(),
        kv_bytes_per_token: amount(engine.kv_token_bytes),
    }
}

/// Returns the hashes of a workspace's keys.
pub(super) fn decode_keys(tenant: &Tenant) -> impl Iterator<Item = KeyHash> {
    let keys = tenant.api_keys.iter();
    keys.map(|key| sha256_hex(key.as_bytes()).into())
}

pub(super) fn decode_workspace(tenant: &Tenant) -> PolicyWorkspace {
    PolicyWorkspace {
        unit: match tenant.unit.as_str() {
            "tokens" => QuotaUnit::Tokens,
            _ => QuotaUnit::Requests,
        },
        rate_per_s: amount(tenant.rate_per_s),
        burst: amount(tenant.burst),
        default_tokens: tenant.plain_tokens.min(MAX_TOKENS),
        priority: tenant.priority,
        is_cache_isolated: tenant.dedicated,
    }
}

/// Returns an amount within the range that the rest of the program computes with.
fn amount(value: f64) -> f64 {
    value.clamp(0.0, MAX_AMOUNT)
}

fn duration_ms(value: Option<f64>, default: f64) -> Duration {
    Duration::from_secs_f64(value.unwrap_or(default).clamp(0.0, MAX_DURATION_MS) / 1000.0)
}
