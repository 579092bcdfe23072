//! Costs per unit (bytes and time), from which `docs/CAPACITY.md` sizes a
//! deployment.

use std::hint::black_box;
use std::path::Path;
use std::time::{Duration, Instant};

use admission::{Estimator, GrantRequest, Ledger, LedgerOptions};
use bytes::Bytes;
use journal::{AppendBatch, Journal, JournalError};
use objects::Catalog;
use prost::Message;
use schema::command::Body;
use schema::log_entry::Payload;
use schema::{
    BeginRecord, Command, CreditReply, CreditRequest, DigestRequest, EngineLoad, EntryMember,
    FinishRecord, HeartbeatReply, HeartbeatRequest, LogEntry, ObjectSet, RecordKey, RegisterEntry,
    StoredAnswer, UpstreamDigest, Workspace, finish_record,
};
use serde::Serialize;
use state::{Limits, State};

use crate::latency::{LatencyHistogram, LatencySummary};
use crate::shared_costs::{SharedCosts, measure_shared_costs};

const RECORD_COUNT: u32 = 20_000;
const WORKSPACE_COUNT: usize = 4_500;
const ENTRY_COUNT: usize = 400;
const RUNNING_GENERATIONS: u64 = 48;
const GRANT_ROUNDS: u32 = 2_000;
const STORED_ANSWER_BYTES: usize = 512;
const COMMIT_RUN_DURATION: Duration = Duration::from_secs(3);

/// Costs per unit of state, message or decision.
#[derive(Clone, Debug, Serialize)]
pub struct UnitCosts {
    /// Size of a heartbeat of an entry.
    pub heartbeat_bytes: usize,
    /// Size of a heartbeat reply that carries no changes.
    pub heartbeat_reply_bytes: usize,
    /// Size of the member list of 400 entries.
    pub members_bytes: usize,
    /// Size of one engine in an incremental digest.
    pub digest_change_bytes: usize,
    /// Size of one engine in a full digest.
    pub digest_whole_bytes: usize,
    /// Size of a credit request.
    pub credit_request_bytes: usize,
    /// Size of a credit reply.
    pub credit_reply_bytes: usize,
    /// Size of the two log entries of one booking: begin and finish of its record.
    pub record_log_bytes: usize,
    /// Size of one finished record in a snapshot.
    pub record_state_bytes: usize,
    /// Size of an object set with 4500 workspaces.
    pub set_bytes: usize,
    /// Size of the delta that changes one workspace of that set.
    pub set_delta_bytes: usize,
    /// Time to compute and apply such a delta.
    pub set_delta_us: u64,
    /// Time to index that set in an entry.
    pub set_index_us: u64,
    /// Time to apply the two commands of one booking.
    pub record_apply_us: f64,
    /// Time to encode a snapshot, per 1000 records.
    pub snapshot_us_per_1000_records: f64,
    /// Time to grant and release one credit with 48 generations running.
    pub grant_us: f64,
    /// Time to compute the watchers of an owner among 400 entries.
    pub watchers_us: f64,
    /// Evidence against prompt parts, and limits of upstreams.
    pub shared: SharedCosts,
    /// Commit rate with one log entry per sync.
    pub commits_alone: CommitRate,
    /// Commit rate with 64 log entries per sync.
    pub commits_grouped: CommitRate,
}

/// Rate of durable log appends on the measured disk.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct CommitRate {
    /// Log entries made durable per second.
    pub commits_per_s: f64,
    /// Time of one append and sync.
    pub sync: LatencySummary,
}

