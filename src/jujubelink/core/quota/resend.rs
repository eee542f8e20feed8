//! Budget of requests that are sent a second time.

use std::collections::VecDeque;
use std::time::Duration;

use crate::core::ids::Timestamp;

/// Part of the allowance that is used. The rest covers requests that other instances count in
/// another window.
const USABLE_RATIO: f64 = 0.85;

/// Counts kept; at the bound neighbouring ones merge.
const BUCKETS_PER_WINDOW: u32 = 20;

/// What all instances together may send again.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ResendPolicy {
    /// Arrivals beyond the first that each request allows.
    pub ratio: f64,
    /// Arrivals beyond the first that are allowed besides in a window, over all instances.
    pub slack: f64,
    /// Window.
    pub window: Duration,
}

#[derive(Debug, Clone, Copy)]
struct BucketCounts {
    since: Timestamp,
    requests: u32,
    resends: u32,
}

/// One instance's part of the budget of one service.
#[derive(Debug)]
pub struct ResendBudget {
    policy: ResendPolicy,
    buckets: VecDeque<BucketCounts>,
}

impl ResendBudget {
    /// A budget in which nothing was counted.
    pub fn new(policy: ResendPolicy) -> Self {
        Self {
            policy,
            buckets: VecDeque::new(),
        }
    }

    /// Notes a request of a client.
    pub fn on_request(&mut self, now: Timestamp) {
        self.current_bucket(now).requests += 1;
    }

    /// Takes one resend, if this instance's part of the budget allows it. `instances` is the number
    /// of instances that share the slack.
    pub fn try_acquire(&mut self, instances: usize, now: Timestamp) -> bool {
        self.current_bucket(now);
        let window = self.policy.window;
        let recent = self
            .buckets
            .iter()
            .filter(|bucket| now.saturating_sub(bucket.since) <= window);
        let (mut requests, mut resends) = (0, 0);
        for bucket in recent {
            requests += bucket.requests;
            resends += bucket.resends;
        }
        let slack = self.policy.slack / instances.max(1) as f64;
        let allowed = USABLE_RATIO * (self.policy.ratio * f64::from(requests) + slack);
        if f64::from(resends + 1) > allowed {
            return false;
        }
        self.current_bucket(now).resends += 1;
        true
    }

    fn current_bucket(&mut self, now: Timestamp) -> &mut BucketCounts {
        let window = self.policy.window;
        while self
            .buckets
            .front()
            .is_some_and(|bucket| now.saturating_sub(bucket.since) > window)
        {
            self.buckets.pop_front();
        }
        let width = window / BUCKETS_PER_WINDOW;
        let is_current = self
            .buckets
            .back()
            .is_some_and(|bucket| now.saturating_sub(bucket.since) < width);
        if !is_current {
            self.buckets.push_back(BucketCounts {
                since: now,
                requests: 0,
                resends: 0,
            });
        }
        self.buckets.back_mut().expect("the current bucket exists")
    }
}
