//! Readings of the store.

use std::rc::Rc;
use std::time::Duration;

use super::Fleet;
use crate::ops::kernel::{Context, Lifecycle};
use crate::ops::share::Peers;
use crate::ops::store::{StoreError, StoreResult, StoredPolicy};
use crate::util::duration::ms;

/// Longest wait of a watch. A watch that hangs in silence is noticed after this and the time for an
/// answer; changes of targets bind two seconds after the machine is back in touch, which takes three.
const WATCH_TIMEOUT: Duration = Duration::from_millis(2_500);

/// The same while other instances get their news from this one.
const RELAYED_WATCH_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause after a change of the targets before the next watch, so that changes which come together
/// cost one call.
const WATCH_DEBOUNCE: Duration = Duration::from_millis(400);

/// Pause after a failed call to the store.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Age of the news at which the first instance in order asks the store. A configuration has to be in
/// force two seconds after it was accepted.
const FIRST_INSTANCE_READ_AGE: Duration = Duration::from_millis(700);

/// Age at which the second one asks if the first one's news do not arrive. Relayed news are up to two
/// rounds of messages older than they were at the first one.
const SECOND_INSTANCE_READ_AGE: Duration = Duration::from_millis(1_450);

/// Added for each further instance, so that they do not all ask together.
const READ_AGE_STEP: Duration = Duration::from_millis(150);

/// Instances behind the second that ask at steps of their own; the others ask together.
const MAX_READ_AGE_STEPS: u32 = 3;

/// Part of the bound on new configurations after which a follower reads them itself.
const FOLLOWER_READ_RATIO: f64 = 0.8;

/// Period at which the age of the news is looked at.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Time without an answer after which the store counts as having been away.
const OUTAGE_THRESHOLD: Duration = Duration::from_millis(900);

/// Lists the targets, then watches for changes.
pub(super) async fn sync_targets(context: Context, fleet: Rc<Fleet>) {
    let timers = *context.timers();
    let mut revision = None;
    let mut last_response_at = timers.boot_now();
    loop {
        let peers = context.service::<Peers>();
        if let (Some(_), Some(source)) = (revision, peers.update_source()) {
            match peers.fetch_updates(&source).await {
                Some(has_changes) => {
                    revision = Some(fleet.target_revision());
                    last_response_at = fleet.targets_confirmed_at();
                    if has_changes {
                        timers.sleep(WATCH_DEBOUNCE).await;
                    }
                }
                // The store is asked itself once, and another peer after that.
                None => revision = None,
            }
            continue;
        }
        let watch_timeout = match peers.has_followers() {
            true => RELAYED_WATCH_TIMEOUT,
            false => WATCH_TIMEOUT,
        };
        let requested_at = timers.boot_now();
        let result = match revision {
            None => fleet.store().list_targets().await,
            Some(after) => fleet.store().watch_targets(after, watch_timeout).await,
        };
        let is_list = revision.is_none();
        match result {
            Ok(changes) => {
                if requested_at.saturating_sub(last_response_at) > OUTAGE_THRESHOLD {
                    fleet.on_store_recovered();
                    slog::info!(context.log(), "store regained"; "call" => "targets");
                }
                last_response_at = timers.boot_now();
                fleet.record_targets_confirmed(last_response_at);
                let is_newer = revision.is_none_or(|known| changes.revision >= known);
                if is_newer {
                    revision = Some(changes.revision);
                }
                let has_changes = !changes.changes.is_empty();
                fleet.on_targets(changes, is_list);
                if has_changes {
                    timers.sleep(WATCH_DEBOUNCE).await;
                }
            }
            Err(StoreError::HistoryTruncated) => {
                slog::warn!(
                    context.log(),
                    "history of the targets is gone; listing again"
                );
                revision = None;
            }
            Err(error) => {
                slog::warn!(context.log(), "cannot follow the targets"; "error" => %error,
                    "unanswered_ms" => ms(timers.boot_now().saturating_sub(last_response_at)));
                // A watch may have missed anything by now.
                revision = None;
                if let Some((name, raw)) = peers.fetch_targets().await {
                    fleet.apply_peer_targets(&raw, &name);
                }
                timers.sleep(RETRY_DELAY).await;
            }
        }
        fleet.expire_lapsed();
    }
}

