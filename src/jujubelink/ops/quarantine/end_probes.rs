//! Probes of targets at which responses without a length have ended, at most one at a time for each target.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::rc::Rc;

use futures_util::FutureExt;
use futures_util::future::{LocalBoxFuture, Shared};

use crate::core::crash::CrashId;
use crate::core::relay::ProbeFinding;

/// A probe that is sent once the one before it is answered.
#[derive(Clone)]
struct PendingProbe {
    finding: Shared<LocalBoxFuture<'static, ProbeFinding>>,
    /// Whether it has been sent. A response that ends later needs another one.
    is_sent: Rc<Cell<bool>>,
}

/// The last probe of each incarnation of a target, until it is answered. There are at most as many as
/// incarnations at which responses are in progress.
#[derive(Default)]
pub(super) struct EndProbes(Rc<RefCell<HashMap<CrashId, PendingProbe>>>);

impl EndProbes {
    /// Returns the finding of a probe that is sent after now, by `ask` or by an earlier call. An incarnation
    /// that is gone is not asked again.
    pub(super) fn ask(
        &self,
        id: CrashId,
        ask: impl Future<Output = ProbeFinding> + 'static,
    ) -> Shared<LocalBoxFuture<'static, ProbeFinding>> {
        let last = self.0.borrow().get(&id).cloned();
        if let Some(last) = last.as_ref().filter(|last| !last.is_sent.get()) {
            return last.finding.clone();
        }
        let is_sent = Rc::new(Cell::new(false));
        let (sent, probes) = (Rc::clone(&is_sent), Rc::clone(&self.0));
        let finding = async move {
            let previous = match last {
                Some(last) => Some(last.finding.await),
                None => None,
            };
            sent.set(true);
            let finding = match previous {
                Some(ProbeFinding::Gone) => ProbeFinding::Gone,
                _ => ask.await,
            };
            let mut probes = probes.borrow_mut();
            if probes
                .get(&id)
                .is_some_and(|last| Rc::ptr_eq(&last.is_sent, &sent))
            {
                probes.remove(&id);
            }
            finding
        };
        let finding = finding.boxed_local().shared();
        let probe = PendingProbe {
            finding: finding.clone(),
            is_sent,
        };
        self.0.borrow_mut().insert(id, probe);
        // The probe goes on if the response that waits for it is dropped.
        compio::runtime::spawn(finding.clone()).detach();
        finding
    }
}
