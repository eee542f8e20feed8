//! Endpoints of the administration API.

use http::Method;

use crate::ops::settings::Role;

/// Operation of an endpoint. The variant names are the operation ids in the OpenAPI description.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Action {
    /// Check whether the process is alive.
    Health,
    /// Check whether the instance accepts new requests.
    Readiness,
    /// Read the OpenAPI description.
    OpenApi,
    /// Read an overview of this instance.
    Status,
    /// List the instances.
    ListInstances,
    /// Begin a graceful shutdown of this instance.
    DrainInstance,
    /// List the targets.
    ListTargets,
    /// Drain a target or put it back into service.
    DrainTarget,
    /// Read the current configuration.
    ReadConfig,
    /// Replace the configuration if it has the expected version.
    ApplyConfig,
    /// Validate a configuration without applying it.
    CheckConfig,
    /// Compare a configuration with the current one.
    DiffConfig,
    /// List earlier versions of the configuration.
    ListHistory,
    /// Read one earlier version of the configuration.
    ReadHistory,
    /// Apply an earlier version as a new one.
    Rollback,
    /// List the workspaces.
    ListWorkspaces,
    /// Define or replace a workspace.
    SetWorkspace,
    /// Remove a workspace.
    RemoveWorkspace,
    /// Change the rate limit of a workspace.
    SetRate,
    /// List the client keys.
    ListKeys,
    /// Create a client key.
    GrantKey,
    /// Withdraw a client key.
    WithdrawKey,
    /// List the routes.
    ListRoutes,
    /// Define or replace a route.
    SetRoute,
    /// Remove a route.
    RemoveRoute,
    /// List the leases.
    ListLeases,
    /// Assert that an instance is destroyed and end its session.
    BreakLease,
    /// Explain where a prompt would be routed.
    Trace,
    /// List the latest changes made through this instance.
    ListAudit,
}

/// An endpoint of the administration API.
#[derive(Debug, Clone, Copy)]
pub struct Endpoint {
    /// HTTP method.
    pub method: &'static str,
    /// Path pattern; `{name}` matches one segment.
    pub path: &'static str,
    /// Minimum role of the caller; `None` if no key is required.
    pub role: Option<Role>,
    /// Operation.
    pub action: Action,
    /// Summary for the OpenAPI description.
    pub summary: &'static str,
}

impl Endpoint {
    /// Whether requests change state and therefore require an idempotency key.
    pub fn is_change(&self) -> bool {
        let is_read_only = matches!(
            self.action,
            Action::CheckConfig | Action::DiffConfig | Action::Trace
        );
        self.method != "GET" && !is_read_only
    }
}

const fn endpoint(
    method: &'static str,
    path: &'static str,
    role: Option<Role>,
    action: Action,
    summary: &'static str,
) -> Endpoint {
    Endpoint {
        method,
        path,
        role,
        action,
        summary,
    }
}

const VIEWER: Option<Role> = Some(Role::Viewer);
const OPERATOR: Option<Role> = Some(Role::Operator);
const ADMIN: Option<Role> = Some(Role::Admin);

