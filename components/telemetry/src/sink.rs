//! Rate-limited, non-blocking output of log lines.

use std::collections::VecDeque;
use std::io::Write as _;
use std::sync::{Condvar, LazyLock, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crate::dropped::{DroppedKind, DroppedLines};
use crate::kinds::{LineKind, Priority};

/// Maximum lines queued for standard output. If nothing reads the output, its pipe
/// and then this queue fill up; further lines are dropped instead of blocking.
const QUEUE_CAPACITY_LINES: usize = 4_096;
/// Further lines that are queued if they are important.
const QUEUE_RESERVE_LINES: usize = 1_024;
/// Refill rate of the token bucket: ten times the log rate of a gateway at its
/// highest load.
const MAX_LINES_PER_S: f64 = 1_000.0;
/// Capacity of the token bucket for routine lines.
const MAX_BURST_LINES: f64 = 4_000.0;
/// Further tokens, which only important lines take.
const BURST_RESERVE_LINES: f64 = 1_000.0;
/// Least time between two lines that report dropped lines.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum wait for queued lines to be written before the process exits.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

static SINK: LazyLock<Sink> = LazyLock::new(|| Sink {
    queue: Mutex::new(Queue::new(Instant::now())),
    changed: Condvar::new(),
    written: Condvar::new(),
});

/// Waits up to 200 ms for queued lines, and a report of those that were dropped, to be
/// written; called before the process exits.
pub fn flush_logs() {
    let mut queue = SINK.lock();
    queue.is_flushing = true;
    SINK.changed.notify_one();
    let waited = SINK.written.wait_timeout_while(queue, FLUSH_TIMEOUT, |queue| !queue.is_written());
    let (mut queue, _) = waited.unwrap_or_else(|poisoned| poisoned.into_inner());
    queue.is_flushing = false;
}

/// Returns the number of log lines dropped since the process started.
///
/// ```
/// assert_eq!(telemetry::dropped_log_lines(), 0);
/// ```
pub fn dropped_log_lines() -> u64 {
    SINK.lock().dropped.total()
}

/// Returns how many lines of each kind were dropped since the process started.
pub(crate) fn dropped_kinds() -> Vec<DroppedKind> {
    SINK.lock().dropped.kinds().to_vec()
}

/// Queues a line without blocking, or drops and counts it.
pub(crate) fn try_send(kind: LineKind<'_>, line: String) {
    if SINK.lock().push(kind, line, Instant::now()) == Wake::Writer {
        SINK.changed.notify_one();
    }
}

/// Starts the thread that writes queued lines to standard output.
pub(crate) fn start_writer() {
    std::thread::spawn(|| {
        loop {
            let output = SINK.wait_for_output().into_text();
            // A failure to write the log itself cannot be reported anywhere.
            let _ = std::io::stdout().write_all(output.as_bytes());
            SINK.lock().is_writing = false;
            SINK.written.notify_all();
        }
    });
}

/// Lines on their way to the writer thread.
struct Sink {
    queue: Mutex<Queue>,
    /// There may be something to write.
    changed: Condvar,
    written: Condvar,
}

impl Sink {
    /// No code that holds the lock leaves the queue unusable if it panics.
    fn lock(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Waits until there is something to write, and takes all of it.
    fn wait_for_output(&self) -> Output {
        let mut queue = self.lock();
        loop {
            let now = Instant::now();
            if let Some(output) = queue.take_output(now) {
                return output;
            }
            queue = match queue.next_report() {
                Some(at) => {
                    let left = at.saturating_duration_since(now);
                    let waited = self.changed.wait_timeout(queue, left);
                    waited.unwrap_or_else(|poisoned| poisoned.into_inner()).0
                }
                None => {
                    let waited = self.changed.wait(queue);
                    waited.unwrap_or_else(|poisoned| poisoned.into_inner())
                }
            };
        }
    }
}

/// Who has to be woken after a change of the queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Wake {
    Nobody,
    Writer,
}

/// Queued lines, and counts of those that were dropped.
#[derive(Debug)]
pub(crate) struct Queue {
    lines: VecDeque<String>,
    rate_limit: TokenBucket,
    dropped: DroppedLines,
    /// Earliest time of the next report of dropped lines.
    report_at: Instant,
    /// Lines that were taken are not written yet.
    is_writing: bool,
    /// Dropped lines are to be reported at once.
    is_flushing: bool,
}

impl Queue {
    pub(crate) fn new(now: Instant) -> Self {
        Queue {
            lines: VecDeque::new(),
            rate_limit: TokenBucket::new(now),
            dropped: DroppedLines::default(),
            report_at: now,
            is_writing: false,
            is_flushing: false,
        }
    }

    /// Queues a line, or drops and counts it if it is above the rate limit or the queue is full.
    pub(crate) fn push(&mut self, kind: LineKind<'_>, line: String, now: Instant) -> Wake {
        let priority = kind.priority();
        let capacity = match priority {
            Priority::Routine => QUEUE_CAPACITY_LINES,
            Priority::Important => QUEUE_CAPACITY_LINES + QUEUE_RESERVE_LINES,
        };
        let is_first = if self.lines.len() < capacity && self.rate_limit.try_take(now, priority) {
            self.lines.push_back(line);
            self.lines.len() == 1
        } else {
            self.dropped.record(kind);
            self.dropped.unreported() == 1
        };
        if is_first { Wake::Writer } else { Wake::Nobody }
    }

    /// Takes all that is to be written, with a report of dropped lines if one is due; `None`
    /// if there is nothing.
    pub(crate) fn take_output(&mut self, now: Instant) -> Option<Output> {
        let mut report = None;
        if self.next_report().is_some_and(|at| at <= now || self.is_flushing) {
            report = Some(self.dropped.take_report());
            self.report_at = now + REPORT_INTERVAL;
        }
        self.is_writing = report.is_some() || !self.lines.is_empty();
        self.is_writing.then(|| Output { lines: std::mem::take(&mut self.lines), report })
    }

    /// Returns when the lines that were dropped since the last report are reported.
    fn next_report(&self) -> Option<Instant> {
        (self.dropped.unreported() > 0).then_some(self.report_at)
    }

    fn is_written(&self) -> bool {
        self.lines.is_empty() && !self.is_writing && self.dropped.unreported() == 0
    }
}

/// Lines that were taken from the queue.
#[derive(Debug)]
pub(crate) struct Output {
    lines: VecDeque<String>,
    /// Report of dropped lines.
    report: Option<String>,
}

impl Output {
    /// Joins the lines, which takes too long to hold the lock of the queue meanwhile.
    fn into_text(self) -> String {
        let bytes = self.lines.iter().map(|line| line.len() + 1).sum();
        let mut text = String::with_capacity(bytes);
        for line in self.lines.into_iter().chain(self.report) {
            text.push_str(&line);
            text.push('\n');
        }
        text
    }
}

/// Token bucket that limits the rate of log lines.
#[derive(Debug)]
pub(crate) struct TokenBucket {
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    pub(crate) fn new(now: Instant) -> Self {
        TokenBucket { tokens: MAX_BURST_LINES + BURST_RESERVE_LINES, refilled_at: now }
    }

    /// Takes one token; returns false if none is left for this priority.
    pub(crate) fn try_take(&mut self, now: Instant, priority: Priority) -> bool {
        let elapsed_s = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        let refilled = self.tokens + elapsed_s * MAX_LINES_PER_S;
        self.tokens = refilled.min(MAX_BURST_LINES + BURST_RESERVE_LINES);
        let reserved = match priority {
            Priority::Routine => BURST_RESERVE_LINES,
            Priority::Important => 0.0,
        };
        let available = self.tokens >= reserved + 1.0;
        if available {
            self.tokens -= 1.0;
        }
        available
    }
}

#[cfg(test)]
#[path = "../tests/unit/sink.rs"]
mod tests;
