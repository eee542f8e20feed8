//! Limit of concurrent work, learned from the pace at different numbers of requests.

use std::time::Duration;

use super::AgedMean;
use crate::core::ids::Timestamp;

/// Number of octaves of request counts that are kept apart: 1, 2, 3 to 4, and so on up to more than
/// 64. The highest one contains all further counts.
const OCTAVES: usize = 8;

/// Time constant with which samples lose weight. After it a limit is tried again at a higher count.
const SAMPLE_WINDOW: Duration = Duration::from_secs(20);

/// Weight of samples from which an octave is compared with the one below. Fewer samples of a pace
/// that changes many times a second do not show a trend.
const MIN_WEIGHT: f64 = 4.0;

/// Ratio of the throughput of an octave to the one below, under which the octave is not used. The
/// tolerance keeps noise from lowering the limit of a target whose throughput is level.
const MIN_THROUGHPUT_RATIO: f64 = 0.95;

/// Number of concurrent requests that a target takes well: as long as more of them finish per second
/// at a higher count, the higher count is used.
#[derive(Debug, Clone, Copy, Default)]
pub struct ConcurrencyLimit {
    /// Logarithm of the reported pace for each octave of the number of requests.
    log_paces: [AgedMean; OCTAVES],
}

impl ConcurrencyLimit {
    /// Records the pace at a number of requests.
    pub fn on_report(&mut self, requests: u32, pace: f64, now: Timestamp) {
        self.log_paces[octave(requests)].add(pace.ln(), SAMPLE_WINDOW, now);
    }

    /// Returns the limit, which is at least 1 and at most `slots`. Counts without samples are allowed.
    pub fn limit(&self, slots: u32, now: Timestamp) -> u32 {
        let is_known = |mean: &AgedMean| mean.weight(SAMPLE_WINDOW, now) >= MIN_WEIGHT;
        let throughput_of = |octave: usize| middle(octave) / self.log_paces[octave].mean().exp();
        let known = |octave: &usize| is_known(&self.log_paces[*octave]);
        let mut below: Option<usize> = None;
        for octave in (0..OCTAVES).filter(known) {
            if let Some(below) = below
                && throughput_of(octave) < MIN_THROUGHPUT_RATIO * throughput_of(below)
            {
                return top(below).min(slots).max(1);
            }
            below = Some(octave);
        }
        slots.max(1)
    }
}

/// Returns the octave of a number of requests: 0 for 1, 1 for 2, 2 for 3 and 4, and so on.
fn octave(requests: u32) -> usize {
    let bits = u32::BITS - requests.saturating_sub(1).leading_zeros();
    (bits as usize).min(OCTAVES - 1)
}

/// Returns the highest number of requests in an octave.
fn top(octave: usize) -> u32 {
    1 << octave
}

/// Returns the middle of an octave.
fn middle(octave: usize) -> f64 {
    let top = f64::from(top(octave));
    match octave {
        0 | 1 => top,
        _ => 0.75 * top + 0.5,
    }
}
