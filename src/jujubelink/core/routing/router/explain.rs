//! Explanation of a choice for operators.

use super::{Choice, RouteRequest, Router};
use crate::core::ids::Timestamp;
use crate::core::routing::scan::PrefixScan;

impl Router {
    /// Targets that a request would be weighed over, cheapest first. Changes nothing.
    pub fn explain(&self, request: &RouteRequest<'_>, now: Timestamp) -> Vec<Choice> {
        let Some(state) = self.models.get(request.model) else {
            return Vec::new();
        };
        let mut scan = PrefixScan::default();
        self.collect(state, &mut scan, request, 0, now);
        let mut choices: Vec<Choice> = scan
            .candidates
            .iter()
            .filter(|target| self.is_eligible(state, request, **target, 0))
            .map(|target| self.evaluate(state, &scan, request, *target, now))
            .collect();
        choices.sort_by(|a, b| a.cost_s().total_cmp(&b.cost_s()));
        choices
    }
}
