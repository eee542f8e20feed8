//! Charges requests to the slots of all instances.

use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::{LocalBoxFuture, join_all};
use jujubelink_proto::limits::charge_reply::Status;
use jujubelink_proto::limits::{ChargeReply, ChargeRequest, RefundRequest};

use super::Limits;
use super::state::{ChargePart, LimitedWorkspace};
use crate::core::ids::{InstanceId, Timestamp, Tokens, WorkspaceId};
use crate::core::limit::{
    ChargePlanner, ChargeStatus, ChargeStep, HolderCharge, HolderView, MICRO_PER_TOKEN, Proximity,
};
use crate::ops::services::{Charge, ChargeError, LimitService};

/// Delay between lookups in the directory while no slot holder is found.
const NO_HOLDER_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Implementation of [`LimitService`].
pub(super) struct Charging(pub(super) Rc<Limits>);

impl LimitService for Charging {
    fn charge(
        &self,
        workspace: &WorkspaceId,
        tokens: Tokens,
        deadline: Timestamp,
    ) -> LocalBoxFuture<'static, Result<Charge, ChargeError>> {
        let (limits, workspace) = (Rc::clone(&self.0), workspace.clone());
        async move {
            let result = charge(&limits, &workspace, tokens, deadline).await;
            let name = match &result {
                Ok(_) => "limits.charge.granted",
                Err(ChargeError::RateLimited { .. }) => "limits.charge.rate_limited",
                Err(ChargeError::Unavailable) => "limits.charge.unavailable",
                Err(ChargeError::TooLarge) => "limits.charge.too_large",
            };
            limits.context.metrics().count(name, 1);
            result
        }
        .boxed_local()
    }

    fn settle(&self, charge: Charge, used_tokens: Tokens) {
        let parts = self.0.take_unsettled(charge.id);
        let unused = charge.tokens.saturating_sub(used_tokens);
        refund(&self.0, &charge.workspace, parts, unused);
    }
}

/// Parts of a charge granted so far. They are refunded on drop, which includes the case that the
/// request's future is dropped.
struct GrantedParts {
    limits: Rc<Limits>,
    workspace: WorkspaceId,
    parts: Vec<ChargePart>,
}

impl Drop for GrantedParts {
    fn drop(&mut self) {
        self.refund_all();
    }
}

impl GrantedParts {
    fn refund_all(&mut self) {
        let parts = std::mem::take(&mut self.parts);
        let total = parts.iter().map(|part| part.tokens).sum();
        refund(&self.limits, &self.workspace, parts, total);
    }
}

/// Charges `tokens` to one or more holders. Tokens already granted are refunded if the charge
/// fails.
async fn charge(
    limits: &Rc<Limits>,
    workspace: &WorkspaceId,
    tokens: Tokens,
    deadline: Timestamp,
) -> Result<Charge, ChargeError> {
    let limited = limits
        .limited_workspace(workspace)
        .ok_or(ChargeError::Unavailable)?;
    if tokens > limited.limit.usable_burst_tokens() {
        return Err(ChargeError::TooLarge);
    }
    let mut planner = ChargePlanner::new(tokens, deadline);
    let mut granted = GrantedParts {
        limits: Rc::clone(limits),
        workspace: limited.workspace.clone(),
        parts: Vec::new(),
    };
    loop {
        let now = limits.now();
        let holders = holder_views(limits, &limited, now);
        match planner.next(&holders, &limited.slot_limit(), now) {
            ChargeStep::Done => break,
            ChargeStep::Charge(holder_charges) => {
                let calls = holder_charges
                    .into_iter()
                    .map(|holder_charge| charge_holder(limits, &limited, holder_charge));
                for outcome in join_all(calls).await {
                    match outcome {
                        HolderResponse::Granted(part) => {
                            planner.on_granted(part.tokens);
                            granted.parts.push(part);
                        }
                        HolderResponse::Short => {}
                        HolderResponse::Failed(instance) => planner.on_failed(&instance),
                    }
                }
            }
            ChargeStep::Wait(until) => limits.context.timers().sleep_until(until).await,
            // The slots may be in the middle of a handover or not claimed yet.
            ChargeStep::GiveUp { retry_after: None } if now + NO_HOLDER_RETRY_DELAY < deadline => {
                limits.request_directory_refresh();
                limits.context.timers().sleep(NO_HOLDER_RETRY_DELAY).await;
                planner = ChargePlanner::new(tokens, deadline);
                granted.refund_all();
            }
            ChargeStep::GiveUp {
                retry_after: Some(retry_after),
            } => {
                return Err(ChargeError::RateLimited { retry_after });
            }
            ChargeStep::GiveUp { retry_after: None } => return Err(ChargeError::Unavailable),
        }
    }
    let id = rand::random();
    limits.record_unsettled(id, std::mem::take(&mut granted.parts));
    Ok(Charge {
        id,
        workspace: limited.workspace.clone(),
        tokens,
        charged_at: planner.first_call_at().unwrap_or_else(|| limits.now()),
    })
}

