//! Bounded output of log lines, which never blocks who logs.

use std::io::Write as _;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::{Duration, Instant};

/// Lines that wait for the output; the output of a process that nobody reads
/// fills and then costs lines, not time.
const QUEUED_LINES: usize = 4_096;
/// Lines a second that are written on average: ten times what a gateway at its
/// highest load writes.
const LINES_PER_S: f64 = 1_000.0;
/// Lines that may be written at once beyond the average.
const BURST_LINES: f64 = 4_000.0;

/// Longest wait for queued lines at the end of a process.
const FLUSH_LIMIT: Duration = Duration::from_millis(200);
const FLUSH_POLL: Duration = Duration::from_millis(2);

static DROPPED: AtomicU64 = AtomicU64::new(0);
static UNWRITTEN: AtomicU64 = AtomicU64::new(0);

/// Waits a moment until queued lines are written, before a process ends.
pub fn flush_logs() {
    let started = Instant::now();
    while UNWRITTEN.load(Ordering::Acquire) > 0 && started.elapsed() < FLUSH_LIMIT {
        std::thread::sleep(FLUSH_POLL);
    }
}

/// Returns the lines that were dropped since the start of the process.
///
/// ```
/// assert_eq!(telemetry::dropped_log_lines(), 0);
/// ```
pub fn dropped_log_lines() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Takes lines up to a rate and hands them to a thread that writes them.
#[derive(Debug)]
pub(crate) struct Sink {
    lines: SyncSender<String>,
    allowance: Mutex<Allowance>,
}

/// Token bucket.
#[derive(Debug)]
pub(crate) struct Allowance {
    tokens: f64,
    filled_at: Instant,
}

impl Allowance {
    pub(crate) fn new(now: Instant) -> Self {
        Allowance { tokens: BURST_LINES, filled_at: now }
    }

    /// Takes the right to write one line.
    pub(crate) fn take(&mut self, now: Instant) -> bool {
        let elapsed_s = now.saturating_duration_since(self.filled_at).as_secs_f64();
        self.filled_at = now;
        self.tokens = (self.tokens + elapsed_s * LINES_PER_S).min(BURST_LINES);
        let granted = self.tokens >= 1.0;
        if granted {
            self.tokens -= 1.0;
        }
        granted
    }
}

impl Sink {
    /// Starts the thread that writes to standard output.
    pub(crate) fn start() -> Self {
        let (lines, queue) = sync_channel(QUEUED_LINES);
        std::thread::spawn(move || write(&queue));
        Sink { lines, allowance: Mutex::new(Allowance::new(Instant::now())) }
    }

    /// Queues a line, or counts it as dropped.
    pub(crate) fn put(&self, line: String) {
        let allowed = self.allowance.lock().is_ok_and(|mut bucket| bucket.take(Instant::now()));
        UNWRITTEN.fetch_add(1, Ordering::AcqRel);
        let sent = allowed && self.lines.try_send(line).is_ok();
        if !sent {
            UNWRITTEN.fetch_sub(1, Ordering::AcqRel);
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
    }
}

fn write(queue: &Receiver<String>) {
    let mut told = 0;
    while let Ok(mut lines) = queue.recv() {
        lines.push('\n');
        let mut count = 1;
        while let Ok(line) = queue.try_recv() {
            lines.push_str(&line);
            lines.push('\n');
            count += 1;
        }
        let dropped = dropped_log_lines();
        if dropped > told {
            lines.push_str(&format!(
                "level=warn target=telemetry event=\"log lines dropped\" lines={}\n",
                dropped - told
            ));
            told = dropped;
        }
        // There is nowhere left to report an error of the output itself.
        let _ = std::io::stdout().write_all(lines.as_bytes());
        UNWRITTEN.fetch_sub(count, Ordering::AcqRel);
    }
}

#[cfg(test)]
#[path = "../tests/unit/sink.rs"]
mod tests;