/// Measures all unit costs. `folder` must be on the disk whose commit rate is
/// measured.
pub fn measure_unit_costs(folder: &Path) -> Result<UnitCosts, JournalError> {
    let member = sample_member(0);
    let heartbeat = HeartbeatRequest {
        member: Some(member.clone()),
        revision: 100_000,
        members_version: 100_000,
    };
    let heartbeat_reply = HeartbeatReply {
        revision: 100_000,
        members_version: 100_000,
        lease_ms: 3_000,
        ..HeartbeatReply::default()
    };
    let members: Vec<EntryMember> = (0..ENTRY_COUNT).map(self::sample_member).collect();
    let set = sample_set();
    let set_bytes = set.encoded_len();
    let started = Instant::now();
    black_box(Catalog::new(1, set.clone()));
    let set_index_us = to_micros(started.elapsed()) as u64;
    let (set_delta_bytes, set_delta_us) = measure_delta(&set);
    let digest = sample_digest();
    let change = UpstreamDigest {
        upstream: digest.upstream.clone(),
        free_tokens: digest.free_tokens,
        running: digest.running,
        ..UpstreamDigest::default()
    };
    let (record_apply_us, record_state_bytes, snapshot_us_per_1000_records) = measure_records();
    let started = Instant::now();
    black_box(routing::watchers(&members, "entry-7", 24));
    let watchers_us = to_micros(started.elapsed());
    Ok(UnitCosts {
        heartbeat_bytes: heartbeat.encoded_len(),
        heartbeat_reply_bytes: heartbeat_reply.encoded_len(),
        members_bytes: members.iter().map(Message::encoded_len).sum(),
        digest_change_bytes: upstream_digest_bytes(change),
        digest_whole_bytes: digest.encoded_len(),
        credit_request_bytes: sample_credit_request().encoded_len(),
        credit_reply_bytes: CreditReply {
            granted: true,
            credit: u64::MAX >> 8,
            lease_ms: 3_000,
            digest: Some(digest),
        }
        .encoded_len(),
        record_log_bytes: begin_command(1).encoded_len() + finish_command(1).encoded_len(),
        record_state_bytes,
        set_bytes,
        set_delta_bytes,
        set_delta_us,
        set_index_us,
        record_apply_us,
        snapshot_us_per_1000_records,
        grant_us: measure_grant_us(),
        watchers_us,
        shared: measure_shared_costs(),
        commits_alone: measure_commits(&folder.join("alone"), 1)?,
        commits_grouped: measure_commits(&folder.join("grouped"), 64)?,
    })
}

fn sample_member(index: usize) -> EntryMember {
    EntryMember {
        vm: format!("entry-{index}"),
        epoch: u64::MAX >> 12,
        data_centre: format!("region-{}-dc-{}", index % 3, index % 11),
        region: format!("region-{}", index % 3),
        http_address: format!("10.1.{}.{}:8080", index / 250, index % 250),
        peer_address: format!("10.1.{}.{}:7400", index / 250, index % 250),
        leaving: false,
    }
}

fn sample_digest() -> UpstreamDigest {
    UpstreamDigest {
        upstream: "engine-1024".to_string(),
        kind: 1,
        address: "10.2.100.100:9000".to_string(),
        data_centre: "region-1-dc-4".to_string(),
        epoch: u64::MAX >> 12,
        serves: vec!["model-11-v4".to_string(), "adapter-thai".to_string()],
        free_tokens: 31_250,
        cache_tokens: 500_000,
        running: 48,
        max_running: 256,
        ..UpstreamDigest::default()
    }
}

/// Returns the bytes that one upstream adds to a digest message.
fn upstream_digest_bytes(upstream: UpstreamDigest) -> usize {
    let empty = DigestRequest { vm: "entry-7".to_string(), epoch: 1, ..DigestRequest::default() };
    let one = DigestRequest { upstreams: vec![upstream], ..empty.clone() };
    one.encoded_len() - empty.encoded_len()
}

fn sample_credit_request() -> CreditRequest {
    CreditRequest {
        upstream: "engine-1024".to_string(),
        workspace: "bangkok-north".to_string(),
        service: "coach-llm".to_string(),
        priority: "quick".to_string(),
        prompt_tokens: 400,
        max_output_tokens: 2_048,
        vm: "entry-7".to_string(),
    }
}

fn sample_set() -> ObjectSet {
    let workspace = |index: usize| Workspace {
        name: format!("workspace-{index}"),
        api_key_sha256: vec![objects::hash_secret(&index.to_string())],
        services: vec!["coach-llm".to_string(), "coach-plans".to_string()],
        share: 1,
        max_streams: 100,
        max_waiting: 100,
    };
    ObjectSet { workspaces: (0..WORKSPACE_COUNT).map(workspace).collect(), ..ObjectSet::default() }
}

fn measure_delta(set: &ObjectSet) -> (usize, u64) {
    let mut new = set.clone();
    new.workspaces[0].max_streams += 1;
    let started = Instant::now();
    let delta = objects::compute_delta(1, set, &new);
    let bytes = delta.encoded_len();
    black_box(objects::apply_delta(set, delta));
    (bytes, to_micros(started.elapsed()) as u64)
}

