//! Costs per unit, from which `docs/CAPACITY.md` works out a deployment.

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

use crate::latency::{Latency, Summary};

const RECORDS: u32 = 20_000;
const WORKSPACES: usize = 4_500;
const MEMBERS: usize = 400;
const RUNNING: u64 = 48;
const ROUNDS: u32 = 2_000;
const ANSWER_BYTES: usize = 512;
const SYNC_TIME: Duration = Duration::from_secs(3);

/// Costs per unit.
#[derive(Clone, Debug, Serialize)]
pub struct Slopes {
    /// Heartbeat of an entry, in bytes.
    pub heartbeat_bytes: usize,
    /// Answer to a heartbeat without news, in bytes.
    pub heartbeat_reply_bytes: usize,
    /// Membership of 400 entries, in bytes.
    pub members_bytes: usize,
    /// Change of one engine in a digest, in bytes.
    pub digest_change_bytes: usize,
    /// One engine in a whole digest, in bytes.
    pub digest_whole_bytes: usize,
    /// Request for a credit, in bytes.
    pub credit_request_bytes: usize,
    /// Answer to it, in bytes.
    pub credit_reply_bytes: usize,
    /// Log entries of one booking, intent and answer, in bytes.
    pub record_log_bytes: usize,
    /// One ended record in a snapshot, in bytes.
    pub record_state_bytes: usize,
    /// Set of 4500 workspaces, in bytes.
    pub set_bytes: usize,
    /// Difference of one workspace in that set, in bytes.
    pub set_delta_bytes: usize,
    /// Time to work such a difference out, and to apply it.
    pub set_delta_us: u64,
    /// Time to index that set at an entry.
    pub set_index_us: u64,
    /// Time to apply the two commands of one booking.
    pub record_apply_us: f64,
    /// Time to encode a snapshot, for each 1000 records.
    pub snapshot_us_per_1000_records: f64,
    /// Time of one decision on a credit with 48 generations running.
    pub grant_us: f64,
    /// Time to work out who listens to an owner among 400 entries.
    pub watchers_us: f64,
    /// Commits with one entry in each sync.
    pub commits_alone: CommitRate,
    /// Commits with 64 entries in each sync.
    pub commits_grouped: CommitRate,
}

/// Speed of commits on this machine's disk.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct CommitRate {
    /// Entries made durable in each second.
    pub commits_per_s: f64,
    /// Time of a sync.
    pub sync: Summary,
}

/// Measures all slopes; `folder` must be on the disk to measure.
pub fn measure_slopes(folder: &Path) -> Result<Slopes, JournalError> {
    let member = member(0);
    let heartbeat = HeartbeatRequest {
        member: Some(member.clone()),
        revision: 100_000,
        members_version: 100_000,
    };
    let reply = HeartbeatReply {
        revision: 100_000,
        members_version: 100_000,
        lease_ms: 3_000,
        ..HeartbeatReply::default()
    };
    let members: Vec<EntryMember> = (0..MEMBERS).map(self::member).collect();
    let set = set();
    let set_bytes = set.encoded_len();
    let started = Instant::now();
    black_box(Catalog::new(1, set.clone()));
    let set_index_us = micros(started.elapsed()) as u64;
    let (set_delta_bytes, set_delta_us) = delta(&set);
    let digest = digest();
    let change = UpstreamDigest {
        upstream: digest.upstream.clone(),
        free_tokens: digest.free_tokens,
        running: digest.running,
        ..UpstreamDigest::default()
    };
    let (record_apply_us, record_state_bytes, snapshot_us_per_1000_records) = records();
    let started = Instant::now();
    black_box(routing::watchers(&members, "entry-7", 24));
    let watchers_us = micros(started.elapsed());
    Ok(Slopes {
        heartbeat_bytes: heartbeat.encoded_len(),
        heartbeat_reply_bytes: reply.encoded_len(),
        members_bytes: members.iter().map(Message::encoded_len).sum(),
        digest_change_bytes: with_one(change),
        digest_whole_bytes: digest.encoded_len(),
        credit_request_bytes: credit_request().encoded_len(),
        credit_reply_bytes: CreditReply {
            granted: true,
            credit: u64::MAX >> 8,
            lease_ms: 3_000,
            digest: Some(digest),
        }
        .encoded_len(),
        record_log_bytes: begin(1).encoded_len() + finish(1).encoded_len(),
        record_state_bytes,
        set_bytes,
        set_delta_bytes,
        set_delta_us,
        set_index_us,
        record_apply_us,
        snapshot_us_per_1000_records,
        grant_us: grant_us(),
        watchers_us,
        commits_alone: commits(&folder.join("alone"), 1)?,
        commits_grouped: commits(&folder.join("grouped"), 64)?,
    })
}

