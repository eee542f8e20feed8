//! Explains a routing decision to operators.

use super::{Choice, RouteRequest, Router};
use crate::core::ids::Timestamp;
use crate::core::routing::scan::PrefixScan;

impl Router {
    /// Returns the candidates of a request with their costs, cheapest first. Changes no state.
    pub fn explain(&self, request: &RouteRequest<'_>, now: Timestamp) -> Vec<Choice> {
        let Some(model) = self.models.get(request.model) else {
            return Vec::new();
        };
        let mut scan = PrefixScan::default();
        self.collect(model, &mut scan, request, 0, now);
        let mut choices: Vec<Choice> = scan
            .candidates
            .iter()
            .filter(|target| self.is_eligible(model, request, **target, 0, now))
            .map(|target| self.evaluate(model, &scan, request, *target, now))
            .collect();
        choices.sort_by(|a, b| a.cost_s().total_cmp(&b.cost_s()));
        choices
    }
}
