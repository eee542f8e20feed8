//! Placements that are released when they are dropped.

use std::rc::Rc;

use super::exchange::Exchange;
use crate::core::ids::{RequestId, TargetId, Timestamp};
use crate::ops::proxy::handler::Proxy;
use crate::ops::services::{AttemptOutcome, ModelRequest, Placement, SchedulerService};

/// A placement of a request. Dropping it reports the end of the send as cancelled.
pub(super) struct HeldPlacement {
    release: Release,
    placement: Option<Placement>,
}

impl HeldPlacement {
    pub(super) fn new(exchange: &Exchange, placement: Placement) -> Self {
        Self {
            release: exchange.placement_release(),
            placement: Some(placement),
        }
    }

    /// Returns the target.
    pub(super) fn target(&self) -> Option<TargetId> {
        let placement = self.placement.as_ref();
        placement.map(|placement| placement.target.clone())
    }

    /// Takes the placement, which the caller has to release.
    pub(super) fn take(&mut self) -> Option<Placement> {
        self.placement.take()
    }
}

impl Drop for HeldPlacement {
    fn drop(&mut self) {
        if let Some(placement) = self.placement.take() {
            self.release.report(placement, AttemptOutcome::Cancelled);
        }
    }
}

/// Reports the ends of the placements of one request to the scheduler.
pub(super) struct Release {
    proxy: Rc<Proxy>,
    request: RequestId,
    is_model_request: bool,
}

impl Release {
    pub(super) fn report(&self, placement: Placement, outcome: AttemptOutcome) {
        let scheduler = self.proxy.service::<dyn SchedulerService>();
        if !self.is_model_request {
            scheduler.report_plain(placement, outcome);
            return;
        }
        let request = ModelRequest {
            id: self.request.clone(),
            workspace: "".into(),
            model: "".into(),
            prompt: Rc::default(),
            cost_tokens: 0,
            first_token_deadline: Timestamp::ZERO,
            excluded: Vec::new(),
            is_suspect: false,
            aims: None,
        };
        scheduler.report(&request, placement, outcome);
    }
}

impl Exchange {
    fn placement_release(&self) -> Release {
        Release {
            proxy: Rc::clone(&self.proxy),
            request: self.head.id.clone(),
            is_model_request: self.is_model_request(),
        }
    }

    /// Reports the end of the send to the scheduler.
    pub(super) fn end_placement(&mut self, outcome: AttemptOutcome) {
        if let Some(placement) = self.placement.take() {
            self.release(placement, outcome);
        }
    }

    /// Reports the end of a placement to the scheduler.
    pub(super) fn release(&self, placement: Placement, outcome: AttemptOutcome) {
        self.placement_release().report(placement, outcome);
    }

    /// Returns the target of the present placement.
    pub(super) fn current_target(&self) -> Option<TargetId> {
        let placement = self.placement.as_ref();
        placement.map(|placement| placement.target.clone())
    }
}