fn member(index: usize) -> EntryMember {
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

fn digest() -> UpstreamDigest {
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

fn with_one(upstream: UpstreamDigest) -> usize {
    let empty = DigestRequest { vm: "entry-7".to_string(), epoch: 1, ..DigestRequest::default() };
    let one = DigestRequest { upstreams: vec![upstream], ..empty.clone() };
    one.encoded_len() - empty.encoded_len()
}

fn credit_request() -> CreditRequest {
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

fn set() -> ObjectSet {
    let workspace = |index: usize| Workspace {
        name: format!("workspace-{index}"),
        api_key_sha256: vec![objects::hash_secret(&index.to_string())],
        services: vec!["coach-llm".to_string(), "coach-plans".to_string()],
        share: 1,
        max_streams: 100,
        max_waiting: 100,
    };
    ObjectSet { workspaces: (0..WORKSPACES).map(workspace).collect(), ..ObjectSet::default() }
}

fn delta(set: &ObjectSet) -> (usize, u64) {
    let mut new = set.clone();
    new.workspaces[0].max_streams += 1;
    let started = Instant::now();
    let delta = objects::compute_delta(1, set, &new);
    let bytes = delta.encoded_len();
    black_box(objects::apply_delta(set, delta));
    (bytes, micros(started.elapsed()) as u64)
}

fn key(number: u32) -> RecordKey {
    RecordKey {
        workspace: "bangkok-north".to_string(),
        service: "booking-app".to_string(),
        key: format!("header:{number:032}"),
    }
}

fn begin(number: u32) -> Command {
    let begin = BeginRecord {
        key: Some(key(number)),
        fingerprint: Bytes::from(vec![7; 32]),
        attempt: Bytes::copy_from_slice(&u128::from(number).to_le_bytes()),
        vm: "entry-0".to_string(),
        epoch: u64::MAX >> 12,
    };
    Command { now_ms: 1_700_000_000_000, body: Some(Body::BeginRecord(begin)) }
}

fn finish(number: u32) -> Command {
    let answer = StoredAnswer {
        status: 200,
        body: Bytes::from(vec![b'x'; ANSWER_BYTES]),
        ..StoredAnswer::default()
    };
    let finish = FinishRecord {
        key: Some(key(number)),
        attempt: Bytes::copy_from_slice(&u128::from(number).to_le_bytes()),
        outcome: Some(finish_record::Outcome::Answer(answer)),
    };
    Command { now_ms: 1_700_000_000_000, body: Some(Body::FinishRecord(finish)) }
}

fn records() -> (f64, usize, f64) {
    let mut state = State::new(Limits::default());
    let register = RegisterEntry { member: Some(member(0)) };
    state.apply(Command { now_ms: 1, body: Some(Body::RegisterEntry(register)) });
    let started = Instant::now();
    for number in 0..RECORDS {
        state.apply(begin(number));
        state.apply(finish(number));
    }
    let apply_us = micros(started.elapsed()) / f64::from(RECORDS);
    let started = Instant::now();
    let image = state.to_bytes();
    let snapshot_us = micros(started.elapsed()) / f64::from(RECORDS) * 1_000.0;
    (apply_us, image.len() / RECORDS as usize, snapshot_us)
}

fn grant_us() -> f64 {
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
    for _ in 0..RUNNING {
        ledger.try_grant(&request, &[], 0);
    }
    let started = Instant::now();
    for _ in 0..ROUNDS {
        if let Some(credit) = black_box(ledger.try_grant(&request, &[], 0)) {
            ledger.release(credit);
        }
    }
    micros(started.elapsed()) / f64::from(ROUNDS)
}

fn commits(folder: &Path, entries_per_sync: u64) -> Result<CommitRate, JournalError> {
    let (mut journal, _) = Journal::open(folder)?;
    let command = Bytes::from(begin(1).encode_to_vec());
    let mut sync = Latency::default();
    let mut index = 0;
    let started = Instant::now();
    while started.elapsed() < SYNC_TIME {
        let entry =
            |index| LogEntry { index, term: 1, payload: Some(Payload::Command(command.clone())) };
        let entries: Vec<LogEntry> = (index + 1..=index + entries_per_sync).map(entry).collect();
        index += entries_per_sync;
        let before = Instant::now();
        journal.append(AppendBatch { hard_state: None, entries: &entries })?;
        sync.record(before.elapsed());
    }
    let commits_per_s = index as f64 / started.elapsed().as_secs_f64();
    Ok(CommitRate { commits_per_s, sync: sync.summary() })
}

fn micros(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000_000.0
}