/// All endpoints.
pub const ENDPOINTS: &[Endpoint] = &[
    endpoint(
        "GET",
        "/healthz",
        None,
        Action::Health,
        "Whether the process is alive",
    ),
    endpoint(
        "GET",
        "/readyz",
        None,
        Action::Readiness,
        "Whether the instance accepts new work",
    ),
    endpoint(
        "GET",
        "/v1/openapi.json",
        VIEWER,
        Action::OpenApi,
        "This description",
    ),
    endpoint(
        "GET",
        "/v1/status",
        VIEWER,
        Action::Status,
        "Overview of this instance",
    ),
    endpoint(
        "GET",
        "/v1/instances",
        VIEWER,
        Action::ListInstances,
        "Instances as this one sees them, with their configuration versions",
    ),
    endpoint(
        "POST",
        "/v1/instance/drain",
        OPERATOR,
        Action::DrainInstance,
        "Begin the planned stop of this instance",
    ),
    endpoint(
        "GET",
        "/v1/targets",
        VIEWER,
        Action::ListTargets,
        "Targets and whether they leave",
    ),
    endpoint(
        "POST",
        "/v1/targets/{name}/drain",
        OPERATOR,
        Action::DrainTarget,
        "Take a target out of service, or put it back with is_draining = false",
    ),
    endpoint(
        "GET",
        "/v1/config",
        VIEWER,
        Action::ReadConfig,
        "Current configuration",
    ),
    endpoint(
        "PUT",
        "/v1/config",
        ADMIN,
        Action::ApplyConfig,
        "Replace the configuration if its version is if_version",
    ),
    endpoint(
        "POST",
        "/v1/config/check",
        VIEWER,
        Action::CheckConfig,
        "Findings about a configuration and the step to it",
    ),
    endpoint(
        "POST",
        "/v1/config/diff",
        VIEWER,
        Action::DiffConfig,
        "Differences between the current configuration and another",
    ),
    endpoint(
        "GET",
        "/v1/config/history",
        VIEWER,
        Action::ListHistory,
        "Earlier versions with author and time, latest first",
    ),
    endpoint(
        "GET",
        "/v1/config/history/{version}",
        VIEWER,
        Action::ReadHistory,
        "One earlier version",
    ),
    endpoint(
        "POST",
        "/v1/config/rollback",
        ADMIN,
        Action::Rollback,
        "Apply an earlier version as a new one; withdrawn keys stay withdrawn",
    ),
    endpoint(
        "GET",
        "/v1/workspaces",
        VIEWER,
        Action::ListWorkspaces,
        "Workspaces",
    ),
    endpoint(
        "PUT",
        "/v1/workspaces/{name}",
        OPERATOR,
        Action::SetWorkspace,
        "Define or replace a workspace",
    ),
    endpoint(
        "DELETE",
        "/v1/workspaces/{name}",
        OPERATOR,
        Action::RemoveWorkspace,
        "Remove a workspace that no key or route names",
    ),
    endpoint(
        "PUT",
        "/v1/workspaces/{name}/rate",
        OPERATOR,
        Action::SetRate,
        "Change the rate and burst of a workspace",
    ),
    endpoint(
        "GET",
        "/v1/keys",
        VIEWER,
        Action::ListKeys,
        "Hashes of granted and withdrawn keys",
    ),
    endpoint(
        "POST",
        "/v1/keys",
        OPERATOR,
        Action::GrantKey,
        "Grant a new key; the answer has its secret, once",
    ),
    endpoint(
        "DELETE",
        "/v1/keys/{name}",
        OPERATOR,
        Action::WithdrawKey,
        "Withdraw the key with a hash, at once and also while the platform is down",
    ),
    endpoint(
        "GET",
        "/v1/routes",
        VIEWER,
        Action::ListRoutes,
        "Plain routes",
    ),
    endpoint(
        "PUT",
        "/v1/routes/{name}",
        OPERATOR,
        Action::SetRoute,
        "Define or replace a route",
    ),
    endpoint(
        "DELETE",
        "/v1/routes/{name}",
        OPERATOR,
        Action::RemoveRoute,
        "Remove a route",
    ),
    endpoint(
        "GET",
        "/v1/leases",
        VIEWER,
        Action::ListLeases,
        "Sessions, limit slots and the order lease, from the platform",
    ),
    endpoint(
        "POST",
        "/v1/leases/break",
        ADMIN,
        Action::BreakLease,
        "Assert that an instance is destroyed, so that its leases can be taken without waiting",
    ),
    endpoint(
        "POST",
        "/v1/trace",
        VIEWER,
        Action::Trace,
        "Where a prompt would be routed, and why; nothing is sent or recorded",
    ),
    endpoint(
        "GET",
        "/v1/audit",
        VIEWER,
        Action::ListAudit,
        "Latest changes made at this instance, latest first",
    ),
];

/// Result of looking up the endpoint of a request.
#[derive(Debug, Clone)]
pub enum EndpointMatch {
    /// The endpoint and the value of its path parameter, if it has one.
    Found(&'static Endpoint, Option<String>),
    /// The path exists, but only with other methods.
    WrongMethod,
    /// The path does not exist.
    NotFound,
}

/// Looks up the endpoint for a method and path.
pub fn match_path(method: &Method, path: &str) -> EndpointMatch {
    let mut is_path_defined = false;
    for endpoint in ENDPOINTS {
        let Some(parameter) = match_pattern(endpoint.path, path) else {
            continue;
        };
        if endpoint.method == method.as_str() {
            return EndpointMatch::Found(endpoint, parameter);
        }
        is_path_defined = true;
    }
    match is_path_defined {
        true => EndpointMatch::WrongMethod,
        false => EndpointMatch::NotFound,
    }
}

/// Matches a path against a pattern. Returns the value of the path parameter, `Some(None)` if the
/// pattern has none, or `None` if the path does not match.
fn match_pattern(pattern: &str, path: &str) -> Option<Option<String>> {
    let mut parameter = None;
    let mut segments = path.split('/');
    for expected in pattern.split('/') {
        let segment = segments.next()?;
        if expected.starts_with('{') {
            parameter = Some(decode_segment(segment)?);
        } else if expected != segment {
            return None;
        }
    }
    segments.next().is_none().then_some(parameter)
}

/// Decodes the percent encoding of a path segment. Returns `None` for an empty or malformed segment.
fn decode_segment(segment: &str) -> Option<String> {
    let mut bytes = Vec::with_capacity(segment.len());
    let mut rest = segment.bytes();
    while let Some(byte) = rest.next() {
        if byte != b'%' {
            bytes.push(byte);
            continue;
        }
        let digits = [rest.next()?, rest.next()?];
        let digits = std::str::from_utf8(&digits).ok()?;
        bytes.push(u8::from_str_radix(digits, 16).ok()?);
    }
    String::from_utf8(bytes)
        .ok()
        .filter(|text| !text.is_empty())
}
