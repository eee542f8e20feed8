//! Time limits of a planned stop, after which the platform kills the process.

use std::time::Duration;

use super::fleet::RequestKind;
use super::ids::Timestamp;

/// Time between ignoring handshakes and closing the listener, in which the handshakes that have begun
/// complete. The kernels of both sides complete them, so a busy process does not delay them. Shorter
/// than the 1 s after which clients repeat a handshake, so that the repetition is refused.
pub const HANDSHAKE_COMPLETION_TIME: Duration = Duration::from_millis(500);

/// Time before the end of a stop in which only responses are sent.
const RESPONSE_TIME: Duration = Duration::from_millis(200);

/// What determines how late in a stop a request may be sent to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestTimes {
    /// How often the request may be run.
    pub kind: RequestKind,
    /// Deadline of the client.
    pub deadline: Timestamp,
    /// Time within which a response is of full value to the client.
    pub latency_objective: Duration,
}

/// Time limits of a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopSchedule {
    /// End of the time in which new connections are accepted.
    accept_until: Timestamp,
    /// Not after `end`.
    answer_by: Timestamp,
    end: Timestamp,
}

impl StopSchedule {
    /// Creates the schedule of a stop that is requested now. New connections come for the time
    /// `notice`, and all requests end within `drain_limit` after it.
    pub fn new(now: Timestamp, notice: Duration, drain_limit: Duration) -> Self {
        let end = now + notice + drain_limit;
        Self {
            accept_until: now + notice + HANDSHAKE_COMPLETION_TIME,
            answer_by: end.saturating_sub(RESPONSE_TIME).max(now),
            end,
        }
    }

    /// Time by which connections are closed.
    pub fn end(&self) -> Timestamp {
        self.end
    }

    /// Time by which each request gets a response, and until which targets may work.
    pub fn answer_by(&self) -> Timestamp {
        self.answer_by
    }

    /// Returns the latest time to send a request to a target. The caller of a request that is refused
    /// can go to another instance at once, while one that is sent and does not end in time fails.
    ///
    /// While load balancers still choose this instance, all requests are sent. Later ones are sent if
    /// their own deadline is within the stop, and those that can be repeated if there is time for a
    /// usual response. A new stream that can be resumed is not among the latter: a stop may cut it
    /// only if it began early. `was_run` states that a target may have run the request, so that it is
    /// not new.
    pub fn latest_send(&self, request: &RequestTimes, was_run: bool) -> Timestamp {
        if request.deadline <= self.answer_by {
            return self.answer_by;
        }
        let may_run_again = match request.kind {
            RequestKind::Idempotent => true,
            RequestKind::Stream { is_resumable } => is_resumable && was_run,
            RequestKind::SingleRun => false,
        };
        match may_run_again {
            true => self
                .answer_by
                .saturating_sub(request.latency_objective)
                .max(self.accept_until),
            false => self.accept_until,
        }
        .min(self.answer_by)
    }
}
