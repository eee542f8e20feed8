//! Tasks that read configuration, targets and announced weights from the store.

use std::rc::Rc;
use std::time::Duration;

use futures_util::future::{Either, select};

use super::Fleet;
use crate::core::fleet::MAX_RELAYED_AGE;
use crate::core::ids::{ObjectVersion, Timestamp};
use crate::ops::kernel::{Context, Lifecycle, Timers};
use crate::ops::share::Peers;
use crate::ops::store::{StoreError, StoreResult, TargetChanges};
use crate::util::duration::ms;

/// Maximum duration of a watch request. A hanging watch is detected after this time plus the
/// response timeout. A machine that lost contact takes three seconds to regain it, and changes of
/// targets have to take effect two seconds later.
const WATCH_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Maximum time between two answers of the store to an instance from which others get their updates, and so
/// maximum duration of its watch requests.
const RELAYED_WATCH_TIMEOUT: Duration = Duration::from_secs(1);

/// Delay after a change of the targets before the next watch, so that changes in quick succession
/// need only one call.
const WATCH_DEBOUNCE: Duration = Duration::from_millis(400);

/// Delay before the next call to the store after a failed one.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Age of the last read at which the instance of rank 0 reads from the store again. A configuration
/// has to be active within two seconds of its acceptance.
const FIRST_INSTANCE_READ_AGE: Duration = Duration::from_millis(700);

/// Age at which the instance of rank 1 reads from the store if the results of rank 0 do not arrive.
/// Relayed results are up to two send intervals older than at their source.
const SECOND_INSTANCE_READ_AGE: Duration = Duration::from_millis(1_450);

/// Additional age for each further rank, so that the instances do not all read at once.
const READ_AGE_STEP: Duration = Duration::from_millis(150);

/// Number of ranks after rank 1 with increasing read ages; all further ranks share the last one.
const MAX_READ_AGE_STEPS: u32 = 3;

/// Fraction of the bound on adopting new configurations after which an instance with an update
/// source reads the store itself.
const FOLLOWER_READ_RATIO: f64 = 0.8;