fn record_key(number: u32) -> RecordKey {
    RecordKey {
        workspace: "bangkok-north".to_string(),
        service: "booking-app".to_string(),
        key: format!("header:{number:032}"),
    }
}

fn begin_command(number: u32) -> Command {
    let begin = BeginRecord {
        key: Some(record_key(number)),
        fingerprint: Bytes::from(vec![7; 32]),
        attempt: Bytes::copy_from_slice(&u128::from(number).to_le_bytes()),
        vm: "entry-0".to_string(),
        epoch: u64::MAX >> 12,
    };
    Command { now_ms: 1_700_000_000_000, body: Some(Body::BeginRecord(begin)) }
}

fn finish_command(number: u32) -> Command {
    let answer = StoredAnswer {
        status: 200,
        body: Bytes::from(vec![b'x'; STORED_ANSWER_BYTES]),
        ..StoredAnswer::default()
    };
    let finish = FinishRecord {
        key: Some(record_key(number)),
        attempt: Bytes::copy_from_slice(&u128::from(number).to_le_bytes()),
        outcome: Some(finish_record::Outcome::Answer(answer)),
    };
    Command { now_ms: 1_700_000_000_000, body: Some(Body::FinishRecord(finish)) }
}

fn measure_records() -> (f64, usize, f64) {
    let mut state = State::new(Limits::default());
    let register = RegisterEntry { member: Some(sample_member(0)) };
    state.apply(Command { now_ms: 1, body: Some(Body::RegisterEntry(register)) });
    let started = Instant::now();
    for number in 0..RECORD_COUNT {
        state.apply(begin_command(number));
        state.apply(finish_command(number));
    }
    let apply_us = to_micros(started.elapsed()) / f64::from(RECORD_COUNT);
    let started = Instant::now();
    let snapshot = state.to_bytes();
    let snapshot_us = to_micros(started.elapsed()) / f64::from(RECORD_COUNT) * 1_000.0;
    (apply_us, snapshot.len() / RECORD_COUNT as usize, snapshot_us)
}

fn measure_grant_us() -> f64 {
    let mut estimator = Estimator::default();
    (1..200).for_each(|tokens| estimator.observe("s", "w", tokens * 7));
    let load = EngineLoad { cache_tokens: 500_000, max_running: 256, ..EngineLoad::default() };
    let mut ledger = Ledger::new(LedgerOptions::default(), load, 1, 0);
    let request = GrantRequest {
        holder_vm: "entry-7".into(),
        priority: "quick".into(),
        prompt_tokens: 400,
        max_output_tokens: 2_048,
        curve: estimator.curve("s", "w", 2_048),
    };
    for _ in 0..RUNNING_GENERATIONS {
        ledger.try_grant(&request, &[], 0);
    }
    let started = Instant::now();
    for _ in 0..GRANT_ROUNDS {
        if let Some(credit) = black_box(ledger.try_grant(&request, &[], 0)) {
            ledger.release(credit);
        }
    }
    to_micros(started.elapsed()) / f64::from(GRANT_ROUNDS)
}

fn measure_commits(folder: &Path, entries_per_sync: u64) -> Result<CommitRate, JournalError> {
    let (mut journal, _) = Journal::open(folder)?;
    let command = Bytes::from(begin_command(1).encode_to_vec());
    let mut sync_latency = LatencyHistogram::default();
    let mut last_index = 0;
    let started = Instant::now();
    while started.elapsed() < COMMIT_RUN_DURATION {
        let entry =
            |index| LogEntry { index, term: 1, payload: Some(Payload::Command(command.clone())) };
        let entries: Vec<LogEntry> =
            (last_index + 1..=last_index + entries_per_sync).map(entry).collect();
        last_index += entries_per_sync;
        let sync_started = Instant::now();
        journal.append(AppendBatch { hard_state: None, entries: &entries })?;
        sync_latency.record(sync_started.elapsed());
    }
    let commits_per_s = last_index as f64 / started.elapsed().as_secs_f64();
    Ok(CommitRate { commits_per_s, sync: sync_latency.summary() })
}

pub(crate) fn to_micros(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000_000.0
}
