//! Present era of the store, which the client of the store and the tasks of the process share.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use crate::core::fleet::{EraFault, EraOutcome, EraTracker, StatedEra};
use crate::core::ids::{StoreEra, Timestamp};
use crate::ops::kernel::{Context, Notifier};

/// A change of the present era.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EraChange {
    /// Present era.
    pub era: StoreEra,
    /// Era before a restore of the store; `None` for the first era that is known, which shows no restore.
    pub former: Option<StoreEra>,
    /// When this instance learned of it. It is not before the store returned.
    pub at: Timestamp,
}

type Subscriber = Rc<dyn Fn(EraChange)>;

/// Present era of the store. Effects of a restore are applied by subscribers, before any value of the new
/// era is.
pub struct StoreEras {
    /// `None` in commands, which have no log and no metrics.
    context: Option<Context>,
    tracker: RefCell<EraTracker>,
    restores: Cell<u64>,
    restored_at: Cell<Option<Timestamp>>,
    subscribers: RefCell<Vec<Subscriber>>,
    changed: Notifier,
}

impl StoreEras {
    /// Creates the state of a process that has not called the store yet.
    pub fn new(context: &Context) -> Self {
        Self::with_context(Some(context.clone()))
    }

    /// Creates the state of a command.
    pub fn for_command() -> Self {
        Self::with_context(None)
    }

    fn with_context(context: Option<Context>) -> Self {
        Self {
            context,
            tracker: RefCell::default(),
            restores: Cell::new(0),
            restored_at: Cell::new(None),
            subscribers: RefCell::default(),
            changed: Notifier::new(),
        }
    }

    /// Returns the present era; `None` until a response or a peer has stated one.
    pub fn current(&self) -> Option<StoreEra> {
        self.tracker.borrow().current()
    }

    /// Whether the last response stated an era that is higher than the present one by more than one. The
    /// revisions of such responses do not compare with others, and a conditional write may have matched by
    /// accident.
    pub fn is_doubtful(&self) -> bool {
        self.tracker.borrow().is_doubtful()
    }

    /// Returns the number of restores that this process has noticed.
    pub fn restores(&self) -> u64 {
        self.restores.get()
    }

    /// Returns when this process noticed the last restore.
    pub fn restored_at(&self) -> Option<Timestamp> {
        self.restored_at.get()
    }

    /// Calls `subscriber` at each change of the era, before the response that states it is returned to its
    /// caller. It must not call the store.
    pub fn subscribe(&self, subscriber: impl Fn(EraChange) + 'static) {
        self.subscribers.borrow_mut().push(Rc::new(subscriber));
    }

    /// Completes at the next restore. One between two calls is seen only by [`Self::restores`].
    pub fn restored(&self) -> impl Future<Output = ()> + 'static {
        self.changed.changed()
    }

    /// Applies the era of a complete response to a request that was sent in the era `sent_in`. Returns
    /// whether the response may be used; otherwise it is of a former era.
    pub fn on_response(&self, stated: StatedEra, sent_in: Option<StoreEra>) -> bool {
        let outcome = self.tracker.borrow_mut().on_response(stated, sent_in);
        match outcome {
            EraOutcome::Former { fault } => {
                self.count("store.discarded");
                if let Some((fault, is_first)) = fault {
                    self.on_fault(fault, is_first, stated);
                }
                return false;
            }
            EraOutcome::Faulty { fault, is_first } => self.on_fault(fault, is_first, stated),
            outcome => self.on_outcome(outcome, "store"),
        }
        true
    }

    /// Applies the era that a peer states.
    pub fn on_peer_era(&self, era: StoreEra, peer: &str) {
        let outcome = self.tracker.borrow_mut().on_peer(era);
        self.on_outcome(outcome, peer);
    }

    fn on_outcome(&self, outcome: EraOutcome, source: &str) {
        let context = self.context.as_ref();
        let at = context.map_or(Timestamp::ZERO, |context| context.timers().boot_now());
        let change = match outcome {
            EraOutcome::First { era } => EraChange {
                era,
                former: None,
                at,
            },
            EraOutcome::Raised { former, era } => EraChange {
                era,
                former: Some(former),
                at,
            },
            _ => return,
        };
        if let Some(former) = change.former {
            if let Some(context) = context {
                slog::warn!(context.log(), "store restored from an older copy";
                    "era" => change.era, "former" => former, "source" => source);
            }
            self.count("store.restores");
            self.restores.set(self.restores.get() + 1);
            self.restored_at.set(Some(at));
        }
        let subscribers = self.subscribers.borrow().clone();
        for subscriber in subscribers {
            subscriber(change);
        }
        if change.former.is_some() {
            self.changed.notify();
        }
    }

    fn on_fault(&self, fault: EraFault, is_first: bool, stated: StatedEra) {
        self.count("store.era_faults");
        if let (true, Some(context)) = (is_first, &self.context) {
            slog::warn!(context.log(), "faulty era of the store; the last one stays in effect";
                "fault" => format!("{fault:?}"), "stated" => format!("{stated:?}"),
                "era" => self.current());
        }
    }

    fn count(&self, name: &'static str) {
        if let Some(context) = &self.context {
            context.metrics().count(name, 1);
        }
    }
}