/// Reads configuration and named weights whenever no other instance has relayed them lately.
pub(super) async fn refresh_config_and_weights(context: Context, fleet: Rc<Fleet>) {
    let timers = *context.timers();
    let mut weights_read_at = None;
    let mut failed_at = None;
    loop {
        let peers = context.service::<Peers>();
        let now = timers.boot_now();
        let limit = match peers.rank() {
            0 => FIRST_INSTANCE_READ_AGE,
            _ if peers.update_source().is_some() => follower_read_age(&fleet),
            rank => SECOND_INSTANCE_READ_AGE + READ_AGE_STEP * (rank - 1).min(MAX_READ_AGE_STEPS),
        };
        let is_behind = peers.newest_config_version() > fleet.state().config_version();
        let is_config_due = is_behind || fleet.config_age().is_none_or(|age| age >= limit);
        let is_backing_off = failed_at.is_some_and(|at| now.saturating_sub(at) < RETRY_DELAY);
        if is_config_due && !is_backing_off {
            failed_at = read_policy(&context, &fleet, &peers)
                .await
                .is_err()
                .then(|| timers.boot_now());
        }
        let weights_age = peers
            .weights_confirmed_at()
            .max(weights_read_at)
            .map(|at| now.saturating_sub(at));
        if weights_age.is_none_or(|age| age >= limit) && !is_backing_off && failed_at.is_none() {
            let requested_at = timers.boot_now();
            match fleet.store().list_announced_weights().await {
                Ok(named) => {
                    let is_first = weights_read_at.is_none();
                    weights_read_at = Some(requested_at);
                    peers.record_weights_confirmed(requested_at);
                    fleet.on_stored_weights(&named, is_first);
                }
                Err(error) => {
                    failed_at = Some(timers.boot_now());
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

/// Age of the news at which an instance that gets them from another one asks itself. A new version
/// wakes it before; this bounds the time if the other one does not know of it either.
fn follower_read_age(fleet: &Fleet) -> Duration {
    Duration::from_millis(fleet.settings().config_ms).mul_f64(FOLLOWER_READ_RATIO)
}

async fn read_policy(context: &Context, fleet: &Fleet, peers: &Peers) -> StoreResult<()> {
    let requested_at = context.timers().boot_now();
    let error = match fleet.store().read_policy().await {
        Ok(Some(stored)) => {
            fleet.on_policy(stored, requested_at, "store");
            return Ok(());
        }
        // Before the operator's first configuration there is none.
        Ok(None) => return Ok(()),
        Err(error) => error,
    };
    slog::warn!(context.log(), "cannot read the configuration"; "error" => %error,
        "age_ms" => fleet.config_age().map(ms));
    if peers.newest_config_version() > fleet.state().config_version() {
        fetch_from_peer(context, fleet, peers).await;
    }
    Err(error)
}

/// Takes the configuration from a peer that has a newer one than this instance can read.
async fn fetch_from_peer(context: &Context, fleet: &Fleet, peers: &Peers) {
    let Some((name, raw)) = peers.fetch_policy().await else {
        return;
    };
    match fleet.store().decode_policy(&raw) {
        Ok(StoredPolicy { policy, raw }) => {
            let version = policy.version;
            let stored = StoredPolicy { policy, raw };
            // The peer's next message proves how recent the version is.
            fleet.on_policy(stored, Duration::ZERO, &name);
            peers.apply_peer_proofs(version);
        }
        Err(error) => {
            slog::warn!(context.log(), "a peer passed on an unusable configuration";
                "peer" => name, "error" => %error);
        }
    }
}
