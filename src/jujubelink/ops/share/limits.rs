//! Rate limits of workspaces that all instances of the fleet share.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;

use super::message::WorkspaceUsage;
use super::peers::{Peers, workspace_usage};
use crate::core::ids::{InstanceId, Timestamp, Tokens, WorkspaceId};
use crate::core::quota::{PeerUsage, SharedBucket};
use crate::ops::services::{Charge, ChargeError, LimitService};
use crate::util::duration::ms;

/// Minimum time between two log lines on the usage of the limits.
const USAGE_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Fraction of the burst below which the usage of a limit is logged.
const LOGGED_LEVEL_RATIO: f64 = 0.5;

/// Token buckets by workspace. A workspace without a rate limit has no bucket.
#[derive(Default)]
pub(super) struct Buckets {
    buckets: RefCell<BTreeMap<WorkspaceId, SharedBucket>>,
    /// The other instances, and whether each one shares limits with this instance.
    contacts: RefCell<Vec<(InstanceId, bool)>>,
    next_charge: Cell<u64>,
    logged: RefCell<LoggedUsage>,
}

/// What the last log lines on the usage of the limits covered.
#[derive(Default)]
struct LoggedUsage {
    at: Timestamp,
    /// Units charged and charges refused up to then.
    charges: BTreeMap<WorkspaceId, (u64, u64)>,
}

impl Buckets {
    /// Logs what this instance knows of the limits that are close to exhausted and were charged
    /// since the last call: at most one line per workspace and [`USAGE_LOG_INTERVAL`].
    pub(super) fn log_usage(&self, log: &slog::Logger, now: Timestamp) {
        let mut logged = self.logged.borrow_mut();
        if now.saturating_sub(logged.at) < USAGE_LOG_INTERVAL {
            return;
        }
        logged.at = now;
        let mut buckets = self.buckets.borrow_mut();
        logged
            .charges
            .retain(|workspace, _| buckets.contains_key(workspace));
        for (workspace, bucket) in buckets.iter_mut() {
            let status = bucket.status(now);
            let charges = (status.total, status.refusals);
            let previous = logged.charges.insert(workspace.clone(), charges);
            if status.level >= status.burst * LOGGED_LEVEL_RATIO
                || previous.unwrap_or_default() == charges
            {
                continue;
            }
            slog::info!(log, "limit nearly exhausted"; "workspace" => &**workspace,
                "level" => status.level.round(), "burst" => status.burst,
                "admitted_total" => status.total, "refusals" => status.refusals,
                "reported_total" => status.reported.round(),
                "peers" => status.peers, "sharing_peers" => status.sharing_peers,
                "mean_report_age_ms" => ms(status.mean_report_age),
                "max_report_age_ms" => ms(status.max_report_age));
        }
    }

    /// Sets the other instances, in the order of their names, and whether each one shares limits with this
    /// one.
    pub(super) fn set_peers(&self, contacts: Vec<(InstanceId, bool)>, now: Timestamp) {
        let previous = self.contacts.replace(contacts);
        let contacts = self.contacts.borrow();
        let has_same_peers = previous.len() == contacts.len()
            && previous
                .iter()
                .zip(&*contacts)
                .all(|(old, new)| old.0 == new.0);
        let mut buckets = self.buckets.borrow_mut();
        if !has_same_peers {
            for bucket in buckets.values_mut() {
                let all = contacts.iter().map(|(id, is_sharing)| (id, *is_sharing));
                bucket.set_peers(all, now);
            }
            return;
        }
        let changed: Vec<_> = previous
            .iter()
            .zip(&*contacts)
            .filter(|(old, new)| old.1 != new.1)
            .map(|(_, (id, is_sharing))| (id, *is_sharing))
            .collect();
        if changed.is_empty() {
            return;
        }
        for bucket in buckets.values_mut() {
            bucket.set_sharing(changed.iter().copied(), now);
        }
    }

    pub(super) fn totals(&self) -> Vec<WorkspaceUsage> {
        let buckets = self.buckets.borrow();
        let entries = buckets.iter();
        entries
            .map(|(workspace, bucket)| workspace_usage(workspace, bucket.total()))
            .collect()
    }

    /// Returns the usage of the limits that peers need to know before the next regular message.
    pub(super) fn nearly_exhausted(&self, now: Timestamp) -> Vec<WorkspaceUsage> {
        let mut buckets = self.buckets.borrow_mut();
        buckets
            .iter_mut()
            .filter_map(|(workspace, bucket)| {
                let is_needed = bucket.needs_usage_report(now);
                is_needed.then(|| workspace_usage(workspace, bucket.total()))
            })
            .collect()
    }

    pub(super) fn on_report(
        &self,
        workspace: &str,
        peer: &InstanceId,
        usage: PeerUsage,
        now: Timestamp,
    ) {
        if let Some(bucket) = self.buckets.borrow_mut().get_mut(workspace) {
            bucket.on_report(peer, usage, now);
        }
    }

    /// Replaces the limits. Buckets of workspaces that remain keep their level.
    pub(super) fn set_limits<'a>(
        &self,
        limits: impl Iterator<Item = (&'a WorkspaceId, f64, f64)>,
        initial_level: impl Fn(f64, f64) -> f64,
        now: Timestamp,
    ) {
        let mut buckets = self.buckets.borrow_mut();
        let mut configured = BTreeMap::new();
        for (workspace, rate_per_s, burst) in limits {
            let mut bucket = buckets.remove(workspace).unwrap_or_else(|| {
                let level = initial_level(rate_per_s, burst);
                let mut bucket = SharedBucket::new(rate_per_s, burst, level, now);
                let contacts = self.contacts.borrow();
                bucket.set_peers(
                    contacts
                        .iter()
                        .map(|(id, shares_limits)| (id, *shares_limits)),
                    now,
                );
                bucket
            });
            bucket.set_limit(rate_per_s, burst, now);
            configured.insert(workspace.clone(), bucket);
        }
        *buckets = configured;
    }
}

/// Implements [`LimitService`] with the shared buckets.
pub(super) struct SharedLimits(pub(super) Rc<Peers>);

impl SharedLimits {
    fn try_charge(&self, workspace: &WorkspaceId, units: Tokens) -> Result<Charge, ChargeError> {
        let peers = &self.0;
        let now = peers.now();
        if !peers.has_instance_list() {
            return Err(ChargeError::Unavailable);
        }
        peers.refresh_contacts();
        if let Some(bucket) = peers.buckets.buckets.borrow_mut().get_mut(workspace) {
            bucket
                .charge(units, now)
                .map_err(|refusal| ChargeError::RateLimited {
                    retry_after: refusal.retry_after,
                })?;
        }
        let id = peers.buckets.next_charge.get() + 1;
        peers.buckets.next_charge.set(id);
        Ok(Charge {
            id,
            workspace: workspace.clone(),
            tokens: units,
            charged_at: peers.context.timers().now(),
        })
    }
}

impl LimitService for SharedLimits {
    fn charge(
        &self,
        workspace: &WorkspaceId,
        tokens: Tokens,
        _deadline: Timestamp,
    ) -> LocalBoxFuture<'static, Result<Charge, ChargeError>> {
        let result = self.try_charge(workspace, tokens);
        async move { result }.boxed_local()
    }

    fn settle(&self, charge: Charge, used_tokens: Tokens) {
        let unused = charge.tokens.saturating_sub(used_tokens);
        let now = self.0.now();
        let mut buckets = self.0.buckets.buckets.borrow_mut();
        if let (Some(bucket), true) = (buckets.get_mut(&charge.workspace), unused > 0) {
            bucket.refund(unused, now);
        }
    }
}
