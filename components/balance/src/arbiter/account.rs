//! Accounts of waits that ended: why a request was delayed or rejected.

use compact_str::CompactString;

use super::ReservationRequest;
use super::appraisal::Appraisal;

/// Shorter waits have no account.
const MIN_DELAY_MS: u64 = 100;
/// Accounts that are kept until they are taken.
const MAX_ACCOUNTS: usize = 1_000;

/// How a wait for a slot ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WaitOutcome {
    /// A slot was granted, after a delay.
    Delayed,
    /// No capacity became free as long as the entry asks.
    TimedOut,
    /// Rejected: what waits is more than engines get done in the queue time.
    QueueTooLong,
    /// Rejected: its answer would not end before its caller's deadline.
    PastDeadline,
}

impl WaitOutcome {
    /// Returns the text of log lines and the label of the metric.
    pub fn as_str(self) -> &'static str {
        match self {
            WaitOutcome::Delayed => "delayed",
            WaitOutcome::TimedOut => "timed out",
            WaitOutcome::QueueTooLong => "queue too long",
            WaitOutcome::PastDeadline => "past deadline",
        }
    }
}

/// A wait that ended late, or without a slot.
#[derive(Clone, Debug)]
pub struct WaitAccount {
    /// How it ended.
    pub outcome: WaitOutcome,
    /// Entry that asked, and the number of the request there.
    pub entry: CompactString,
    /// Number of the request at its entry.
    pub request_number: u64,
    /// Service and route of the request.
    pub service: CompactString,
    /// Route that it took.
    pub route: CompactString,
    /// Workspace of its caller.
    pub workspace: CompactString,
    /// Ranks of the workspace and of the route.
    pub ranks: (u32, u32),
    /// Work that it needs, in milliseconds of one engine.
    pub work_ms: u64,
    /// Time until its first event is due; negative if that has passed.
    pub due_in_ms: i64,
    /// Time since it began to wait.
    pub waited_ms: u64,
    /// Requests of its service before it that go on waiting.
    pub ahead: usize,
    /// Their work, in milliseconds of one engine.
    pub ahead_work_ms: u64,
    /// Those for whom it is asked were granted too little.
    pub is_owed: bool,
}

/// Accounts that were not taken yet.
#[derive(Debug, Default)]
pub(super) struct Accounts(Vec<WaitAccount>);

/// What waits before a request.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Ahead {
    pub(super) requests: usize,
    pub(super) work_ms: u64,
}

impl Accounts {
    pub(super) fn take(&mut self) -> Vec<WaitAccount> {
        std::mem::take(&mut self.0)
    }

    pub(super) fn record(
        &mut self,
        outcome: WaitOutcome,
        request: &ReservationRequest,
        appraisal: &Appraisal,
        ahead: Ahead,
        now_ms: u64,
    ) {
        let waited_ms = now_ms.saturating_sub(request.waiting_since_ms);
        let is_short = outcome == WaitOutcome::Delayed && waited_ms < MIN_DELAY_MS;
        let Some(cost) = &request.cost else { return };
        if is_short || self.0.len() >= MAX_ACCOUNTS {
            return;
        }
        let due_ms = request.target.map_or(now_ms, |target| target.due_ms);
        self.0.push(WaitAccount {
            outcome,
            entry: request.entry.clone(),
            request_number: request.request_number,
            service: request.service.clone(),
            route: cost.route.clone(),
            workspace: cost.workspace.clone(),
            ranks: (request.rank, request.route_rank),
            work_ms: appraisal.work.as_ms() as u64,
            due_in_ms: i64::try_from(due_ms).unwrap_or(i64::MAX)
                - i64::try_from(now_ms).unwrap_or(i64::MAX),
            waited_ms,
            ahead: ahead.requests,
            ahead_work_ms: ahead.work_ms,
            is_owed: appraisal.is_owed,
        });
    }
}
