//! At-most-once records.
//!
//! A record is created before the first byte of a request is sent to an upstream.
//! It stays `Running` until its owner, the entry that handles the attempt, stores
//! the answer, reports that the outcome is unknown, releases the key because the
//! request provably did not run, or is lost (its lease ended, it stopped or it
//! restarted). A lost owner leaves the outcome `Unknown`: the request may have run,
//! so the key is not given to another attempt, unless the owner still releases it
//! or the record expires. An answer that the owner stores late replaces `Unknown`.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use compact_str::CompactString;
use schema::record_outcome::State as Phase;
use schema::{
    Absent, BeginRecord, Conflict, FinishRecord, Full, NotMember, Owned, RecordKey, RecordOutcome,
    ReleaseRecord, Released, ReleasedAttempt, Running, StoredRecord, Unknown, finish_record,
};

use crate::{Applied, Outcome};

/// Workspace, service and idempotency key.
type Key = (CompactString, CompactString, CompactString);

#[derive(Debug)]
struct Record {
    fingerprint: Bytes,
    attempt: Bytes,
    vm: CompactString,
    epoch: u64,
    updated_ms: u64,
    phase: Phase,
}

impl Record {
    fn is_running(&self) -> bool {
        matches!(self.phase, Phase::Running(_))
    }
}

/// At-most-once records, by workspace, service and key.
#[derive(Debug, Default)]
pub struct Records {
    by_key: BTreeMap<Key, Record>,
    /// Ended records with the time of their last update, in order of expiry.
    ended: BTreeSet<(u64, Key)>,
    /// Running records, by the VM of their owner.
    running: BTreeSet<(CompactString, Key)>,
    /// Released attempts and when they were released, so that a delayed
    /// [`BeginRecord`] cannot begin them.
    released: BTreeMap<Bytes, u64>,
}

