//! Checks of a configuration before it is put in force, beyond what makes it unusable.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use super::{FleetPolicy, PolicyRoute, PolicyService, PolicyWorkspace, QuotaUnit};
use crate::core::capacity::MAX_HEAD_BYTES;
use crate::core::ids::{ConfigVersion, KeyHash, WorkspaceId};
use crate::core::relay::{FIRST_ATTEMPT_TIME_RATIO, MAX_SENDS, MIN_SEND_TIME};
use crate::util::duration::ms;

/// The entries of a configuration in their order, with those that others replace.
#[derive(Debug, Clone)]
pub struct PolicyDraft {
    /// The configuration as it is used.
    pub policy: FleetPolicy,
    /// Routes with their hosts in lower case.
    pub routes: Vec<(String, Rc<PolicyRoute>)>,
    /// Services by name.
    pub services: Vec<(Arc<str>, PolicyService)>,
    /// Workspaces by name, with their keys.
    pub workspaces: Vec<(WorkspaceId, PolicyWorkspace, Vec<KeyHash>)>,
}

/// What a configuration is checked against.
#[derive(Debug, Clone, Default)]
pub struct DraftContext {
    /// Version in force.
    pub version_in_force: Option<ConfigVersion>,
    /// Number of targets of each service; `None` if they are not known.
    pub targets: Option<BTreeMap<Arc<str>, usize>>,
}

/// An entry of a configuration, by its position in its list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DraftEntry {
    /// The configuration itself.
    Root,
    /// A route.
    Route(usize),
    /// A service.
    Service(usize),
    /// A workspace.
    Workspace(usize),
    /// The limits of requests.
    Limits,
}

/// A setting of an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DraftSetting {
    /// The entry as a whole.
    Whole,
    /// Version of the configuration.
    Version,
    /// Prefix of a route's paths.
    PathPrefix,
    /// Services of a route.
    Services,
    /// Attempts of a route.
    MaxAttempts,
    /// Deadline of a route.
    Timeout,
    /// Latency objective of a route.
    LatencyObjective,
    /// Longest gap between the events of a route's streams.
    EventGap,
    /// Address of a KV cache store.
    KvStore,
    /// Keys of a workspace.
    Keys,
    /// Units that a workspace may use at once.
    Burst,
    /// Largest head.
    MaxHeadBytes,
    /// Largest body.
    MaxBodyBytes,
    /// Time for a head.
    HeaderTimeout,
}

/// Something about a configuration that is probably not intended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DraftFinding {
    /// The entry.
    pub entry: DraftEntry,
    /// Its setting.
    pub setting: DraftSetting,
    /// What is wrong and what would be correct.
    pub message: String,
    /// Whether the configuration would not be put in force.
    pub is_error: bool,
}

/// Checks a configuration.
pub fn check_draft(draft: &PolicyDraft, context: &DraftContext) -> Vec<DraftFinding> {
    let index = DraftIndex::new(draft);
    let mut findings = Findings::default();
    check_version(draft, context, &mut findings);
    for (position, (host, route)) in draft.routes.iter().enumerate() {
        check_reachable(&index, position, host, route, &mut findings);
        check_services(&index, position, route, &mut findings);
        check_times(position, route, &mut findings);
        check_attempts(position, route, context, &mut findings);
    }
    for position in 0..draft.services.len() {
        check_service(&index, position, &mut findings);
    }
    for position in 0..draft.workspaces.len() {
        check_workspace(&index, position, &mut findings);
    }
    check_limits(&draft.policy, &mut findings);
    findings.0
}

/// Positions of the entries of a draft, so that the time of a check does not grow with the square of their number.
struct DraftIndex<'a> {
    draft: &'a PolicyDraft,
    /// First route of each host and prefix.
    first_routes: HashMap<(&'a str, &'a str), usize>,
    routed_services: HashSet<&'a str>,
    /// Last service and workspace of each name, which are the ones in use.
    last_services: HashMap<&'a str, usize>,
    last_workspaces: HashMap<&'a str, usize>,
    /// Last workspace of each key, which is the one that gets its requests.
    last_holders: HashMap<&'a KeyHash, usize>,
}

