//! Limits of the time that clients may take, in the deployment with a fleet store.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use crate::core::connection::{KnownLimits, LimitHistory, WaitLimits};
use crate::ops::fleet::Fleet;
use crate::ops::kernel::Context;
use crate::ops::services::ConfigService;

/// Connections may be idle for at least this time, also if the configuration allows less.
const MIN_IDLE_TIME: Duration = Duration::from_secs(15);

/// Limits until a configuration is known.
const UNKNOWN_LIMITS: WaitLimits = WaitLimits {
    header_timeout: Duration::from_secs(15),
    idle_timeout: MIN_IDLE_TIME,
};

/// Limits that the active configuration states, or stated a short time ago.
pub(super) struct ClientLimits {
    context: Context,
    fleet: Rc<Fleet>,
    /// Empty until a configuration is known.
    history: RefCell<Option<LimitHistory>>,
}

impl ClientLimits {
    pub(super) fn new(context: &Context) -> Self {
        Self {
            context: context.clone(),
            fleet: context.service(),
            history: RefCell::default(),
        }
    }

    /// Returns the limits that clients may keep to.
    pub(super) fn known(&self, is_crowded: bool) -> KnownLimits {
        let limits = self.observe().unwrap_or(UNKNOWN_LIMITS);
        let now = self.context.timers().boot_now();
        let history = self.history.borrow();
        // A superseded version that was not read may have allowed more, as without a proof.
        let may_have_skipped = history.is_some_and(|history| history.may_have_skipped(now));
        let age = self.fleet.config_age();
        KnownLimits {
            limits,
            age: age.filter(|_| !may_have_skipped),
            is_crowded,
        }
    }

    /// Keeps the history complete while no connection asks for limits.
    pub(super) async fn watch_config(&self) {
        let config = self.context.service::<dyn ConfigService>();
        loop {
            let changed = config.changed();
            self.observe();
            changed.await;
        }
    }

    /// Applies the limits of the active configuration. Returns those that clients may keep to.
    fn observe(&self) -> Option<WaitLimits> {
        let policy = self.fleet.policy()?;
        let active = WaitLimits {
            header_timeout: policy.header_timeout,
            idle_timeout: policy.idle_timeout.max(MIN_IDLE_TIME),
        };
        let now = self.context.timers().boot_now();
        let mut history = self.history.borrow_mut();
        let change_time = Duration::from_millis(self.fleet.settings().config_ms);
        let history = history.get_or_insert_with(|| LimitHistory::new(active, change_time));
        history.set_change_time(change_time);
        history.on_version(policy.version, now);
        history.on_limits(active, now);
        Some(history.limits(now))
    }
}
