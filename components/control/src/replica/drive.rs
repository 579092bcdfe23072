//! Processes the output of the consensus node after each change to it.

use std::net::SocketAddr;

use bytes::Bytes;
use consensus::{Batch, CommittedChange, LogPosition};
use prost::Message as _;
use quarantine::FeatureSet;
use schema::{Command, ConsensusMessage, PublishRoutes, Snapshot, command};
use state::{State, UnpackError};

use super::{Replica, state_limits};
use crate::storage::Job;

impl Replica {
    pub(super) fn drive(&mut self) {
        if self.failed {
            return;
        }
        let messages = self.node.take_messages();
        self.send_messages(messages);
        self.submit_storage_job();
        self.apply_committed();
        self.serve_reads();
        self.serve_gateways();
        self.handle_leadership_change();
        self.update_metrics();
    }

    /// Proposes a command with the time of this leader's clock.
    pub(super) fn propose(
        &mut self,
        body: command::Body,
    ) -> Result<LogPosition, consensus::ProposeError> {
        let command = self.encode_command(body);
        self.node.propose(command)
    }

    /// Encodes a command with the time of this replica's clock.
    pub(super) fn encode_command(&self, body: command::Body) -> Bytes {
        let command = Command { now_ms: self.clock.now_ms(), body: Some(body) };
        Bytes::from(command.encode_to_vec())
    }

    pub(super) fn send_messages(&mut self, messages: Vec<ConsensusMessage>) {
        for message in messages {
            let configuration = self.node.configuration();
            let recipient = configuration.replicas.iter().find(|r| r.id == message.to);
            let address = recipient.and_then(|r| r.peer_address.parse::<SocketAddr>().ok());
            // The leader may not be in this replica's configuration yet; replies to it use
            // the address that a join reply gave.
            let address = address.or_else(|| self.join_state.address_of(message.to));
            let Some(address) = address else { continue };
            let link = self.link(address);
            actix_rt::spawn(async move { link.send(message).await });
        }
    }

    fn submit_storage_job(&mut self) {
        let Some(storage) = self.storage.as_ref().filter(|_| self.storage_job_since_ms.is_none())
        else {
            return;
        };
        // A vote is not to wait for a snapshot.
        if self.node.is_hard_state_durable()
            && self.is_compaction_due()
            && let Some(job) = self.compaction_job()
        {
            self.storage_job_since_ms = Some(self.clock.now_ms());
            storage.submit(job);
            return;
        }
        let Some(batch) = self.node.take_batch() else { return };
        if batch.needs_no_sync() {
            let last = batch.last;
            self.handle_durable_batch(batch, last);
        } else {
            self.storage_job_since_ms = Some(self.clock.now_ms());
            storage.submit(Job::Batch(batch));
        }
    }

    pub(super) fn handle_durable_batch(&mut self, batch: Batch, last: LogPosition) {
        if let Some(snapshot) = &batch.snapshot {
            self.snapshot_index = snapshot.index;
        }
        self.send_messages(batch.messages);
        self.node.persisted(last);
    }

    /// Returns whether enough entries were applied, or the log on disk is large
    /// enough, to compact the log.
    fn is_compaction_due(&self) -> bool {
        let index = self.node.applied_index();
        let limits = &self.config.limits;
        let entries_due = index >= self.snapshot_index + limits.snapshot_entries;
        let log_bytes = u64::try_from(self.metrics.log_bytes.get()).unwrap_or_default();
        let bytes_due = index > self.snapshot_index && log_bytes >= limits.snapshot_log_bytes;
        entries_due || bytes_due
    }

    /// Returns the job that replaces the applied part of the log by a snapshot.
    /// Encodes the complete state.
    fn compaction_job(&self) -> Option<Job> {
        let index = self.node.applied_index();
        let term = self.node.term_at(index)?;
        let configuration = Some(self.node.configuration_at(index));
        let data = Bytes::from(self.state.to_bytes());
        let last = self.node.last().index;
        let tail = (index + 1..=last).filter_map(|i| self.node.entry(i).cloned()).collect();
        Some(Job::Compact(Snapshot { index, term, configuration, data }, tail))
    }

