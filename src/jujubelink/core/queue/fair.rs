//! Start-time fair queueing with one queue per workspace.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::core::ids::{Timestamp, Tokens, WorkspaceId};
use crate::core::overload::{Aims, LATE_RANK, Rank};

/// Maximum number of queued requests. At the limit, the workspace with the most queued tokens
/// relative to its weight loses its request with the fewest tokens, which is the cheapest to
/// repeat.
pub const MAX_QUEUED: usize = 4096;

/// Maximum total prompt size of queued requests; handled like [`MAX_QUEUED`].
pub const MAX_QUEUED_BYTES: usize = 64 * 1024 * 1024;

/// Number of requests of one workspace that are considered in one pass. While its first request
/// waits for a particular target, the others may be dispatched.
const MAX_LOOKAHEAD: usize = 8;

/// Number of requests that are considered in one pass over all workspaces.
const MAX_DISPATCH_CANDIDATES: usize = 64;

/// Number of late requests that are considered in one pass. They wait for seconds, and each one that is
/// considered costs a search for a target. If the first ones get none, the others would hardly get one.
const MAX_LATE_CANDIDATES: usize = 4;

/// Cost of a request that other workspaces may get dispatched, by weight, before it goes ahead of their
/// more urgent ones, as a multiple of its own cost.
const MAX_LAG_RATIO: f64 = 4.0;

/// Identifier of a queued request.
pub type JobId = u64;

/// A queued request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueuedJob {
    /// Identifier.
    pub id: JobId,
    /// Estimated number of tokens.
    pub cost_tokens: Tokens,
    /// Length of the prompt.
    pub bytes: usize,
    /// Time at which the request is refused.
    pub deadline: Timestamp,
    /// Aims by which the request is ordered; without them, by arrival.
    pub aims: Option<Aims>,
}

impl QueuedJob {
    fn rank(&self, now: Timestamp) -> Rank {
        self.aims.map_or(0, |aims| aims.rank(now))
    }
}

#[derive(Debug, Default)]
struct WorkspaceQueue {
    jobs: VecDeque<QueuedJob>,
    /// Virtual start time of the workspace's next request.
    start_tag: f64,
    weight: u32,
    queued_tokens: Tokens,
}

impl WorkspaceQueue {
    fn weight(&self) -> f64 {
        f64::from(self.weight.max(1))
    }
}

/// Fair queue. Backlogged workspaces receive dispatched tokens in proportion to their weights; an
/// idle workspace accumulates no credit.
#[derive(Debug, Default)]
pub struct FairQueue {
    workspaces: HashMap<WorkspaceId, WorkspaceQueue>,
    /// Start tag of the last dispatched request.
    virtual_time: f64,
    queued: usize,
    queued_bytes: usize,
    dispatch_rate: DispatchRate,
}

