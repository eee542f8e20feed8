//! Weighted random choice among targets of similar cost.

/// Difference of costs by which the probability falls to 1/e: a part of the lowest cost, and at least
/// a time. Estimates are not more precise than that, and all instances that see the same fastest target
/// would otherwise send to it.
const SPREAD_RATIO: f64 = 0.10;
const MIN_SPREAD_S: f64 = 0.003;

/// Turns costs in seconds into probabilities, in place, and returns the index chosen by `random`, a
/// number from 0 to 1. Each cost comes with a factor of its probability; a factor of 0 excludes it.
pub fn choose_weighted(costs: &mut [(f64, f64)], random: f64) -> Option<usize> {
    let usable = costs.iter().filter(|(_, factor)| *factor > 0.0);
    let lowest = usable.map(|(cost, _)| *cost).fold(f64::INFINITY, f64::min);
    if !lowest.is_finite() {
        return None;
    }
    let spread_s = (SPREAD_RATIO * lowest).max(MIN_SPREAD_S);
    let mut sum = 0.0;
    for (cost, factor) in costs.iter_mut() {
        if *factor > 0.0 {
            *factor *= ((lowest - *cost) / spread_s).exp();
        }
        sum += *factor;
    }
    let mut chosen = None;
    let mut before = 0.0;
    for (index, (_, factor)) in costs.iter_mut().enumerate() {
        *factor /= sum;
        if *factor > 0.0 && (chosen.is_none() || before <= random) {
            chosen = Some(index);
        }
        before += *factor;
    }
    chosen
}
