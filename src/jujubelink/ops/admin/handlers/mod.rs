//! Handlers of the administration endpoints.

mod config;
mod config_entries;
mod keys;
mod state;
mod trace;

use std::rc::Rc;

use bytes::Bytes;
use serde::de::DeserializeOwned;

use super::endpoint::Action;
use super::reply::{ApiError, Reply};
use super::server::AdminState;
use super::writer::ChangeMetadata;

/// An authorized request whose body has been read.
pub(super) struct AdminCall {
    pub(super) action: Action,
    /// Value of the path parameter; empty if the path has none.
    pub(super) parameter: String,
    pub(super) query: String,
    pub(super) body: Bytes,
    /// Author and nonce; `None` if the request changes nothing.
    pub(super) metadata: Option<ChangeMetadata>,
}

impl AdminCall {
    fn json<T: DeserializeOwned>(&self) -> Result<T, ApiError> {
        serde_json::from_slice(&self.body)
            .map_err(|error| ApiError::invalid(format!("body: {error}")))
    }

    /// Parses a numeric query parameter.
    fn query_number(&self, name: &str) -> Result<Option<u64>, ApiError> {
        let value = self
            .query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value.parse());
        value
            .transpose()
            .map_err(|_| ApiError::invalid(format!("{name} must be a number")))
    }

    fn metadata(&self) -> Result<&ChangeMetadata, ApiError> {
        self.metadata
            .as_ref()
            .ok_or_else(|| ApiError::invalid("the endpoint makes a change"))
    }
}

/// Calls the handler of an action.
pub(super) async fn dispatch(state: &Rc<AdminState>, call: AdminCall) -> Result<Reply, ApiError> {
    match call.action {
        Action::Health => Ok(Reply::ok(serde_json::json!({ "status": "ok" }))),
        Action::Readiness => state::readiness(state),
        Action::OpenApi => Ok(Reply::ok(super::openapi::openapi())),
        Action::Status => state::status(state),
        Action::ListInstances => state::instances(state),
        Action::DrainInstance => state::drain_instance(state),
        Action::ListTargets => state::targets(state),
        Action::DrainTarget => state::drain_target(state, &call).await,
        Action::ListLeases => state::leases(state).await,
        Action::BreakLease => state::break_lease(state, &call).await,
        Action::ListAudit => Ok(Reply::ok(state.audit.entries())),
        Action::ReadConfig => config::read(state).await,
        Action::ApplyConfig => config::apply(state, &call).await,
        Action::CheckConfig => config::check(state, &call).await,
        Action::DiffConfig => config::diff(state, &call).await,
        Action::ListHistory => config::history(state, &call).await,
        Action::ReadHistory => config::read_history(state, &call).await,
        Action::Rollback => config::rollback(state, &call).await,
        Action::ListWorkspaces => config_entries::workspaces(state),
        Action::SetWorkspace => config_entries::set_workspace(state, &call).await,
        Action::RemoveWorkspace => config_entries::remove_workspace(state, &call).await,
        Action::SetRate => config_entries::set_rate(state, &call).await,
        Action::ListRoutes => config_entries::routes(state),
        Action::SetRoute => config_entries::set_route(state, &call).await,
        Action::RemoveRoute => config_entries::remove_route(state, &call).await,
        Action::ListKeys => keys::list(state),
        Action::GrantKey => keys::grant(state, &call).await,
        Action::WithdrawKey => keys::withdraw(state, &call).await,
        Action::Trace => trace::trace(state, &call).await,
    }
}