impl FairQueue {
    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.queued
    }

    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.queued == 0
    }

    /// Adds a request. Returns the requests to refuse because of the limits, possibly including the
    /// new one.
    pub fn push(
        &mut self,
        workspace: &WorkspaceId,
        weight: u32,
        job: QueuedJob,
        now: Timestamp,
    ) -> Vec<JobId> {
        self.dispatch_rate.update(true, now);
        let virtual_time = self.virtual_time;
        let queue = self.workspaces.entry(workspace.clone()).or_default();
        queue.weight = weight;
        if queue.jobs.is_empty() {
            queue.start_tag = queue.start_tag.max(virtual_time);
        }
        queue.jobs.push_back(job);
        queue.queued_tokens += job.cost_tokens;
        self.queued += 1;
        self.queued_bytes += job.bytes;
        let mut shed = Vec::new();
        while self.queued > MAX_QUEUED || self.queued_bytes > MAX_QUEUED_BYTES {
            match self.shed_one() {
                Some(id) => shed.push(id),
                None => break,
            }
        }
        shed
    }

    /// Removes one request to get below the limits.
    fn shed_one(&mut self) -> Option<JobId> {
        let (workspace, queue) = self
            .workspaces
            .iter()
            .filter(|(_, queue)| !queue.jobs.is_empty())
            .max_by(|(a_name, a), (b_name, b)| {
                let a_load = a.queued_tokens as f64 / a.weight();
                let b_load = b.queued_tokens as f64 / b.weight();
                a_load.total_cmp(&b_load).then(a_name.cmp(b_name))
            })?;
        let cheapest = queue.jobs.iter().min_by_key(|job| job.cost_tokens)?.id;
        let workspace = workspace.clone();
        self.remove_job(&workspace, cheapest).map(|job| job.id)
    }

    /// Removes a request without charging its workspace.
    pub fn remove(&mut self, workspace: &WorkspaceId, id: JobId, now: Timestamp) -> bool {
        let is_removed = self.remove_job(workspace, id).is_some();
        self.dispatch_rate.update(self.queued > 0, now);
        is_removed
    }

    fn remove_job(&mut self, workspace: &WorkspaceId, id: JobId) -> Option<QueuedJob> {
        let queue = self.workspaces.get_mut(workspace)?;
        let position = queue.jobs.iter().position(|job| job.id == id)?;
        let job = queue.jobs.remove(position)?;
        queue.queued_tokens -= job.cost_tokens;
        self.queued -= 1;
        self.queued_bytes -= job.bytes;
        Some(job)
    }

    /// Removes a dispatched request and charges its workspace.
    pub fn on_dispatched(&mut self, workspace: &WorkspaceId, id: JobId, now: Timestamp) {
        let Some(job) = self.remove_job(workspace, id) else {
            return;
        };
        if let Some(queue) = self.workspaces.get_mut(workspace) {
            self.virtual_time = self.virtual_time.max(queue.start_tag);
            queue.start_tag += job.cost_tokens as f64 / queue.weight();
        }
        self.dispatch_rate.update(self.queued > 0, now);
        self.dispatch_rate.on_dispatched(job.cost_tokens);
    }

    /// Returns the requests in the order in which they should be dispatched: by rank, then workspaces by
    /// start tag, and the requests of a workspace by the end of their time or, without aims, by arrival.
    pub fn dispatch_order(&self, now: Timestamp) -> Vec<(WorkspaceId, JobId)> {
        let mut backlogged: Vec<_> = self
            .workspaces
            .iter()
            .filter(|(_, queue)| !queue.jobs.is_empty())
            .collect();
        backlogged.sort_by(|(a_name, a), (b_name, b)| {
            a.start_tag.total_cmp(&b.start_tag).then(a_name.cmp(b_name))
        });
        let mut queues = backlogged.iter().map(|(_, queue)| queue);
        if !queues.any(|queue| queue.jobs.iter().any(|job| job.aims.is_some())) {
            return backlogged
                .into_iter()
                .flat_map(|(name, queue)| {
                    let jobs = queue.jobs.iter().take(MAX_LOOKAHEAD);
                    jobs.map(move |job| (name.clone(), job.id))
                })
                .take(MAX_DISPATCH_CANDIDATES)
                .collect();
        }
        let mut candidates: Vec<_> = backlogged
            .into_iter()
            .flat_map(|(name, queue)| {
                let jobs = self.first_jobs(queue, now).into_iter();
                jobs.map(move |(rank, job)| (rank, name, job))
            })
            .collect();
        // The sort is stable, so that start tags decide between requests of one rank.
        candidates.sort_by_key(|(rank, _, _)| *rank);
        let timely = candidates.partition_point(|(rank, _, _)| *rank < LATE_RANK);
        candidates
            .into_iter()
            .take(timely + MAX_LATE_CANDIDATES)
            .take(MAX_DISPATCH_CANDIDATES)
            .map(|(_, name, job)| (name.clone(), job))
            .collect()
    }

    /// Returns the first requests of a workspace with their ranks, the most urgent ones first.
    fn first_jobs(&self, queue: &WorkspaceQueue, now: Timestamp) -> Vec<(Rank, JobId)> {
        let lag = (self.virtual_time - queue.start_tag) * queue.weight();
        let order = |(index, job): (usize, &QueuedJob)| {
            let is_behind = lag > MAX_LAG_RATIO * job.cost_tokens as f64;
            let (rank, end) = match &job.aims {
                None => (0, Timestamp::ZERO),
                Some(aims) if !aims.is_timely(now) => (job.rank(now), aims.deadline),
                Some(aims) if is_behind => (0, aims.latest_start),
                Some(aims) => (job.rank(now), aims.latest_start),
            };
            (rank, end, index, job.id)
        };
        let mut jobs: Vec<_> = queue.jobs.iter().enumerate().map(order).collect();
        if jobs.len() > MAX_LOOKAHEAD {
            jobs.select_nth_unstable(MAX_LOOKAHEAD);
            jobs.truncate(MAX_LOOKAHEAD);
        }
        jobs.sort_unstable();
        jobs.into_iter()
            .map(|(rank, _, _, id)| (rank, id))
            .collect()
    }

    /// Removes and returns the requests whose deadline has passed.
    pub fn expire(&mut self, now: Timestamp) -> Vec<JobId> {
        let mut expired = Vec::new();
        for queue in self.workspaces.values_mut() {
            queue.jobs.retain(|job| {
                let is_expired = job.deadline <= now;
                if is_expired {
                    expired.push(job.id);
                    queue.queued_tokens -= job.cost_tokens;
                    self.queued -= 1;
                    self.queued_bytes -= job.bytes;
                }
                !is_expired
            });
        }
        expired.sort_unstable();
        self.dispatch_rate.update(self.queued > 0, now);
        let virtual_time = self.virtual_time;
        self.workspaces
            .retain(|_, queue| !queue.jobs.is_empty() || queue.start_tag > virtual_time);
        expired
    }

    /// Returns the earliest deadline of a queued request.
    pub fn next_deadline(&self) -> Option<Timestamp> {
        let queues = self.workspaces.values();
        queues
            .flat_map(|queue| queue.jobs.iter().map(|job| job.deadline))
            .min()
    }

    /// Returns the expected wait of a new request: the part of the workspace's backlog that is at least as
    /// urgent, divided by the workspace's part of the observed dispatch rate. `None` if the workspace has
    /// no backlog or the rate is unknown.
    pub fn expected_wait(
        &self,
        workspace: &WorkspaceId,
        weight: u32,
        aims: Option<&Aims>,
        now: Timestamp,
    ) -> Option<Duration> {
        let queue = self.workspaces.get(workspace)?;
        if queue.jobs.is_empty() {
            return None;
        }
        let rate = self.dispatch_rate.tokens_per_s()?;
        let weights: f64 = self
            .workspaces
            .values()
            .filter(|queue| !queue.jobs.is_empty())
            .map(WorkspaceQueue::weight)
            .sum();
        let workspace_rate = rate * f64::from(weight.max(1)) / weights;
        let tokens_ahead = match aims {
            None => queue.queued_tokens,
            Some(aims) => {
                let rank = aims.rank(now);
                let ahead = queue.jobs.iter().filter(|job| job.rank(now) <= rank);
                ahead.map(|job| job.cost_tokens).sum()
            }
        };
        let wait_s = tokens_ahead as f64 / workspace_rate;
        Some(Duration::from_secs_f64(wait_s.min(MAX_EXPECTED_WAIT_S)))
    }
}