impl Records {
    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Returns whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }

    /// Returns the outcome for a request with this key and fingerprint.
    pub fn lookup(&self, key: &RecordKey, fingerprint: &[u8]) -> RecordOutcome {
        match self.by_key.get(&to_key(key)) {
            None => outcome(Phase::Absent(Absent {})),
            Some(record) if record.fingerprint != fingerprint => {
                outcome(Phase::Conflict(Conflict {}))
            }
            Some(record) => outcome(record.phase.clone()),
        }
    }

    /// Returns whether a record or released attempt ended before `before_ms`.
    pub fn has_expired(&self, before_ms: u64) -> bool {
        self.ended.first().is_some_and(|(at, _)| *at < before_ms)
            || self.released.values().any(|at| *at < before_ms)
    }

    pub(crate) fn begin(
        &mut self,
        begin: BeginRecord,
        is_member: bool,
        max_records: usize,
        now_ms: u64,
    ) -> RecordOutcome {
        let key = to_key(&begin.key.unwrap_or_default());
        if self.released.contains_key(&begin.attempt) {
            return outcome(Phase::Released(Released {}));
        }
        if let Some(record) = self.by_key.get(&key) {
            let phase = match record {
                Record { fingerprint, .. } if *fingerprint != begin.fingerprint => {
                    Phase::Conflict(Conflict {})
                }
                Record { attempt, .. } if *attempt == begin.attempt && record.is_running() => {
                    Phase::Owned(Owned {})
                }
                Record { phase, .. } => phase.clone(),
            };
            return outcome(phase);
        }
        if !is_member {
            return outcome(Phase::NotMember(NotMember {}));
        }
        if self.by_key.len() >= max_records {
            return outcome(Phase::Full(Full {}));
        }
        let vm = CompactString::from(begin.vm);
        self.running.insert((vm.clone(), key.clone()));
        let record = Record {
            fingerprint: begin.fingerprint,
            attempt: begin.attempt,
            epoch: begin.epoch,
            updated_ms: now_ms,
            phase: Phase::Running(Running { vm: vm.to_string() }),
            vm,
        };
        self.by_key.insert(key, record);
        outcome(Phase::Owned(Owned {}))
    }

    pub(crate) fn finish(&mut self, finish: FinishRecord, now_ms: u64) -> Applied {
        let record_key = finish.key.unwrap_or_default();
        let key = to_key(&record_key);
        let Some(record) = self.by_key.get_mut(&key).filter(|r| r.attempt == finish.attempt) else {
            return Applied::new(Outcome::Record(outcome(Phase::Absent(Absent {}))));
        };
        if matches!(record.phase, Phase::Answer(_)) {
            return Applied::new(Outcome::Record(outcome(record.phase.clone())));
        }
        let phase = match finish.outcome {
            Some(finish_record::Outcome::Answer(answer)) => Phase::Answer(answer),
            Some(finish_record::Outcome::Unknown(unknown)) => Phase::Unknown(unknown),
            None => Phase::Unknown(Unknown::default()),
        };
        self.end(&key, phase.clone(), now_ms);
        Applied { outcome: Outcome::Record(outcome(phase)), ended: vec![record_key] }
    }

    pub(crate) fn release(&mut self, release: ReleaseRecord, now_ms: u64) -> Applied {
        let record_key = release.key.unwrap_or_default();
        let key = to_key(&record_key);
        self.released.insert(release.attempt.clone(), now_ms);
        let existing = self.by_key.get(&key);
        let is_releasable = existing
            .is_some_and(|r| r.attempt == release.attempt && !matches!(r.phase, Phase::Answer(_)));
        let outcome = Outcome::Record(outcome(Phase::Released(Released {})));
        if !is_releasable {
            return Applied::new(outcome);
        }
        if let Some(record) = self.by_key.remove(&key) {
            self.running.remove(&(record.vm, key.clone()));
            self.ended.remove(&(record.updated_ms, key));
        }
        Applied { outcome, ended: vec![record_key] }
    }

    /// Ends the running records on a VM whose owner's epoch satisfies `is_lost`;
    /// their outcome is unknown.
    pub(crate) fn end_orphaned(
        &mut self,
        vm: &str,
        now_ms: u64,
        is_lost: impl Fn(u64) -> bool,
    ) -> Vec<RecordKey> {
        let vm = CompactString::from(vm);
        let first = (vm.clone(), Key::default());
        let on_vm = self.running.range(first..).take_while(|(owner, _)| *owner == vm);
        let orphaned: Vec<Key> = on_vm
            .filter(|(_, key)| self.by_key.get(key).is_some_and(|r| is_lost(r.epoch)))
            .map(|(_, key)| key.clone())
            .collect();
        for key in &orphaned {
            let reason = format!("the entry on {vm} was lost while the call was running");
            self.end(key, Phase::Unknown(Unknown { reason }), now_ms);
        }
        orphaned.iter().map(to_record_key).collect()
    }

    pub(crate) fn expire(&mut self, before_ms: u64) {
        while self.ended.first().is_some_and(|(at, _)| *at < before_ms) {
            if let Some((_, key)) = self.ended.pop_first() {
                self.by_key.remove(&key);
            }
        }
        self.released.retain(|_, at| *at >= before_ms);
    }

    fn end(&mut self, key: &Key, phase: Phase, now_ms: u64) {
        let Some(record) = self.by_key.get_mut(key) else { return };
        self.ended.remove(&(record.updated_ms, key.clone()));
        self.running.remove(&(record.vm.clone(), key.clone()));
        record.phase = phase;
        record.updated_ms = now_ms;
        self.ended.insert((now_ms, key.clone()));
    }

    pub(crate) fn to_image(&self) -> Vec<StoredRecord> {
        let stored = |(key, record): (&Key, &Record)| StoredRecord {
            key: Some(to_record_key(key)),
            fingerprint: record.fingerprint.clone(),
            attempt: record.attempt.clone(),
            vm: record.vm.to_string(),
            epoch: record.epoch,
            updated_ms: record.updated_ms,
            state: Some(outcome(record.phase.clone())),
        };
        self.by_key.iter().map(stored).collect()
    }

    pub(crate) fn released_to_image(&self) -> Vec<ReleasedAttempt> {
        let released = |(attempt, at): (&Bytes, &u64)| ReleasedAttempt {
            attempt: attempt.clone(),
            released_ms: *at,
        };
        self.released.iter().map(released).collect()
    }

    pub(crate) fn from_image(image: Vec<StoredRecord>, released: Vec<ReleasedAttempt>) -> Self {
        let released = released.into_iter().map(|r| (r.attempt, r.released_ms)).collect();
        let mut records = Records { released, ..Records::default() };
        for stored in image {
            let key = to_key(&stored.key.unwrap_or_default());
            let phase = stored.state.and_then(|s| s.state).unwrap_or(Phase::Absent(Absent {}));
            let record = Record {
                fingerprint: stored.fingerprint,
                attempt: stored.attempt,
                vm: stored.vm.into(),
                epoch: stored.epoch,
                updated_ms: stored.updated_ms,
                phase,
            };
            if record.is_running() {
                records.running.insert((record.vm.clone(), key.clone()));
            } else {
                records.ended.insert((record.updated_ms, key.clone()));
            }
            records.by_key.insert(key, record);
        }
        records
    }
}

fn to_key(key: &RecordKey) -> Key {
    (key.workspace.as_str().into(), key.service.as_str().into(), key.key.as_str().into())
}

fn to_record_key((workspace, service, key): &Key) -> RecordKey {
    RecordKey {
        workspace: workspace.to_string(),
        service: service.to_string(),
        key: key.to_string(),
    }
}

fn outcome(phase: Phase) -> RecordOutcome {
    RecordOutcome { state: Some(phase) }
}
