//! Validation of a fleet configuration beyond the types of its fields.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::{FleetConfig, Route, Target, TargetKind, Workspace};

/// Tokens of one typical request: a prompt of two blocks of about 1,000 tokens and the default
/// allowance for generated tokens.
pub const TYPICAL_REQUEST_TOKENS: u64 = 2_256;

/// Largest number of entries in a section.
pub const MAX_ENTRIES: usize = 10_000;

/// A rule that a configuration violates.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Violation {
    /// Keys from the root to the setting.
    pub path: Vec<String>,
    /// What is wrong and how to fix it.
    pub message: String,
    /// Whether the violation is an error, which prevents the configuration from being applied.
    /// Otherwise it is a warning.
    pub is_error: bool,
    /// Whether the rule depends on other entries. Such a violation is not meaningful for a
    /// configuration from which invalid entries were removed.
    pub depends_on_other_entries: bool,
}

#[derive(Default)]
struct Violations(Vec<Violation>);

impl Violations {
    fn add(&mut self, path: &[&str], message: String, is_error: bool) -> &mut Violation {
        self.0.push(Violation {
            path: path.iter().map(|key| (*key).to_owned()).collect(),
            message,
            is_error,
            depends_on_other_entries: false,
        });
        self.0.last_mut().expect("an element was pushed")
    }

    fn undefined(&mut self, path: &[&str], kind: &str, name: &str) {
        let message = format!("{kind} `{name}` is not defined");
        self.add(path, message, true).depends_on_other_entries = true;
    }

    fn error(&mut self, path: &[&str], message: impl Into<String>) {
        self.add(path, message.into(), true);
    }

    fn warning(&mut self, path: &[&str], message: impl Into<String>) {
        self.add(path, message.into(), false);
    }
}

/// Validates a configuration.
pub fn check_fleet(fleet: &FleetConfig) -> Vec<Violation> {
    let mut violations = Violations::default();
    check_layout(fleet, &mut violations);
    check_workspaces(fleet, &mut violations);
    check_keys(fleet, &mut violations);
    check_models(fleet, &mut violations);
    check_targets(fleet, &mut violations);
    check_routes(fleet, &mut violations);
    violations.0
}

/// Validates the change from one configuration to the next.
pub fn check_change(previous: &FleetConfig, next: &FleetConfig) -> Vec<Violation> {
    let mut violations = Violations::default();
    if previous.limit_layout != next.limit_layout {
        violations.error(
            &["limit_layout"],
            "must not change after the first apply, because the shares of all slots must add up \
             to one rate",
        );
    }
    for hash in &previous.withdrawn_keys {
        if next.keys.contains_key(hash) && !next.withdrawn_keys.contains(hash) {
            violations.error(
                &["keys", hash],
                "the key was withdrawn and is never granted again",
            );
        }
    }
    violations.0
}

fn check_layout(fleet: &FleetConfig, violations: &mut Violations) {
    let layout = fleet.limit_layout;
    if layout.shards == 0 || layout.slots == 0 {
        violations.error(&["limit_layout"], "shards and slots must be at least 1");
    }
    let counts = [
        ("workspaces", fleet.workspaces.len()),
        ("keys", fleet.keys.len()),
        ("models", fleet.models.len()),
        ("targets", fleet.targets.len()),
        ("routes", fleet.routes.len()),
    ];
    for (section, count) in counts {
        if count > MAX_ENTRIES {
            let message = format!("{count} entries; at most {MAX_ENTRIES} are allowed");
            violations.error(&[section], message);
        }
    }
}

fn check_workspaces(fleet: &FleetConfig, violations: &mut Violations) {
    for (name, workspace) in &fleet.workspaces {
        check_limits(name, workspace, fleet.limit_layout.slots, violations);
        if workspace.weight == 0 {
            violations.error(&["workspaces", name, "weight"], "must be at least 1");
        }
    }
}

fn check_limits(name: &str, workspace: &Workspace, slots: u32, violations: &mut Violations) {
    let (rate, burst) = (workspace.rate_tokens_per_s, workspace.burst_tokens);
    let burst_path = ["workspaces", name, "burst_tokens"];
    if rate == 0 {
        let message = "a rate of 0 admits no request after the burst; remove the workspace instead";
        violations.error(&["workspaces", name, "rate_tokens_per_s"], message);
    }
    if burst < rate {
        let message = format!(
            "burst {burst} is below rate × 1 s = {rate}; the rate cannot be served, raise the \
             burst to at least {rate}"
        );
        violations.error(&burst_path, message);
    }
    let per_slot = burst / u64::from(slots.max(1));
    if per_slot < TYPICAL_REQUEST_TOKENS {
        let message = format!(
            "burst {burst} leaves {per_slot} tokens for each of {slots} slots, below one typical \
             request of {TYPICAL_REQUEST_TOKENS}; requests will be charged in parts"
        );
        violations.warning(&burst_path, message);
    }
}