/// Upper bound of the expected wait, from which the retry delay sent to refused clients follows, in
/// seconds.
const MAX_EXPECTED_WAIT_S: f64 = 60.0;

/// Time constant of the dispatch rate, in seconds of backlogged time.
const DISPATCH_RATE_WINDOW_S: f64 = 2.0;

/// Backlogged time that is needed for a meaningful rate, in seconds.
const MIN_BACKLOGGED_S: f64 = 0.5;

/// Rate of dispatched tokens while there is a backlog. Idle time is excluded: the rate of a mostly
/// empty queue says nothing about how fast a backlog would be dispatched.
#[derive(Debug, Default)]
struct DispatchRate {
    backlogged_since: Option<Timestamp>,
    backlogged_s: f64,
    tokens: f64,
}

impl DispatchRate {
    /// Advances the time. `has_backlog` states whether requests are queued from now on.
    fn update(&mut self, has_backlog: bool, now: Timestamp) {
        if let Some(since) = self.backlogged_since {
            let elapsed_s = now.saturating_sub(since).as_secs_f64();
            let decay = (-elapsed_s / DISPATCH_RATE_WINDOW_S).exp();
            self.backlogged_s = self.backlogged_s * decay + elapsed_s;
            self.tokens *= decay;
        }
        self.backlogged_since = has_backlog.then_some(now);
    }

    fn on_dispatched(&mut self, tokens: Tokens) {
        self.tokens += tokens as f64;
    }

    fn tokens_per_s(&self) -> Option<f64> {
        let is_measured = self.backlogged_s >= MIN_BACKLOGGED_S && self.tokens > 0.0;
        is_measured.then(|| self.tokens / self.backlogged_s)
    }
}
