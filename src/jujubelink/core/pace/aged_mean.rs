//! Mean of values whose weight decays with their age.

use std::time::Duration;

use crate::core::ids::Timestamp;

/// Mean of values in which each value has a weight that starts at 1 and decays exponentially.
#[derive(Debug, Clone, Copy, Default)]
pub struct AgedMean {
    mean: f64,
    /// Sum of the weights at `updated`.
    weight: f64,
    updated: Timestamp,
}

impl AgedMean {
    /// Adds a value; `window` is the time constant of the decay.
    pub fn add(&mut self, value: f64, window: Duration, now: Timestamp) {
        self.weight = self.weight(window, now) + 1.0;
        self.mean += (value - self.mean) / self.weight;
        self.updated = self.updated.max(now);
    }

    /// Returns the mean, whatever the age of its values.
    pub fn mean(&self) -> f64 {
        self.mean
    }

    /// Returns the sum of the weights.
    pub fn weight(&self, window: Duration, now: Timestamp) -> f64 {
        let age_s = now.saturating_sub(self.updated).as_secs_f64();
        self.weight * (-age_s / window.as_secs_f64()).exp()
    }

    /// Returns how far the mean is to be trusted, from 0 to 1. At a weight of `prior` it is one half.
    pub fn confidence(&self, prior: f64, window: Duration, now: Timestamp) -> f64 {
        let weight = self.weight(window, now);
        weight / (weight + prior)
    }
}