impl<'a> DraftIndex<'a> {
    fn new(draft: &'a PolicyDraft) -> Self {
        let mut first_routes = HashMap::new();
        for (position, (host, route)) in draft.routes.iter().enumerate() {
            let place = (host.as_str(), route.path_prefix.as_str());
            first_routes.entry(place).or_insert(position);
        }
        let routes = draft.routes.iter();
        let routed = routes.flat_map(|(_, route)| route.services.iter());
        let services = draft.services.iter().enumerate();
        let workspaces = draft.workspaces.iter().enumerate();
        let holders = workspaces.clone();
        let holders = holders
            .flat_map(|(position, (_, _, keys))| keys.iter().map(move |key| (key, position)));
        Self {
            draft,
            first_routes,
            routed_services: routed.map(|weighted| &*weighted.service).collect(),
            last_services: services
                .map(|(position, (name, _))| (&**name, position))
                .collect(),
            last_workspaces: workspaces
                .map(|(position, (name, ..))| (&**name, position))
                .collect(),
            last_holders: holders.collect(),
        }
    }
}

#[derive(Default)]
struct Findings(Vec<DraftFinding>);

impl Findings {
    fn warn(&mut self, entry: DraftEntry, setting: DraftSetting, message: String) {
        self.0.push(DraftFinding {
            entry,
            setting,
            message,
            is_error: false,
        });
    }
}

fn check_version(draft: &PolicyDraft, context: &DraftContext, findings: &mut Findings) {
    let version = draft.policy.version;
    if let Some(in_force) = context.version_in_force.filter(|active| version <= *active) {
        findings.0.push(DraftFinding {
            entry: DraftEntry::Root,
            setting: DraftSetting::Version,
            message: format!(
                "must be above {in_force}, the version in force; instances ignore others"
            ),
            is_error: true,
        });
    }
}

/// Checks whether any request can match a route. A longer prefix always comes first, so only an equal one hides a
/// route.
fn check_reachable(
    index: &DraftIndex<'_>,
    position: usize,
    host: &str,
    route: &PolicyRoute,
    findings: &mut Findings,
) {
    let entry = DraftEntry::Route(position);
    if !route.path_prefix.starts_with('/') {
        let message = "never matches, as every path begins with `/`".to_owned();
        findings.warn(entry, DraftSetting::PathPrefix, message);
    }
    let first = index.first_routes[&(host, route.path_prefix.as_str())];
    if first != position {
        let name = index.draft.routes[first].1.name.escape_debug();
        let message = format!(
            "never matches: route {first} (`{name}`) has the same host and prefix; remove one of them"
        );
        findings.warn(entry, DraftSetting::Whole, message);
    }
}

fn check_services(
    index: &DraftIndex<'_>,
    position: usize,
    route: &PolicyRoute,
    findings: &mut Findings,
) {
    let entry = DraftEntry::Route(position);
    let weights = route
        .services
        .iter()
        .map(|weighted| u64::from(weighted.weight));
    let total: u64 = weights.sum();
    for (place, weighted) in route.services.iter().enumerate() {
        let name = weighted.service.escape_debug();
        let mut warn = |message| findings.warn(entry, DraftSetting::Services, message);
        match index.draft.policy.services.get(&weighted.service) {
            None => warn(format!("service `{name}` is not defined")),
            Some(service) if service.kv_store.is_some() => {
                warn(format!(
                    "service `{name}` is a KV cache store, which serves no requests"
                ));
            }
            Some(_) => {}
        }
        // Without any weight the first service gets all requests.
        if weighted.weight == 0 && (total > 0 || place > 0) {
            warn(format!(
                "service `{name}` gets no requests; its weight must be at least 1"
            ));
        }
    }
}

fn check_times(index: usize, route: &PolicyRoute, findings: &mut Findings) {
    let entry = DraftEntry::Route(index);
    let floor = attempts_floor(route.max_attempts);
    if route.timeout < floor {
        let message = format!(
            "leaves no time for the last of {} attempts; it must be at least {} ms, or the attempts fewer",
            route.max_attempts,
            ms(floor)
        );
        findings.warn(entry, DraftSetting::Timeout, message);
    }
    let timeout_ms = ms(route.timeout);
    if route.latency_objective > route.timeout {
        let message =
            format!("is later than the deadline of {timeout_ms} ms, so that it never applies");
        findings.warn(entry, DraftSetting::LatencyObjective, message);
    }
    if route.kind.is_stream() && route.max_event_gap > route.timeout {
        let message =
            format!("is longer than the deadline of {timeout_ms} ms, so that it never applies");
        findings.warn(entry, DraftSetting::EventGap, message);
    }
}

