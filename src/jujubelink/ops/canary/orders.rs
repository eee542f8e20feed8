//! Reading of the orders from the store.

use std::rc::Rc;
use std::time::Duration;

use super::Canary;
use crate::ops::kernel::Lifecycle;

/// Time between checks of the age of the last read.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Age of the last read at which the instance of rank 0 reads the orders again, as for announced weights.
const FIRST_INSTANCE_READ_AGE: Duration = Duration::from_millis(700);

/// The same for rank 1, if the reads of rank 0 do not arrive.
const SECOND_INSTANCE_READ_AGE: Duration = Duration::from_millis(1_450);

/// Additional age for each further rank.
const READ_AGE_STEP: Duration = Duration::from_millis(150);

/// Largest number of such steps.
const MAX_READ_AGE_STEPS: u32 = 3;

/// Age for an instance that gets its updates from another one. In a large fleet messages arrive every few
/// seconds.
const FOLLOWER_READ_AGE: Duration = Duration::from_secs(12);

/// Delay before the next read after a failed one.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Reads the orders whenever no peer has relayed a recent read.
pub(super) async fn read_orders(canary: Rc<Canary>) {
    let timers = *canary.context.timers();
    loop {
        if canary.context.shutdown().lifecycle() == Lifecycle::Closing {
            return;
        }
        let rank = canary.peers.rank();
        let max_age = match rank {
            0 => FIRST_INSTANCE_READ_AGE,
            _ if canary.peers.update_source().is_some() => FOLLOWER_READ_AGE,
            rank => SECOND_INSTANCE_READ_AGE + READ_AGE_STEP * (rank - 1).min(MAX_READ_AGE_STEPS),
        };
        let age = canary.read_age();
        if canary.is_enabled() && age.is_none_or(|age| age >= max_age) {
            let requested_at = timers.boot_now();
            match canary.fleet.store().list_rollouts().await {
                Ok(listed) => {
                    canary.fleet.on_store_answer(requested_at);
                    canary.fleet.log_entry_faults(&listed.faults);
                    canary.on_stored_orders(listed.entries, requested_at);
                }
                Err(error) => {
                    slog::warn!(canary.context.log(), "cannot read the orders of roll-outs";
                        "error" => %error);
                    timers.sleep(RETRY_DELAY).await;
                }
            }
        }
        timers.sleep(CHECK_INTERVAL).await;
    }
}
