//! Deletes claims that are older than the retention period.

use std::rc::Rc;
use std::time::Duration;

use super::Claims;
use super::service::unix_ms;
use crate::core::claim::{CLAIM_PREFIX, ClaimRecord};
use crate::ops::platform::PlatformError;
use crate::ops::services::{HeldLease, LeaseService};

/// Object key of the lease under which one instance at a time deletes old claims.
pub(super) const SWEEP_LEASE: &str = "leases/claim-sweep";

/// Interval between sweeps.
const SWEEP_INTERVAL: Duration = Duration::from_secs(15 * 60);

/// Number of claims per page. A claim has up to 576 KB, so a page stays below the response size
/// limit of the client.
const PAGE_SIZE: u32 = 16;

/// Delay after each page and each deletion. It limits a sweep to 40 requests/s to the platform.
const REQUEST_DELAY: Duration = Duration::from_millis(25);

pub(super) async fn run(claims: Rc<Claims>) {
    let leases = claims.context.service::<dyn LeaseService>();
    let mut interval = claims.context.timers().interval(SWEEP_INTERVAL);
    loop {
        interval.tick().await;
        let Some(lease) = leases.acquire(SWEEP_LEASE).await else {
            continue;
        };
        match sweep(&claims, &*leases, &lease).await {
            Ok(deleted) if deleted > 0 => {
                slog::info!(claims.context.log(), "old claims deleted"; "claims" => deleted);
                claims.context.metrics().count("claims.deleted", deleted);
            }
            Ok(_) => {}
            Err(error) => claims.log_failure("cannot delete old claims", &error),
        }
    }
}

async fn sweep(
    claims: &Claims,
    leases: &dyn LeaseService,
    lease: &HeldLease,
) -> Result<u64, PlatformError> {
    let platform = claims.platform();
    let mut deleted = 0;
    let mut after = String::new();
    loop {
        let page = platform.list(CLAIM_PREFIX, &after, PAGE_SIZE).await?;
        let Some(last) = page.last() else {
            return Ok(deleted);
        };
        after.clone_from(&last.key);
        for object in &page {
            let is_expired = object
                .parse::<ClaimRecord>()
                .is_ok_and(|record| record.is_expired(unix_ms()));
            if is_expired && leases.is_held(lease) {
                platform.delete(&object.key, object.version).await?;
                deleted += 1;
                claims.context.timers().sleep(REQUEST_DELAY).await;
            }
        }
        if !leases.is_held(lease) || page.len() < PAGE_SIZE as usize {
            return Ok(deleted);
        }
        claims.context.timers().sleep(REQUEST_DELAY).await;
    }
}