    fn apply_committed(&mut self) {
        for change in self.node.take_committed() {
            match change {
                CommittedChange::Snapshot(snapshot) => self.restore_snapshot(&snapshot),
                CommittedChange::Command(at, bytes) => self.apply_command(at, bytes),
                CommittedChange::Configuration(at, configuration) => {
                    log::info!(index = at.index, replicas = configuration.replicas.len(), voters = consensus::voter_count(&configuration); "membership changed");
                }
                CommittedChange::Noop(_) => {}
            }
        }
        if self.is_compaction_due() {
            self.submit_storage_job();
        }
    }

    fn apply_command(&mut self, at: LogPosition, bytes: Bytes) {
        let command = match Command::decode(bytes) {
            Ok(command) => command,
            Err(error) => {
                // Probably written by a newer version of the program; skipping or guessing
                // would let the states of replicas diverge.
                self.fail(&format!("the command at index {} cannot be decoded: {error}", at.index));
                return;
            }
        };
        let command = match unpack_command(command) {
            Ok(command) => command,
            Err(error) => {
                self.fail(&format!("the set at index {} cannot be unpacked: {error}", at.index));
                return;
            }
        };
        let lifted = match &command.body {
            Some(command::Body::LiftQuarantine(lift)) => {
                FeatureSet::from_ids(&lift.parts, lift.request)
            }
            _ => FeatureSet::default(),
        };
        if let Some(command::Body::EndUpstream(end)) = &command.body
            && let Some(ended) = &end.upstream
        {
            self.gateway_syncs.adopt_end(ended, command.now_ms, self.clock.now_ms());
        }
        let applied = self.state.apply(command);
        if !lifted.is_empty() {
            self.forget_quarantine(&lifted);
        }
        let elapsed_ms = self.proposals.complete(at, applied.outcome, self.clock.now_ms());
        if let Some(elapsed_ms) = elapsed_ms {
            self.metrics.commit_seconds.observe(elapsed_ms as f64 / 1_000.0);
        }
        self.record_waiters.notify_finished(&applied.ended, &self.state);
    }

    fn restore_snapshot(&mut self, snapshot: &Snapshot) {
        match State::from_bytes(&snapshot.data, state_limits(&self.config)) {
            Ok(state) => {
                self.state = state;
                self.adopt_recorded_ends();
                log::info!(index = snapshot.index; "state restored from a snapshot");
            }
            Err(error) => {
                self.fail(&format!(
                    "the snapshot at index {} cannot be decoded: {error}",
                    snapshot.index
                ));
            }
        }
    }

    /// Resets leases when this replica becomes leader. When it steps down, ends all
    /// pending proposals, reads and waits for records, and clears the processes that
    /// asked to join.
    fn handle_leadership_change(&mut self) {
        let is_leader = self.node.is_leader();
        if is_leader == self.was_leader {
            return;
        }
        self.was_leader = is_leader;
        let term = self.node.term();
        if is_leader {
            log::info!(term; "became leader");
            self.metrics.leader_changes.inc();
            let members = self.state.members().iter();
            self.leases.reset(members, self.clock.now_ms());
        } else {
            log::info!(term; "no longer leader");
            self.proposals.abandon_all();
            self.record_waiters.abandon_all();
            self.reads.fail_all();
            self.join_candidates.clear();
        }
    }

    fn update_metrics(&self) {
        let gauge_value = |value: u64| i64::try_from(value).unwrap_or(i64::MAX);
        let metrics = &self.metrics;
        metrics.term.set(gauge_value(self.node.term()));
        metrics.is_leader.set(i64::from(self.node.is_leader()));
        metrics.commit_index.set(gauge_value(self.node.commit_index()));
        metrics.applied_index.set(gauge_value(self.node.applied_index()));
        metrics.revision.set(gauge_value(self.state.current().0));
        metrics.records.set(gauge_value(self.state.records().len() as u64));
        metrics.members.set(gauge_value(self.state.members().iter().count() as u64));
    }
}

/// Replaces a packed set of routes by the set.
fn unpack_command(command: Command) -> Result<Command, UnpackError> {
    let body = match command.body {
        Some(command::Body::PublishRoutes(publish)) => {
            Some(command::Body::PublishRoutes(unpack_publication(publish)?))
        }
        body => body,
    };
    Ok(Command { body, ..command })
}

/// Returns the publication with its set unpacked.
pub(super) fn unpack_publication(publish: PublishRoutes) -> Result<PublishRoutes, UnpackError> {
    if publish.packed_set.is_empty() {
        return Ok(publish);
    }
    let set = Some(state::unpack_set(&publish.packed_set)?);
    Ok(PublishRoutes { set, ..PublishRoutes::default() })
}
