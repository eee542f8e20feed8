//! Which cached prompts a request may use, when a configuration isolates workspaces while the request waits.

use std::future::Future;
use std::rc::Rc;

use super::Relay;
use super::admission::Admission;
use super::exchange::Exchange;
use crate::core::fleet::FleetPolicy;
use crate::core::ids::WorkspaceId;
use crate::core::relay::Failure;
use crate::ops::services::ConfigService;

/// A workspace, and the policy by which its request was admitted.
struct CacheUser {
    relay: Rc<Relay>,
    policy: Rc<FleetPolicy>,
    workspace: Option<WorkspaceId>,
}

impl CacheUser {
    /// Returns the namespace of the cached prompts of the workspace by the active configuration.
    fn namespace(&self) -> String {
        let workspace = self.workspace.as_ref();
        let active = self.relay.fleet.policy();
        active
            .and_then(|policy| policy.cache_namespace(workspace))
            // The active configuration no longer contains the workspace.
            .or_else(|| self.policy.cache_namespace(workspace))
            .unwrap_or_default()
    }
}

impl Exchange {
    /// Returns the namespace of the cached prompts of the request's workspace by the active configuration,
    /// which may have isolated a workspace while the request waited.
    pub(super) fn cache_namespace(&self, admission: &Admission) -> String {
        self.cache_user(admission).namespace()
    }

    /// Returns the namespace that a request for an engine is sent with; `None` for other targets.
    pub(super) fn sent_cache_namespace(&self) -> Option<String> {
        let admission = self.admission.as_ref()?;
        let is_sent = self.is_model_request();
        is_sent.then(|| self.cache_namespace(admission))
    }

    /// Returns a check whether a namespace is that of the active configuration.
    pub(super) fn cache_check(&self, sent: Option<String>) -> impl Fn() -> bool + 'static {
        let user = self.admission.as_ref().map(|it| self.cache_user(it));
        move || match (&user, &sent) {
            (Some(user), Some(sent)) => user.namespace() == *sent,
            _ => true,
        }
    }

    /// Completes once an unanswered request has to be sent again, as its namespace is no longer the one that it was
    /// sent with. It may wait at its target, and would use cached prompts of a workspace that has been isolated since.
    /// A request that may run only once, or that no budget is left for, stays where it is.
    pub(super) fn cache_namespace_changed(
        &self,
        sent: Option<&str>,
    ) -> impl Future<Output = ()> + use<'_> {
        let is_watched = sent.is_some() && self.check_attempts(Failure::MayHaveRun).is_ok();
        let is_current = self.cache_check(sent.map(str::to_owned));
        async move {
            if !is_watched {
                return std::future::pending().await;
            }
            let config = self.proxy.context.service::<dyn ConfigService>();
            loop {
                let changed = config.changed();
                if !is_current() && self.check_replacement().is_ok() {
                    return;
                }
                changed.await;
            }
        }
    }

    fn cache_user(&self, admission: &Admission) -> CacheUser {
        CacheUser {
            relay: Rc::clone(&self.relay),
            policy: Rc::clone(&admission.policy),
            workspace: admission.workspace.clone(),
        }
    }
}