/// Returns the holders of the workspace's slots as input for the planner.
fn holder_views(
    limits: &Rc<Limits>,
    limited: &LimitedWorkspace,
    now: Timestamp,
) -> Vec<HolderView> {
    let local_id = limits.local_id();
    let slot_limit = limited.slot_limit();
    let holders = limits.directory.borrow().holders_of(limited.shard);
    let proximities = limits.sessions().peers().proximities();
    let mut holder_views: Vec<HolderView> = Vec::new();
    if limits.ensure_current_session() {
        let mut table = limits.table.borrow_mut();
        let slots = table.slot_count(limited.shard);
        let level = table.level_tokens(limited.shard, &limited.workspace, &slot_limit, now);
        if slots > 0 {
            holder_views.push(HolderView {
                instance: local_id.clone(),
                proximity: Proximity::Local,
                slots,
                level_micro: (level as i64).saturating_mul(MICRO_PER_TOKEN),
            });
        }
    }
    let mut remote_levels = limits.remote_levels.borrow_mut();
    for (instance, slots) in holders {
        if instance == local_id || !remote_levels.is_reachable(&instance, now) {
            continue;
        }
        let proximity = proximities
            .get(&instance)
            .copied()
            .unwrap_or(Proximity::Other);
        let level_micro =
            remote_levels.estimate_level(&limited.workspace, &instance, &slot_limit, slots, now);
        holder_views.push(HolderView {
            instance,
            proximity,
            slots,
            level_micro,
        });
    }
    holder_views
}

/// Result of a charge at one holder.
enum HolderResponse {
    /// The holder granted all or some of the tokens.
    Granted(ChargePart),
    /// The holder granted nothing because its level is too low.
    Short,
    /// The instance did not respond or holds no slot of the workspace.
    Failed(InstanceId),
}

/// Charges the slots of one holder, which may be this instance.
async fn charge_holder(
    limits: &Rc<Limits>,
    limited: &LimitedWorkspace,
    holder_charge: HolderCharge,
) -> HolderResponse {
    let charge_id = rand::random();
    if holder_charge.instance == limits.local_id() {
        let outcome = limits.charge_here(charge_id, limited, holder_charge.tokens, true);
        return match outcome.status {
            ChargeStatus::Granted => HolderResponse::Granted(ChargePart::new(
                holder_charge.instance,
                charge_id,
                outcome.granted_tokens,
            )),
            ChargeStatus::Short => HolderResponse::Short,
            ChargeStatus::NotHolder => HolderResponse::Failed(holder_charge.instance),
        };
    }
    let request = ChargeRequest {
        workspace: limited.workspace.to_string(),
        tokens: holder_charge.tokens,
        wait_ms: 0,
        charge_id,
        partial: true,
    };
    limits.context.metrics().count("limits.charge.calls", 1);
    match limits
        .sessions()
        .peer_rpc()
        .charge(&holder_charge.instance, request)
        .await
    {
        Ok(reply) => on_reply(limits, limited, holder_charge.instance, charge_id, reply),
        Err(_) => {
            limits
                .context
                .metrics()
                .count("limits.charge.call_failures", 1);
            let now = limits.now();
            limits
                .remote_levels
                .borrow_mut()
                .mark_unreachable(&holder_charge.instance, now);
            // The charge may have taken effect; refund it in case the holder is reachable again.
            let part = ChargePart::new(
                holder_charge.instance.clone(),
                charge_id,
                holder_charge.tokens,
            );
            refund(limits, &limited.workspace, vec![part], holder_charge.tokens);
            HolderResponse::Failed(holder_charge.instance)
        }
    }
}

impl ChargePart {
    fn new(instance: InstanceId, charge_id: u64, tokens: Tokens) -> Self {
        Self {
            instance,
            charge_id,
            tokens,
        }
    }
}

fn on_reply(
    limits: &Rc<Limits>,
    limited: &LimitedWorkspace,
    instance: InstanceId,
    charge_id: u64,
    reply: ChargeReply,
) -> HolderResponse {
    let now = limits.now();
    let level = Tokens::try_from(reply.level_tokens).unwrap_or(0);
    limits
        .remote_levels
        .borrow_mut()
        .record_level(&limited.workspace, &instance, level, now);
    let status = reply.status();
    let cached_holders = limits.directory.borrow().holders_of(limited.shard);
    if cached_holders.get(&instance) != Some(&reply.held_slots) {
        limits.request_directory_refresh();
    }
    match status {
        Status::Granted => {
            HolderResponse::Granted(ChargePart::new(instance, charge_id, reply.granted_tokens))
        }
        Status::Short => HolderResponse::Short,
        Status::NotHolder | Status::Unspecified => {
            limits
                .directory
                .borrow_mut()
                .remove_holder(limited.shard, &instance);
            limits.record_holders(reply.holders);
            HolderResponse::Failed(instance)
        }
    }
}

/// Refunds `unused` tokens of the parts, starting with the last part.
fn refund(limits: &Rc<Limits>, workspace: &WorkspaceId, parts: Vec<ChargePart>, unused: Tokens) {
    let Some(limited) = limits.limited_workspace(workspace) else {
        return;
    };
    let mut left = unused;
    for part in parts.into_iter().rev() {
        let unused_tokens = left.min(part.tokens);
        if unused_tokens == 0 {
            break;
        }
        left -= unused_tokens;
        if part.instance == limits.local_id() {
            limits.refund_here(part.charge_id, unused_tokens, &limited);
            continue;
        }
        let request = RefundRequest {
            workspace: workspace.to_string(),
            charge_id: part.charge_id,
            unused_tokens,
        };
        let limits = Rc::clone(limits);
        compio::runtime::spawn(async move {
            // A lost refund is harmless: the tokens accrue again over time.
            let _ = limits
                .sessions()
                .peer_rpc()
                .refund(&part.instance, request)
                .await;
        })
        .detach();
    }
}