/// Time between checks of the age of the last read.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Lists the targets, then watches them for changes.
pub(super) async fn sync_targets(context: Context, fleet: Rc<Fleet>) {
    let timers = *context.timers();
    let mut revision = None;
    loop {
        fleet.expire_lapsed();
        let peers = context.service::<Peers>();
        let list_age = fleet.targets_age();
        // Waiting for a source with an older list would exceed the bound on its age.
        if let (Some(_), Some(source)) = (revision, peers.update_source())
            && list_age < MAX_RELAYED_AGE
        {
            match peers.fetch_updates(&source).await {
                Ok(has_changes) => {
                    revision = Some(fleet.target_revision());
                    if has_changes {
                        timers.sleep(WATCH_DEBOUNCE).await;
                    }
                }
                // Call the store once, then try another peer.
                Err(_) => revision = None,
            }
            continue;
        }
        let watch_timeout = match peers.has_followers() {
            true => RELAYED_WATCH_TIMEOUT.saturating_sub(list_age),
            false => WATCH_TIMEOUT,
        };
        let requested_at = timers.boot_now();
        revision = revision.filter(|_| fleet.has_present_list());
        let result = match revision {
            None => fleet.store().list_targets().await,
            Some(after) => match watch_targets(&timers, &fleet, after, watch_timeout).await {
                Some(result) => result,
                None => {
                    revision = None;
                    continue;
                }
            },
        };
        let is_complete = revision.is_none();
        match result {
            Ok(changes) => {
                fleet.on_store_answer(requested_at);
                // The store may have created a list at any time since the request.
                let confirmed_at = match is_complete {
                    true => requested_at,
                    false => timers.boot_now(),
                };
                let is_newer = revision.is_none_or(|current| changes.revision >= current);
                if is_newer {
                    revision = Some(changes.revision);
                }
                if is_complete {
                    fleet.on_store_revision(changes.revision);
                }
                let has_changes = !changes.changes.is_empty();
                fleet.on_targets(changes, is_complete);
                fleet.record_targets_confirmed(confirmed_at);
                if has_changes {
                    timers.sleep(WATCH_DEBOUNCE).await;
                }
            }
            Err(StoreError::HistoryTruncated) => {
                slog::warn!(
                    context.log(),
                    "history of the target list was truncated; reading the full list"
                );
                revision = None;
            }
            Err(error) => {
                slog::warn!(context.log(), "cannot follow the targets"; "error" => %error,
                    "unanswered_ms" => ms(fleet.store_unanswered()));
                // The failed watch may have missed any number of changes.
                revision = None;
                if let Some((name, raw)) = peers.fetch_targets().await {
                    fleet.apply_peer_targets(&raw, &name);
                }
                timers.sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Waits for changes of the targets after a revision. Returns `None` once the store was restored, because
/// the revision belongs to the former era. After a restore, targets that write no entry again are removed
/// meanwhile.
async fn watch_targets(
    timers: &Timers,
    fleet: &Fleet,
    after: ObjectVersion,
    limit: Duration,
) -> Option<StoreResult<TargetChanges>> {
    let restores = fleet.eras().restores();
    let restored = Box::pin(fleet.eras().restored());
    let watch = fleet.store().watch_targets(after, limit);
    let mut call = select(watch, restored);
    let outcome = loop {
        let Some(remaining) = fleet.next_lapse_after_restore() else {
            break call.await;
        };
        let lapse = Box::pin(timers.sleep(remaining));
        match select(call, lapse).await {
            Either::Left((outcome, _)) => break outcome,
            Either::Right(((), pending)) => call = pending,
        }
        fleet.expire_lapsed();
    };
    match outcome {
        Either::Left((result, _)) if fleet.eras().restores() == restores => Some(result),
        _ => None,
    }
}

/// Reads the configuration and the announced weights whenever no peer has relayed a recent read.
pub(super) async fn refresh_config_and_weights(context: Context, fleet: Rc<Fleet>) {
    let timers = *context.timers();
    let mut failed_at = None;
    let mut failed_request_at = None;
    let mut undecodable_at = None;
    let mut behind_at: Option<Timestamp> = None;
    loop {
        let peers = context.service::<Peers>();
        let now = timers.boot_now();
        let max_age = match peers.rank() {
            0 => FIRST_INSTANCE_READ_AGE,
            _ if peers.update_source().is_some() => follower_read_age(&fleet),
            rank => SECOND_INSTANCE_READ_AGE + READ_AGE_STEP * (rank - 1).min(MAX_READ_AGE_STEPS),
        };
        let is_behind = is_behind(&fleet, &peers);
        let is_old = fleet.config_age().is_none_or(|age| age >= max_age);
        // No read proves a configuration that cannot be decoded to be the newest one.
        let is_repeated = undecodable_at.is_some_and(|at| {
            let period = if is_behind { RETRY_DELAY } else { max_age };
            now.saturating_sub(at) < period
        });
        // After a restore, the store shows the older configuration until the operator writes it again.
        let is_repeated =
            is_repeated || behind_at.is_some_and(|at| now.saturating_sub(at) < RETRY_DELAY);
        let is_backing_off = failed_at.is_some_and(|at| now.saturating_sub(at) < RETRY_DELAY);
        if (is_behind || is_old) && !is_repeated && !is_backing_off {
            let outcome = read_policy(&context, &fleet, &peers, behind_at.is_some()).await;
            let read_at = Some(timers.boot_now());
            failed_at = read_at.filter(|_| outcome == PolicyRead::Failed);
            failed_request_at = failed_at.map(|_| now).or(failed_request_at);
            undecodable_at = read_at.filter(|_| outcome == PolicyRead::Undecodable);
            behind_at = read_at.filter(|_| outcome == PolicyRead::Behind);
        }
        let weights_age = peers
            .weights_confirmed_at()
            .map(|at| now.saturating_sub(at));
        if weights_age.is_none_or(|age| age >= max_age) && !is_backing_off && failed_at.is_none() {
            let requested_at = timers.boot_now();
            match fleet.store().list_announced_weights().await {
                Ok(announced) => {
                    fleet.on_store_answer(requested_at);
                    let absent_until = peers.weights_confirmed_at();
                    peers.record_weights_confirmed(requested_at);
                    fleet.log_entry_faults(&announced.faults);
                    let announced = announced.entries;
                    fleet.on_stored_weights(&announced, absent_until, failed_request_at);
                }
                Err(error) => {
                    failed_at = Some(timers.boot_now());
                    failed_request_at = Some(requested_at);
                    slog::warn!(context.log(), "cannot read the named weights";
                        "error" => %error);
                }
            }
        }
        if context.shutdown().lifecycle() == Lifecycle::Closing {
            return;
        }
        timers.sleep(CHECK_INTERVAL).await;
    }
}

/// Age of the last read at which an instance with an update source reads the store itself. A newer
/// version reported by a peer triggers a read earlier; this bounds the delay if the source misses
/// the new version too.
fn follower_read_age(fleet: &Fleet) -> Duration {
    Duration::from_millis(fleet.settings().config_ms).mul_f64(FOLLOWER_READ_RATIO)
}

/// Whether a peer has a configuration that is newer than any that was active here.
fn is_behind(fleet: &Fleet, peers: &Peers) -> bool {
    peers.newest_config_version() > fleet.state().highest_config_version()
}

/// Outcome of a read of the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PolicyRead {
    /// The store answered with a configuration, or has none yet.
    Done,
    /// The store answered with a configuration that cannot be decoded.
    Undecodable,
    /// The store states an era, and answered with a configuration that is older than that of a peer.
    Behind,
    /// The store did not answer, or refused.
    Failed,
}

/// Reads the configuration. `was_behind` tells whether the last read showed an older one than that of a peer.
async fn read_policy(
    context: &Context,
    fleet: &Fleet,
    peers: &Peers,
    was_behind: bool,
) -> PolicyRead {
    let requested_at = context.timers().boot_now();
    let outcome = match fleet.store().read_policy().await {
        Ok(Some(Ok(stored))) => {
            fleet.on_store_answer(requested_at);
            fleet.on_policy(stored, requested_at);
            match fleet.eras().current().is_some() && is_behind(fleet, peers) {
                true => PolicyRead::Behind,
                false => PolicyRead::Done,
            }
        }
        // The store has no configuration until the operator writes the first one.
        Ok(None) => {
            fleet.on_store_answer(requested_at);
            PolicyRead::Done
        }
        Ok(Some(Err(fault))) => {
            fleet.on_store_answer(requested_at);
            fleet.log_entry_faults(&[fault]);
            PolicyRead::Undecodable
        }
        Err(error) => {
            slog::warn!(context.log(), "cannot read the configuration"; "error" => %error,
                "age_ms" => fleet.config_age().map(ms));
            PolicyRead::Failed
        }
    };
    // The peer may have read a version that was written after the first of two reads.
    let is_usable = match outcome {
        PolicyRead::Done => true,
        PolicyRead::Behind => !was_behind,
        PolicyRead::Undecodable | PolicyRead::Failed => false,
    };
    if !is_usable && is_behind(fleet, peers) {
        fetch_from_peer(context, fleet, peers).await;
    }
    outcome
}

/// Fetches the configuration from a peer that has a newer version than this instance can read from
/// the store.
async fn fetch_from_peer(context: &Context, fleet: &Fleet, peers: &Peers) {
    let Some((name, raw)) = peers.fetch_policy().await else {
        return;
    };
    match fleet.store().decode_policy(&raw) {
        Ok(stored) => {
            let version = stored.policy.version;
            // The peer's next message contains the freshness proof of this version.
            fleet.on_peer_policy(stored, &name);
            peers.apply_peer_proofs(version);
        }
        Err(fault) => {
            slog::warn!(context.log(), "cannot decode the configuration of a peer";
                "peer" => name, "fault" => fault.reason);
        }
    }
}
