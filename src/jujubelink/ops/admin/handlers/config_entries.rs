//! Handlers for single entries of the configuration: workspaces and routes.

use std::rc::Rc;

use serde::Deserialize;

use super::AdminCall;
use crate::core::config::{ConfigSnapshot, FleetConfig, Route, Workspace};
use crate::core::ids::Tokens;
use crate::ops::admin::reply::{ApiError, ApiErrorCode, Reply};
use crate::ops::admin::server::AdminState;
use crate::ops::services::ConfigService;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RateBody {
    rate_tokens_per_s: Tokens,
    /// New burst size; unchanged if absent.
    #[serde(default)]
    burst_tokens: Option<Tokens>,
}

/// Returns the configuration that is active on this instance.
pub(super) fn active_config(state: &AdminState) -> Result<Rc<ConfigSnapshot>, ApiError> {
    let current = state.context.service::<dyn ConfigService>().current();
    current.ok_or_else(|| {
        ApiError::new(
            ApiErrorCode::NotReady,
            "the instance has no configuration yet",
        )
    })
}

pub(super) fn workspaces(state: &AdminState) -> Result<Reply, ApiError> {
    Ok(Reply::ok(&active_config(state)?.fleet.workspaces))
}

pub(super) fn routes(state: &AdminState) -> Result<Reply, ApiError> {
    Ok(Reply::ok(&active_config(state)?.fleet.routes))
}

/// Changes the configuration with `edit`, honouring the `if_version` parameter of the request.
async fn edit_config(
    state: &Rc<AdminState>,
    call: &AdminCall,
    edit: impl Fn(&mut FleetConfig) -> Result<(), ApiError>,
) -> Result<Reply, ApiError> {
    let edit = |fleet: &FleetConfig| {
        let mut next = fleet.clone();
        edit(&mut next)?;
        Ok(next)
    };
    let if_version = call.query_number("if_version")?;
    let applied = state
        .writer
        .change(call.metadata()?, if_version, edit)
        .await?;
    Ok(Reply::ok(applied))
}

pub(super) async fn set_workspace(
    state: &Rc<AdminState>,
    call: &AdminCall,
) -> Result<Reply, ApiError> {
    let workspace: Workspace = call.json()?;
    edit_config(state, call, |fleet| {
        let name = call.parameter.as_str().into();
        fleet.workspaces.insert(name, workspace.clone());
        Ok(())
    })
    .await
}

pub(super) async fn remove_workspace(
    state: &Rc<AdminState>,
    call: &AdminCall,
) -> Result<Reply, ApiError> {
    edit_config(state, call, |fleet| {
        let removed = fleet.workspaces.remove(call.parameter.as_str());
        removed
            .map(drop)
            .ok_or_else(|| not_defined("workspace", call))
    })
    .await
}

pub(super) async fn set_rate(state: &Rc<AdminState>, call: &AdminCall) -> Result<Reply, ApiError> {
    let body: RateBody = call.json()?;
    edit_config(state, call, |fleet| {
        let workspace = fleet
            .workspaces
            .get_mut(call.parameter.as_str())
            .ok_or_else(|| not_defined("workspace", call))?;
        workspace.rate_tokens_per_s = body.rate_tokens_per_s;
        workspace.burst_tokens = body.burst_tokens.unwrap_or(workspace.burst_tokens);
        Ok(())
    })
    .await
}

pub(super) async fn set_route(state: &Rc<AdminState>, call: &AdminCall) -> Result<Reply, ApiError> {
    let route: Route = call.json()?;
    edit_config(state, call, |fleet| {
        let name = call.parameter.as_str().into();
        fleet.routes.insert(name, route.clone());
        Ok(())
    })
    .await
}

pub(super) async fn remove_route(
    state: &Rc<AdminState>,
    call: &AdminCall,
) -> Result<Reply, ApiError> {
    edit_config(state, call, |fleet| {
        let removed = fleet.routes.remove(call.parameter.as_str());
        removed.map(drop).ok_or_else(|| not_defined("route", call))
    })
    .await
}

/// Error for a workspace or route that does not exist.
fn not_defined(kind: &str, call: &AdminCall) -> ApiError {
    ApiError::not_found(format!("{kind} `{}` is not defined", call.parameter))
}
