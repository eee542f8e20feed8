//! Handlers for instances, targets and leases.

use std::rc::Rc;

use http::StatusCode;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use super::{AdminCall, config_entries::active_config};
use crate::core::config::{FleetConfig, TargetKind};
use crate::ops::admin::lease_break::break_session;
use crate::ops::admin::reply::{ApiError, ApiErrorCode, Reply};
use crate::ops::admin::server::AdminState;
use crate::ops::kernel::Lifecycle;
use crate::ops::platform::{PlatformClient, StoredObject};
use crate::ops::services::{
    ConfigService, LeaseAdminService, LeaseBreakError, MemberService, MemberState,
};

/// Key prefixes of the platform objects that represent leases.
const LEASE_PREFIXES: [&str; 3] = ["sessions/", "limits/", "orders/lease"];

/// Maximum number of lease objects that one request reads per prefix.
const MAX_LEASES_PER_PREFIX: u32 = 1000;

#[derive(Serialize)]
struct InstanceStatus {
    instance: String,
    incarnation: u64,
    state: &'static str,
    region: String,
    failure_domain: String,
    config_version: u64,
    is_self: bool,
}

#[derive(Serialize)]
struct TargetStatus<'a> {
    kind: TargetKind,
    address: std::net::SocketAddr,
    failure_domain: &'a str,
    models: &'a [crate::core::ids::ModelId],
    is_draining: bool,
    is_leaving: bool,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct DrainBody {
    #[serde(default = "default_is_draining")]
    is_draining: bool,
}

fn default_is_draining() -> bool {
    true
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct BreakLeaseBody {
    instance: String,
}

fn config_version(state: &AdminState) -> u64 {
    let current = state.context.service::<dyn ConfigService>().current();
    current.map_or(0, |config| config.version)
}

fn lifecycle(state: &AdminState) -> &'static str {
    match state.context.shutdown().lifecycle() {
        Lifecycle::Running => "running",
        Lifecycle::Draining => "draining",
        Lifecycle::Closing => "closing",
    }
}

pub(super) fn readiness(state: &AdminState) -> Result<Reply, ApiError> {
    let is_running = state.context.shutdown().lifecycle() == Lifecycle::Running;
    if is_running && config_version(state) > 0 {
        return Ok(Reply::ok(json!({ "status": "ready" })));
    }
    let message = match is_running {
        true => "the instance has no configuration yet",
        false => "the instance is stopping",
    };
    Err(ApiError::new(ApiErrorCode::NotReady, message))
}

pub(super) fn status(state: &AdminState) -> Result<Reply, ApiError> {
    let settings = state.context.settings();
    let members = state.context.service::<dyn MemberService>();
    let config = state.context.service::<dyn ConfigService>().current();
    let fleet = config.as_ref().map(|config| &config.fleet);
    Ok(Reply::ok(json!({
        "instance": members.self_id(),
        "incarnation": members.self_incarnation(),
        "program_version": env!("CARGO_PKG_VERSION"),
        "region": settings.instance.region,
        "failure_domain": settings.instance.failure_domain,
        "lifecycle": lifecycle(state),
        "uptime_s": state.context.timers().now().as_secs(),
        "config_version": config_version(state),
        "members": members.members().len(),
        "workspaces": fleet.map_or(0, |fleet| fleet.workspaces.len()),
        "keys": fleet.map_or(0, |fleet| fleet.keys.len()),
        "targets": fleet.map_or(0, |fleet| fleet.targets.len()),
        "leaving_targets": members.leaving_targets().len(),
        "spans_dropped": state.context.tracer().dropped(),
    })))
}

pub(super) fn instances(state: &AdminState) -> Result<Reply, ApiError> {
    let settings = &state.context.settings().instance;
    let members = state.context.service::<dyn MemberService>();
    let local_state = match state.context.shutdown().lifecycle() {
        Lifecycle::Running => "alive",
        Lifecycle::Draining | Lifecycle::Closing => "leaving",
    };
    let mut instances = vec![InstanceStatus {
        instance: members.self_id().to_string(),
        incarnation: members.self_incarnation(),
        state: local_state,
        region: settings.region.clone(),
        failure_domain: settings.failure_domain.clone(),
        config_version: config_version(state),
        is_self: true,
    }];
    instances.extend(members.members().into_iter().map(|member| InstanceStatus {
        instance: member.instance.to_string(),
        incarnation: member.incarnation,
        state: member_state(member.state),
        region: member.region,
        failure_domain: member.failure_domain,
        config_version: member.config_version,
        is_self: false,
    }));
    instances.sort_by(|a, b| a.instance.cmp(&b.instance));
    Ok(Reply::ok(json!({ "instances": instances })))
}

