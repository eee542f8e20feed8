//! Budget of requests that are sent again to another target.

use std::collections::VecDeque;
use std::time::Duration;

use crate::core::ids::Timestamp;

/// Fraction of the allowance that is used. The rest covers requests that other instances count in a
/// different window.
const USABLE_RATIO: f64 = 0.85;

/// Number of time buckets in a window.
const BUCKETS_PER_WINDOW: u32 = 20;

/// Limit on resends over all instances together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ResendPolicy {
    /// Allowed resends per request.
    pub ratio: f64,
    /// Additional allowed resends per window, over all instances.
    pub slack: f64,
    /// Window.
    pub window: Duration,
}

/// Requests and resends in one time bucket.
#[derive(Debug, Clone, Copy)]
struct BucketCounts {
    since: Timestamp,
    requests: u32,
    resends: u32,
}

/// One instance's part of the resend budget of one service.
#[derive(Debug)]
pub struct ResendBudget {
    policy: ResendPolicy,
    buckets: VecDeque<BucketCounts>,
}

impl ResendBudget {
    /// Creates a budget without any requests.
    pub fn new(policy: ResendPolicy) -> Self {
        Self {
            policy,
            buckets: VecDeque::new(),
        }
    }

    /// Applies the limit of the present settings.
    pub fn set_policy(&mut self, policy: ResendPolicy) {
        self.policy = policy;
    }

    /// Records a request of a client.
    pub fn on_request(&mut self, now: Timestamp) {
        self.current_bucket(now).requests += 1;
    }

    /// Acquires one resend if this instance's part of the budget allows it. `instances` is the
    /// number of instances that share the slack. Returns whether it is allowed.
    pub fn try_acquire(&mut self, instances: usize, now: Timestamp) -> bool {
        let is_allowed = self.is_allowed(instances, now);
        if is_allowed {
            self.current_bucket(now).resends += 1;
        }
        is_allowed
    }

    /// Whether this instance's part of the budget allows one more resend.
    pub fn is_allowed(&mut self, instances: usize, now: Timestamp) -> bool {
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
        f64::from(resends + 1) <= allowed
    }

    /// Drops the buckets that have left the window, and returns the current one.
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
