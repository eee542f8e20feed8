//! Explains to operators where a prompt would be placed.

use std::rc::Rc;

use super::service::SchedulerState;
use crate::core::ids::TargetId;
use crate::core::retry::SuspectState;
use crate::core::routing::{Choice, RouteRequest};
use crate::ops::services::{ModelRequest, TraceCandidate, TraceReport, TraceService};

/// Implements [`TraceService`] on the scheduler's state.
pub(super) struct PlacementTracer(pub(super) Rc<SchedulerState>);

impl TraceService for PlacementTracer {
    fn explain(&self, request: &ModelRequest) -> TraceReport {
        let now = self.0.now();
        let scheduler = self.0.scheduler.borrow();
        let config = self.0.config();
        let workspace = config
            .as_ref()
            .and_then(|config| config.workspace(&request.workspace));
        let route = RouteRequest {
            model: &request.model,
            blocks: &request.prompt.blocks,
            prompt_bytes: request.prompt.prompt_bytes,
            rate_tokens_per_s: workspace.map_or(0, |(_, workspace)| workspace.rate_tokens_per_s),
            excluded: &request.excluded,
            is_suspect: request.is_suspect,
            is_urgent: false,
        };
        let router = scheduler.router();
        let choices = router.explain(&route, now);
        let candidates: Vec<TraceCandidate> = choices
            .iter()
            .enumerate()
            .map(|(rank, choice)| {
                let target = router.targets().get(choice.target).id.clone();
                candidate(target, rank == 0, choice)
            })
            .collect();
        let refusal = match scheduler.suspect_state(request.prompt.whole, now) {
            SuspectState::Quarantined { .. } => Some("the request is quarantined".to_owned()),
            _ if candidates.is_empty() => Some("no target of the model is in service".to_owned()),
            _ => None,
        };
        TraceReport {
            refusal,
            candidates,
        }
    }
}

fn candidate(target: TargetId, is_chosen: bool, choice: &Choice) -> TraceCandidate {
    let mut reason = format!(
        "in the replica sets of the first {} blocks; {} blocks seen lately",
        choice.replica_blocks, choice.recent_blocks
    );
    if !choice.has_capacity {
        reason.push_str("; its queue is full, so a request would wait here");
    }
    TraceCandidate {
        target,
        is_chosen,
        expected_cached_blocks: choice.cached_blocks,
        expected_wait_ms: whole_ms(choice.wait_s),
        expected_recompute_ms: whole_ms(choice.prefill_s),
        reason,
    }
}

fn whole_ms(seconds: f64) -> f64 {
    (seconds * 1000.0).round()
}