fn member_state(state: MemberState) -> &'static str {
    match state {
        MemberState::Alive => "alive",
        MemberState::Suspect => "suspect",
        MemberState::Leaving => "leaving",
        MemberState::Dead => "dead",
    }
}

pub(super) fn drain_instance(state: &AdminState) -> Result<Reply, ApiError> {
    state.context.request_stop();
    Ok(Reply {
        status: StatusCode::ACCEPTED,
        body: json!({ "lifecycle": lifecycle(state) }),
    })
}

pub(super) fn targets(state: &AdminState) -> Result<Reply, ApiError> {
    let config = active_config(state)?;
    let leaving = state
        .context
        .service::<dyn MemberService>()
        .leaving_targets();
    let targets: serde_json::Map<String, Value> = config
        .fleet
        .targets
        .iter()
        .map(|(name, target)| {
            let status = TargetStatus {
                kind: target.kind,
                address: target.address,
                failure_domain: &target.failure_domain,
                models: &target.models,
                is_draining: target.is_draining,
                is_leaving: leaving.contains(name),
            };
            let status = serde_json::to_value(status).unwrap_or_default();
            (name.to_string(), status)
        })
        .collect();
    Ok(Reply::ok(targets))
}

/// Notifies all instances by gossip, which takes effect immediately, then writes the change to the
/// configuration, which survives restarts.
pub(super) async fn drain_target(
    state: &Rc<AdminState>,
    call: &AdminCall,
) -> Result<Reply, ApiError> {
    let body: DrainBody = call.json()?;
    let name = call.parameter.as_str();
    let config = active_config(state)?;
    let (target, _) = config
        .fleet
        .targets
        .get_key_value(name)
        .ok_or_else(|| ApiError::not_found(format!("target `{name}` is not defined")))?;
    let members = state.context.service::<dyn MemberService>();
    members.set_target_leaving(target, body.is_draining);
    let edit = |fleet: &FleetConfig| {
        let mut next = fleet.clone();
        if let Some(target) = next.targets.get_mut(name) {
            target.is_draining = body.is_draining;
        }
        Ok(next)
    };
    let result = state.writer.change(call.metadata()?, None, edit).await;
    Ok(Reply::ok(match result {
        Ok(applied) => json!({
            "target": name, "is_draining": body.is_draining,
            "is_in_configuration": true, "version": applied.version,
        }),
        Err(error) => json!({
            "target": name, "is_draining": body.is_draining,
            "is_in_configuration": false, "reason": error.message,
        }),
    }))
}

pub(super) async fn leases(state: &Rc<AdminState>) -> Result<Reply, ApiError> {
    let platform = state.context.service::<PlatformClient>();
    let mut leases = Vec::new();
    for prefix in LEASE_PREFIXES {
        let objects = platform.list(prefix, "", MAX_LEASES_PER_PREFIX).await?;
        leases.extend(objects.into_iter().map(lease_json));
    }
    Ok(Reply::ok(json!({ "leases": leases })))
}

fn lease_json(object: StoredObject) -> Value {
    json!({ "key": object.key, "object_version": object.version, "value": object.value })
}

pub(super) async fn break_lease(
    state: &Rc<AdminState>,
    call: &AdminCall,
) -> Result<Reply, ApiError> {
    let body: BreakLeaseBody = call.json()?;
    let result = match state.context.find_service::<dyn LeaseAdminService>() {
        Some(leases) => leases.break_session(&body.instance).await,
        None => break_session(&state.context, &body.instance).await,
    };
    match result {
        Ok(()) => Ok(Reply::ok(json!({ "instance": body.instance }))),
        Err(LeaseBreakError::Unavailable) => Err(ApiError::new(
            ApiErrorCode::OutcomeUnknown,
            "the platform did not confirm the change; repeat it",
        )),
        Err(error) => Err(ApiError::new(ApiErrorCode::Rejected, error.to_string())),
    }
}
