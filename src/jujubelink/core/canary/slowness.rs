//! Which responses are slow compared with those of the old version on the same route.

use std::collections::VecDeque;
use std::time::Duration;

/// Responses of the old version that are kept.
const MAX_SAMPLES: usize = 64;

/// Responses that are needed to know what is usual.
const MIN_SAMPLES: usize = 8;

/// Factor over the median of the old version from which on a response is slow. Bad versions take several
/// times as long.
const SLOW_FACTOR: f64 = 2.0;

/// Added to the limit, as responses that take less than a few milliseconds differ by chance.
const MIN_DIFFERENCE: Duration = Duration::from_millis(5);

/// Response times of the old version on one route, as seen by this instance.
#[derive(Debug, Clone, Default)]
pub(super) struct Slowness {
    samples: VecDeque<Duration>,
    sorted: Vec<Duration>,
    limit: Option<Duration>,
}

impl Slowness {
    /// Whether a response is slow. Nothing is slow before it is known what is usual.
    pub(super) fn is_slow(&self, took: Duration) -> bool {
        self.limit.is_some_and(|limit| took > limit)
    }

    /// Adds a response of the old version.
    pub(super) fn on_old(&mut self, took: Duration) {
        if self.samples.len() >= MAX_SAMPLES
            && let Some(oldest) = self.samples.pop_front()
            && let Ok(place) = self.sorted.binary_search(&oldest)
        {
            self.sorted.remove(place);
        }
        self.samples.push_back(took);
        let place = self.sorted.partition_point(|other| *other < took);
        self.sorted.insert(place, took);
        if self.sorted.len() < MIN_SAMPLES {
            return;
        }
        let median = self.sorted[self.sorted.len() / 2];
        self.limit = Some(median.mul_f64(SLOW_FACTOR) + MIN_DIFFERENCE);
    }
}