fn check_keys(fleet: &FleetConfig, violations: &mut Violations) {
    for (hash, grant) in &fleet.keys {
        if !is_sha256_hex(hash) {
            let message = "must be a lower-case hexadecimal SHA-256 hash, never the key itself";
            violations.error(&["keys", hash], message);
        }
        if !fleet.workspaces.contains_key(&grant.workspace) {
            violations.undefined(&["keys", hash, "workspace"], "workspace", &grant.workspace);
        }
        if fleet.withdrawn_keys.contains(hash) {
            let message = "the key is granted and withdrawn; it is refused, remove the grant";
            violations.error(&["keys", hash], message);
        }
    }
}

/// Whether `text` is a lower-case hexadecimal SHA-256 hash.
pub fn is_sha256_hex(text: &str) -> bool {
    text.len() == 64
        && text
            .bytes()
            .all(|byte| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte))
}

fn check_models(fleet: &FleetConfig, violations: &mut Violations) {
    for (name, model) in &fleet.models {
        for (field, value) in [
            ("block_bytes", model.block_bytes),
            ("min_bytes_per_token", model.min_bytes_per_token),
        ] {
            if value == 0 {
                violations.error(&["models", name, field], "must be at least 1");
            }
        }
        if model.default_max_tokens > model.max_tokens_limit {
            let message = format!("is above max_tokens_limit = {}", model.max_tokens_limit);
            violations.error(&["models", name, "default_max_tokens"], message);
        }
        let engines = fleet
            .targets
            .values()
            .filter(|target| target.models.contains(name))
            .count();
        if engines < model.min_ready_targets as usize {
            let message = format!(
                "{} ready targets are wanted, but {engines} targets may serve the model",
                model.min_ready_targets
            );
            let path = ["models", name, "min_ready_targets"];
            violations
                .add(&path, message, false)
                .depends_on_other_entries = true;
        }
    }
}

fn check_targets(fleet: &FleetConfig, violations: &mut Violations) {
    let mut by_address: BTreeMap<SocketAddr, &str> = BTreeMap::new();
    for (name, target) in &fleet.targets {
        if let Some(first) = by_address.insert(target.address, name) {
            let message = format!("target `{first}` has the same address {}", target.address);
            violations.error(&["targets", name, "address"], message);
        }
        check_target(fleet, name, target, violations);
    }
}

fn check_target(fleet: &FleetConfig, name: &str, target: &Target, violations: &mut Violations) {
    let path = ["targets", name, "models"];
    for model in &target.models {
        if !fleet.models.contains_key(model) {
            violations.undefined(&path, "model", model);
        }
    }
    if target.kind != TargetKind::Engine && !target.models.is_empty() {
        violations.error(&path, "only engines serve models");
    }
    if target.kind == TargetKind::Engine && target.models.is_empty() {
        violations.warning(&path, "the engine serves no model");
    }
    if target.max_running == 0 {
        violations.error(&["targets", name, "max_running"], "must be at least 1");
    }
}

fn check_routes(fleet: &FleetConfig, violations: &mut Violations) {
    let mut seen: BTreeMap<(Option<&str>, &str), &str> = BTreeMap::new();
    for (name, route) in &fleet.routes {
        let matched = (route.host.as_deref(), route.path_prefix.as_str());
        if let Some(first) = seen.insert(matched, name) {
            let message = format!("route `{first}` matches the same host and path");
            violations.error(&["routes", name, "path_prefix"], message);
        }
        check_route(fleet, name, route, violations);
    }
}

fn check_route(fleet: &FleetConfig, name: &str, route: &Route, violations: &mut Violations) {
    if !route.path_prefix.starts_with('/') {
        violations.error(&["routes", name, "path_prefix"], "must begin with `/`");
    }
    if route.targets.is_empty() {
        violations.error(&["routes", name, "targets"], "must name a target");
    }
    for target in &route.targets {
        if !fleet.targets.contains_key(target) {
            violations.undefined(&["routes", name, "targets"], "target", target);
        }
    }
    for workspace in &route.workspaces {
        if !fleet.workspaces.contains_key(workspace) {
            violations.undefined(&["routes", name, "workspaces"], "workspace", workspace);
        }
    }
    if route.is_idempotent
        && (route.idempotency_header.is_some() || route.idempotency_field.is_some())
    {
        let message = "an idempotent route makes no claims; remove the idempotency key or this";
        violations.warning(&["routes", name, "is_idempotent"], message);
    }
}
