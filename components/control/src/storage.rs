//! Thread that makes the log durable.

use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::time::{Duration, Instant};

use actix::Recipient;
use consensus::{Batch, Position};
use journal::{Journal, JournalError, Write};
use schema::{LogEntry, Snapshot};

use crate::metrics::Metrics;

/// Idle time after which the last write is sealed.
const SEAL_DELAY: Duration = Duration::from_millis(500);

/// Work for the thread.
#[derive(Debug)]
pub(crate) enum Job {
    /// Make a batch durable.
    Batch(Batch),
    /// Replace the log by a snapshot of this replica's own state.
    Compact(Snapshot, Vec<LogEntry>),
}

/// Result of a job.
#[derive(Debug, actix::Message)]
#[rtype(result = "()")]
pub(crate) enum Stored {
    /// The batch that ends at this position is durable.
    Batch(Batch, Position),
    /// The snapshot is durable and the log before it is gone.
    Compact(Snapshot),
    /// The disk failed; the replica must not go on.
    Failed(String),
}

/// Handle of the thread.
#[derive(Debug)]
pub(crate) struct Storage {
    jobs: Sender<Job>,
}

impl Storage {
    /// Starts the thread, which reports each result to `done`.
    pub(crate) fn start(journal: Journal, done: Recipient<Stored>, metrics: Metrics) -> Storage {
        let (jobs, queue) = channel();
        std::thread::spawn(move || run(journal, &queue, &done, &metrics));
        Storage { jobs }
    }

    pub(crate) fn submit(&self, job: Job) {
        // The thread ends only after it reported a failure.
        let _ = self.jobs.send(job);
    }
}

fn run(mut journal: Journal, queue: &Receiver<Job>, done: &Recipient<Stored>, metrics: &Metrics) {
    loop {
        let stored = match queue.recv_timeout(SEAL_DELAY) {
            Ok(job) => store(&mut journal, job, metrics),
            Err(RecvTimeoutError::Timeout) => match journal.seal() {
                Ok(()) => continue,
                Err(error) => Err(error),
            },
            Err(RecvTimeoutError::Disconnected) => return,
        };
        metrics.log_bytes.set(i64::try_from(journal.log_bytes()).unwrap_or(i64::MAX));
        match stored {
            Ok(stored) => done.do_send(stored),
            Err(error) => {
                done.do_send(Stored::Failed(error.to_string()));
                return;
            }
        }
    }
}

fn store(journal: &mut Journal, job: Job, metrics: &Metrics) -> Result<Stored, JournalError> {
    let started = Instant::now();
    match job {
        Job::Batch(batch) => {
            write(journal, &batch)?;
            metrics.sync_seconds.observe(started.elapsed().as_secs_f64());
            metrics.sync_entries.observe(batch.entries.len() as f64);
            let last = batch.last;
            Ok(Stored::Batch(batch, last))
        }
        Job::Compact(snapshot, tail) => {
            journal.install(&snapshot, &tail)?;
            Ok(Stored::Compact(snapshot))
        }
    }
}

fn write(journal: &mut Journal, batch: &Batch) -> Result<(), JournalError> {
    let Some(snapshot) = &batch.snapshot else {
        return journal.append(Write { hard_state: batch.hard_state, entries: &batch.entries });
    };
    if batch.hard_state.is_some() {
        journal.append(Write { hard_state: batch.hard_state, entries: &[] })?;
    }
    journal.install(snapshot, &batch.entries)
}
