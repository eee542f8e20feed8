//! Admission of relayed requests: route, API key and quota units.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use http::request::Parts;

use crate::core::fleet::{FleetPolicy, PolicyRoute, QuotaUnit};
use crate::core::ids::{Tokens, WorkspaceId};
use crate::core::relay::RelayHead;
use crate::ops::fleet::Fleet;
use crate::ops::proxy::refusal::{Refusal, RefusalCode};
use crate::util::hash::stable_hash;

/// Retry delay for clients while this instance cannot tell whether its configuration is current.
/// Another instance may be able to serve the request.
const STALE_RETRY_AFTER: Duration = Duration::from_millis(300);

/// The result of admitting a request.
#[derive(Debug, Clone)]
pub(super) struct Admission {
    pub(super) policy: Rc<FleetPolicy>,
    pub(super) route: Rc<PolicyRoute>,
    pub(super) service: Arc<str>,
    pub(super) workspace: Option<WorkspaceId>,
}

impl Admission {
    /// Returns the configured priority: that of the workspace, otherwise that of the route.
    pub(super) fn priority(&self) -> u8 {
        let workspace = self.workspace.as_ref();
        let policy = workspace.and_then(|name| self.policy.workspaces.get(name));
        let priority = policy.and_then(|policy| policy.priority);
        priority.unwrap_or(self.route.priority)
    }
}

/// Admits a request according to the active configuration. If the configuration may be outdated, a
/// missing route or key is answered with a temporary refusal, because a newer version may contain
/// it.
pub(super) fn admit(fleet: &Fleet, head: &RelayHead, path: &str) -> Result<Admission, Refusal> {
    let policy = active_policy(fleet)?;
    let Some(route) = policy.match_route(&head.host, path) else {
        return Err(deny(fleet, RefusalCode::UnknownRoute, "no such route"));
    };
    let route = Rc::clone(route);
    let needs_key = !route.is_public && !policy.workspaces.is_empty();
    let workspace = match needs_key {
        true => Some(authenticate(fleet, &policy, head)?),
        false => None,
    };
    let service = choose_service(&route, head);
    Ok(Admission {
        policy,
        route,
        service,
        workspace,
    })
}

/// Returns the workspace of the request's key according to the active configuration.
pub(super) fn check_key(fleet: &Fleet, head: &RelayHead) -> Result<WorkspaceId, Refusal> {
    authenticate(fleet, &*active_policy(fleet)?, head)
}

/// Checks the sizes of a request against the active configuration. `body_bytes` is what is known of
/// the body's size. If the configuration may be outdated, the refusal is temporary, because a newer
/// version may allow more.
pub(super) fn check_size(
    fleet: &Fleet,
    policy: &FleetPolicy,
    parts: &Parts,
    body_bytes: u64,
) -> Result<(), Refusal> {
    let (header_limit, body_limit) = (policy.max_header_bytes, policy.max_body_bytes);
    if head_bytes(parts) > header_limit {
        let message = format!("the head is larger than {header_limit} bytes");
        return Err(deny(fleet, RefusalCode::HeadTooLarge, &message));
    }
    if body_bytes > body_limit as u64 {
        return Err(body_too_large(fleet, body_limit));
    }
    Ok(())
}

/// Refuses a body that is larger than `limit`.
pub(super) fn body_too_large(fleet: &Fleet, limit: usize) -> Refusal {
    let message = format!("the body is larger than {limit} bytes");
    deny(fleet, RefusalCode::RequestTooLarge, &message)
}

/// Returns the size of the head as it is sent over HTTP/1.1, without optional white space.
fn head_bytes(parts: &Parts) -> usize {
    /// Spaces, version and line end.
    const REQUEST_LINE_BYTES: usize = "  HTTP/1.1\r\n".len();
    const HEADER_LINE_BYTES: usize = ": \r\n".len();
    let uri = &parts.uri;
    let uri_bytes = uri.path_and_query().map_or(0, |path| path.as_str().len());
    let headers = parts.headers.iter();
    let header_bytes =
        headers.map(|(name, value)| name.as_str().len() + value.len() + HEADER_LINE_BYTES);
    parts.method.as_str().len()
        + uri_bytes
        + REQUEST_LINE_BYTES
        + header_bytes.sum::<usize>()
        + "\r\n".len()
}

fn active_policy(fleet: &Fleet) -> Result<Rc<FleetPolicy>, Refusal> {
    let policy = fleet.policy();
    policy.ok_or_else(|| not_ready("the instance has no configuration yet"))
}

fn authenticate(
    fleet: &Fleet,
    policy: &FleetPolicy,
    head: &RelayHead,
) -> Result<WorkspaceId, Refusal> {
    let key = head.key.as_ref();
    let Some(workspace) = key.and_then(|key| policy.keys.get(key)) else {
        return Err(deny(fleet, RefusalCode::InvalidKey, "the key is not known"));
    };
    fleet.check_config_fresh().map_err(|stale| {
        let message = match stale.age {
            Some(age) => format!(
                "the configuration was last known to be the newest {} ms ago",
                age.as_millis()
            ),
            None => "the configuration is not known to be the newest".to_owned(),
        };
        not_ready(message)
    })?;
    Ok(workspace.clone())
}

/// Returns the refusal for an unknown route or key. It is temporary if the configuration may be
/// outdated.
fn deny(fleet: &Fleet, code: RefusalCode, message: &str) -> Refusal {
    match fleet.may_reject_unknown() {
        true => Refusal::not_run(code, message),
        false => not_ready(format!("{message} in a configuration that may be old")),
    }
}

fn not_ready(message: impl Into<String>) -> Refusal {
    Refusal::not_run(RefusalCode::NotReady, message).with_retry_after(STALE_RETRY_AFTER)
}

/// Chooses the service of a request. A route with several services splits its traffic by weight.
/// The choice depends only on the request id, so all sends of a request go to the same service.
fn choose_service(route: &PolicyRoute, head: &RelayHead) -> Arc<str> {
    let total: u64 = route
        .services
        .iter()
        .map(|weighted_service| u64::from(weighted_service.weight))
        .sum();
    let mut offset = stable_hash(0, head.id.as_bytes()) % total.max(1);
    for weighted_service in &route.services {
        let weight = u64::from(weighted_service.weight);
        if offset < weight {
            return Arc::clone(&weighted_service.service);
        }
        offset -= weight;
    }
    Arc::clone(&route.services[0].service)
}

/// Returns the units that the request counts against its workspace's quota.
pub(super) fn quota_units(admission: &Admission, head: &RelayHead) -> Tokens {
    let workspace = admission.workspace.as_ref();
    let Some(limits) = workspace.and_then(|name| admission.policy.workspaces.get(name)) else {
        return 0;
    };
    match (limits.unit, &head.prompt) {
        (QuotaUnit::Requests, _) => 1,
        (QuotaUnit::Tokens, Some(prompt)) => prompt.prompt_tokens + prompt.max_output_tokens,
        (QuotaUnit::Tokens, None) => limits.default_tokens,
    }
}
