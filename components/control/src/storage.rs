//! Storage thread: writes and syncs the log.

use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::time::{Duration, Instant};

use actix::Recipient;
use consensus::{Batch, LogPosition};
use journal::{AppendBatch, Journal, JournalError};
use schema::{LogEntry, Snapshot};

use crate::metrics::Metrics;

/// Idle time after which the journal marks its last write as synced. Later damage
/// to a marked write is reported as corruption rather than dropped as incomplete.
const SYNC_MARK_DELAY: Duration = Duration::from_millis(500);

/// Delay before a failed write is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Job for the storage thread. At most one is in flight.
#[derive(Debug)]
pub(crate) enum Job {
    /// Write and sync a batch.
    Batch(Batch),
    /// Compact the log: replace it by a snapshot of this replica's state and
    /// the entries after the snapshot.
    Compact(Snapshot, Vec<LogEntry>),
}

/// Result of a [`Job`].
#[derive(Debug, actix::Message)]
#[rtype(result = "()")]
pub(crate) enum JobResult {
    /// The batch that ends at this position is durable.
    Durable(Batch, LogPosition),
    /// The snapshot is durable and the log up to its index is deleted.
    Compacted(Snapshot),
    /// The disk is full or returns errors; the job in flight is repeated until it
    /// succeeds.
    Unavailable(String),
    /// The disk accepts writes again.
    Available,
    /// The journal is damaged; the replica must stop.
    Failed(String),
}

/// Handle of the storage thread.
#[derive(Debug)]
pub(crate) struct Storage {
    jobs: Sender<Job>,
}

impl Storage {
    /// Starts the thread, which sends the result of each job to `on_result`.
    pub(crate) fn start(
        journal: Journal,
        on_result: Recipient<JobResult>,
        metrics: Metrics,
    ) -> Storage {
        let (jobs, queue) = channel();
        std::thread::spawn(move || run(journal, &queue, &on_result, &metrics));
        Storage { jobs }
    }

    pub(crate) fn submit(&self, job: Job) {
        // The thread exits early only after reporting `JobResult::Failed`.
        let _ = self.jobs.send(job);
    }
}

fn run(
    mut journal: Journal,
    queue: &Receiver<Job>,
    on_result: &Recipient<JobResult>,
    metrics: &Metrics,
) {
    let mut pending = None;
    let mut available = true;
    loop {
        let wait = if available { SYNC_MARK_DELAY } else { RETRY_DELAY };
        match queue.recv_timeout(wait) {
            Ok(job) => pending = Some(job),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        let written = match &pending {
            Some(job) => write_job(&mut journal, job, metrics),
            None => journal.mark_synced(),
        };
        metrics.log_bytes.set(i64::try_from(journal.log_bytes()).unwrap_or(i64::MAX));
        match written {
            Ok(()) => {
                if !std::mem::replace(&mut available, true) {
                    on_result.do_send(JobResult::Available);
                }
                if let Some(job) = pending.take() {
                    on_result.do_send(job.into_result());
                }
            }
            Err(error) if error.is_transient() => {
                if std::mem::replace(&mut available, false) {
                    on_result.do_send(JobResult::Unavailable(error.to_string()));
                }
            }
            Err(error) => {
                on_result.do_send(JobResult::Failed(error.to_string()));
                return;
            }
        }
    }
}

impl Job {
    fn into_result(self) -> JobResult {
        match self {
            Job::Batch(batch) => {
                let last = batch.last;
                JobResult::Durable(batch, last)
            }
            Job::Compact(snapshot, _) => JobResult::Compacted(snapshot),
        }
    }
}

fn write_job(journal: &mut Journal, job: &Job, metrics: &Metrics) -> Result<(), JournalError> {
    let started = Instant::now();
    match job {
        Job::Batch(batch) => {
            write_batch(journal, batch)?;
            metrics.sync_seconds.observe(started.elapsed().as_secs_f64());
            metrics.sync_entries.observe(batch.entries.len() as f64);
            Ok(())
        }
        Job::Compact(snapshot, tail) => journal.install_snapshot(snapshot, tail),
    }
}

fn write_batch(journal: &mut Journal, batch: &Batch) -> Result<(), JournalError> {
    let Some(snapshot) = &batch.snapshot else {
        return journal
            .append(AppendBatch { hard_state: batch.hard_state, entries: &batch.entries });
    };
    if batch.hard_state.is_some() {
        journal.append(AppendBatch { hard_state: batch.hard_state, entries: &[] })?;
    }
    journal.install_snapshot(snapshot, &batch.entries)
}
