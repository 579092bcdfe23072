//! Rate-limited, non-blocking output of log lines.

use std::io::Write as _;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::{Duration, Instant};

/// Maximum lines queued for standard output. If nothing reads the output, its pipe
/// and then this queue fill up; further lines are dropped instead of blocking.
const QUEUE_CAPACITY_LINES: usize = 4_096;
/// Refill rate of the token bucket: ten times the log rate of a gateway at its
/// highest load.
const MAX_LINES_PER_S: f64 = 1_000.0;
/// Capacity of the token bucket.
const MAX_BURST_LINES: f64 = 4_000.0;

/// Maximum wait for queued lines to be written before the process exits.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(2);

static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);
static UNWRITTEN_LINES: AtomicU64 = AtomicU64::new(0);

/// Waits up to 200 ms for queued lines to be written; called before the process
/// exits.
pub fn flush_logs() {
    let started = Instant::now();
    while UNWRITTEN_LINES.load(Ordering::Acquire) > 0 && started.elapsed() < FLUSH_TIMEOUT {
        std::thread::sleep(FLUSH_POLL_INTERVAL);
    }
}

/// Returns the number of log lines dropped since the process started.
///
/// ```
/// assert_eq!(telemetry::dropped_log_lines(), 0);
/// ```
pub fn dropped_log_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// Passes log lines to a writer thread and drops those above the rate limit.
#[derive(Debug)]
pub(crate) struct Sink {
    lines: SyncSender<String>,
    rate_limit: Mutex<TokenBucket>,
}

/// Token bucket that limits the rate of log lines.
#[derive(Debug)]
pub(crate) struct TokenBucket {
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    pub(crate) fn new(now: Instant) -> Self {
        TokenBucket { tokens: MAX_BURST_LINES, refilled_at: now }
    }

    /// Takes one token; returns false if none is left.
    pub(crate) fn try_take(&mut self, now: Instant) -> bool {
        let elapsed_s = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        self.tokens = (self.tokens + elapsed_s * MAX_LINES_PER_S).min(MAX_BURST_LINES);
        let available = self.tokens >= 1.0;
        if available {
            self.tokens -= 1.0;
        }
        available
    }
}

impl Sink {
    /// Starts the thread that writes queued lines to standard output.
    pub(crate) fn start() -> Self {
        let (lines, queue) = sync_channel(QUEUE_CAPACITY_LINES);
        std::thread::spawn(move || write_lines(&queue));
        Sink { lines, rate_limit: Mutex::new(TokenBucket::new(Instant::now())) }
    }

    /// Queues a line without blocking, or drops and counts it.
    pub(crate) fn try_send(&self, line: String) {
        let allowed =
            self.rate_limit.lock().is_ok_and(|mut bucket| bucket.try_take(Instant::now()));
        UNWRITTEN_LINES.fetch_add(1, Ordering::AcqRel);
        let queued = allowed && self.lines.try_send(line).is_ok();
        if !queued {
            UNWRITTEN_LINES.fetch_sub(1, Ordering::AcqRel);
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }
    }
}

fn write_lines(queue: &Receiver<String>) {
    let mut reported = 0;
    while let Ok(mut lines) = queue.recv() {
        lines.push('\n');
        let mut count = 1;
        while let Ok(line) = queue.try_recv() {
            lines.push_str(&line);
            lines.push('\n');
            count += 1;
        }
        let dropped = dropped_log_lines();
        if dropped > reported {
            lines.push_str(&format!(
                "level=warn target=telemetry event=\"log lines dropped\" lines={}\n",
                dropped - reported
            ));
            reported = dropped;
        }
        // A failure to write the log itself cannot be reported anywhere.
        let _ = std::io::stdout().write_all(lines.as_bytes());
        UNWRITTEN_LINES.fetch_sub(count, Ordering::AcqRel);
    }
}

#[cfg(test)]
#[path = "../tests/unit/sink.rs"]
mod tests;