/// Shortest deadline that leaves time to send each attempt, if all earlier ones are awaited as long as they may be.
fn attempts_floor(attempts: u32) -> Duration {
    let earlier = attempts.min(MAX_SENDS).saturating_sub(1);
    MIN_SEND_TIME.div_f64((1.0 - FIRST_ATTEMPT_TIME_RATIO).powi(earlier as i32))
}

fn check_attempts(
    index: usize,
    route: &PolicyRoute,
    context: &DraftContext,
    findings: &mut Findings,
) {
    let Some(targets) = &context.targets else {
        return;
    };
    for weighted in route.services.iter().filter(|weighted| weighted.weight > 0) {
        let count = targets.get(&weighted.service).copied().unwrap_or(0);
        if (route.max_attempts as usize) > count {
            let message = format!(
                "exceeds the {count} targets of service `{}`; an attempt is a target",
                weighted.service.escape_debug()
            );
            findings.warn(DraftEntry::Route(index), DraftSetting::MaxAttempts, message);
        }
    }
}

fn check_service(index: &DraftIndex<'_>, position: usize, findings: &mut Findings) {
    let entry = DraftEntry::Service(position);
    let (name, service) = &index.draft.services[position];
    let last = index.last_services[&**name];
    if last != position {
        let message = format!("service {last} has the same name and replaces it");
        findings.warn(entry, DraftSetting::Whole, message);
        return;
    }
    if service.engine.is_some() && service.kv_store.is_some() {
        let message =
            "states a KV cache store for a service of engines; remove one of them".to_owned();
        findings.warn(entry, DraftSetting::KvStore, message);
    }
    if service.kv_store.is_none() && !index.routed_services.contains(&**name) {
        let message =
            "is neither named by a route nor a KV cache store, so that it is never used".to_owned();
        findings.warn(entry, DraftSetting::Whole, message);
    }
}

fn check_workspace(index: &DraftIndex<'_>, position: usize, findings: &mut Findings) {
    let entry = DraftEntry::Workspace(position);
    let (name, workspace, keys) = &index.draft.workspaces[position];
    let last = index.last_workspaces[&**name];
    if last != position {
        let message = format!("workspace {last} has the same name and replaces it");
        findings.warn(entry, DraftSetting::Whole, message);
        return;
    }
    if keys.is_empty() {
        let message = "is empty, so that no request belongs to the workspace".to_owned();
        findings.warn(entry, DraftSetting::Keys, message);
    }
    for (place, key) in keys.iter().enumerate() {
        let holder = index.last_holders[key];
        if holder != position {
            let message =
                format!("key {place} is also one of workspace {holder}, which gets its requests");
            findings.warn(entry, DraftSetting::Keys, message);
        }
    }
    let request_units = match workspace.unit {
        QuotaUnit::Requests => 1,
        QuotaUnit::Tokens => workspace.default_tokens.max(1),
    };
    if workspace.rate_per_s > 0.0 && workspace.burst < request_units as f64 {
        let message = format!(
            "is below the size of one request ({request_units}), which then waits for the whole of it"
        );
        findings.warn(entry, DraftSetting::Burst, message);
    }
}

fn check_limits(policy: &FleetPolicy, findings: &mut Findings) {
    let mut warn = |setting, message: &str| {
        findings.warn(DraftEntry::Limits, setting, message.to_owned());
    };
    if policy.max_header_bytes == 0 {
        warn(DraftSetting::MaxHeadBytes, "refuses every request");
    }
    if policy.max_header_bytes > MAX_HEAD_BYTES {
        let message =
            format!("has no effect beyond {MAX_HEAD_BYTES}, which a connection accepts at most");
        warn(DraftSetting::MaxHeadBytes, &message);
    }
    if policy.max_body_bytes == 0 {
        warn(
            DraftSetting::MaxBodyBytes,
            "refuses every request that has a body",
        );
    }
    if policy.header_timeout.is_zero() {
        warn(DraftSetting::HeaderTimeout, "leaves no time to send a head");
    }
}
