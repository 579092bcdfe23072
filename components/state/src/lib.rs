//! Replicated state machine of the control processes.
//!
//! [`State::apply`] is deterministic: it takes the time from the command, so
//! replicas with equal limits that apply equal logs reach equal states.

mod ended_upstreams;
mod evacuations;
mod members;
mod packed;
mod publications;
mod quarantine;
mod records;
mod routes;

use prost::Message as _;
use schema::command::Body;
use schema::{
    Command, EvacuatedDataCentres, ObjectSet, PublishOutcome, PublishRoutesOutcome, RecordKey,
    RecordOutcome, StateImage,
};

pub use ended_upstreams::EndedUpstreams;
pub use evacuations::Evacuations;
pub use members::Members;
pub use packed::{UnpackError, pack_set, unpack_set};
pub use publications::Publications;
pub use quarantine::Quarantine;
pub use records::Records;
pub use routes::Routes;

/// Limits on the size of the state.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of at-most-once records.
    pub max_records: usize,
    /// Number of latest revisions whose object set is kept; 0 counts as 1.
    pub kept_revisions: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { max_records: 1_000_000, kept_revisions: 16 }
    }
}

/// Result of one command, returned to the process that proposed it.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// Result of publishing an object set.
    Published(PublishOutcome),
    /// Result of publishing a set of routes.
    RoutesPublished(PublishRoutesOutcome),
    /// Result of a command on an at-most-once record.
    Record(RecordOutcome),
    /// The data centres that are evacuated after the command.
    Evacuations(EvacuatedDataCentres),
    /// The command has no result.
    Done,
}

/// Result of one command and the records whose waiters have to be notified.
#[derive(Clone, Debug, PartialEq)]
pub struct Applied {
    /// Result for the proposer.
    pub outcome: Outcome,
    /// Records that the command ended or released.
    pub ended: Vec<RecordKey>,
}

impl Applied {
    fn new(outcome: Outcome) -> Self {
        Applied { outcome, ended: Vec::new() }
    }
}

/// Replicated state of the control processes.
#[derive(Debug, Default)]
pub struct State {
    limits: Limits,
    /// Highest time of all applied commands.
    now_ms: u64,
    publications: Publications,
    records: Records,
    members: Members,
    routes: Routes,
    quarantine: Quarantine,
    evacuations: Evacuations,
    ended_upstreams: EndedUpstreams,
}

impl State {
    /// Creates an empty state.
    pub fn new(limits: Limits) -> Self {
        State { limits, ..State::default() }
    }

    /// Applies one committed command.
    pub fn apply(&mut self, command: Command) -> Applied {
        self.now_ms = self.now_ms.max(command.now_ms);
        let now_ms = self.now_ms;
        match command.body {
            Some(Body::Publish(publish)) => {
                let kept = self.limits.kept_revisions;
                Applied::new(Outcome::Published(self.publications.publish(publish, kept)))
            }
            Some(Body::BeginRecord(begin)) => {
                let is_member = self.members.contains(&begin.vm, begin.epoch);
                let max_records = self.limits.max_records;
                let outcome = self.records.begin(begin, is_member, max_records, now_ms);
                Applied::new(Outcome::Record(outcome))
            }
            Some(Body::FinishRecord(finish)) => self.records.finish(finish, now_ms),
            Some(Body::ReleaseRecord(release)) => self.records.release(release, now_ms),
            Some(Body::RegisterEntry(register)) => {
                let member = register.member.unwrap_or_default();
                let (vm, epoch) = (member.vm.clone(), member.epoch);
                self.members.register(member);
                let ended = self.records.end_orphaned(&vm, now_ms, |owner| owner != epoch);
                Applied { outcome: Outcome::Done, ended }
            }
            Some(Body::RemoveEntry(remove)) => {
                self.members.remove(&remove.vm, remove.epoch);
                let ended =
                    self.records.end_orphaned(&remove.vm, now_ms, |owner| owner == remove.epoch);
                Applied { outcome: Outcome::Done, ended }
            }
            Some(Body::ExpireRecords(expire)) => {
                self.records.expire(now_ms.saturating_sub(expire.retention_ms));
                Applied::new(Outcome::Done)
            }
            Some(Body::PublishRoutes(publish)) => {
                Applied::new(Outcome::RoutesPublished(self.routes.publish(publish)))
            }
            Some(Body::QuarantineParts(command)) => {
                self.quarantine.add(command, now_ms);
                Applied::new(Outcome::Done)
            }
            Some(Body::LiftQuarantine(command)) => {
                self.quarantine.lift(&command);
                Applied::new(Outcome::Done)
            }
            Some(Body::EvacuateDataCentre(command)) => {
                self.evacuations.apply(&command);
                Applied::new(Outcome::Evacuations(self.evacuations.to_message()))
            }
            Some(Body::EndUpstream(end)) => {
                if let Some(upstream) = end.upstream {
                    self.ended_upstreams.record(upstream, now_ms);
                }
                Applied::new(Outcome::Done)
            }
            None => Applied::new(Outcome::Done),
        }
    }

    /// Returns the published object sets.
    pub fn publications(&self) -> &Publications {
        &self.publications
    }

    /// Returns the at-most-once records.
    pub fn records(&self) -> &Records {
        &self.records
    }

    /// Returns the entry processes that hold a lease.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Returns the published set of routes.
    pub fn routes(&self) -> &Routes {
        &self.routes
    }

    /// Returns the sets of features under quarantine.
    pub fn quarantine(&self) -> &Quarantine {
        &self.quarantine
    }

    /// Returns the evacuated data centres.
    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Returns the upstreams whose end is recorded.
    pub fn ended_upstreams(&self) -> &EndedUpstreams {
        &self.ended_upstreams
    }

    /// Returns the current revision and its object set.
    pub fn current(&self) -> (u64, Option<&ObjectSet>) {
        self.publications.current()
    }

    /// Encodes the state as a snapshot.
    pub fn to_bytes(&self) -> Vec<u8> {
        let image = StateImage {
            publications: self.publications.to_image(),
            records: self.records.to_image(),
            members: self.members.to_image(),
            members_version: self.members.version(),
            now_ms: self.now_ms,
            released: self.records.released_to_image(),
            routes: self.routes.to_image(),
            quarantine: self.quarantine.to_image(),
            evacuations: Some(self.evacuations.to_message()),
            ended_upstreams: self.ended_upstreams.to_image(),
        };
        image.encode_to_vec()
    }

    /// Restores a state from a snapshot written by [`State::to_bytes`].
    pub fn from_bytes(bytes: &[u8], limits: Limits) -> Result<Self, prost::DecodeError> {
        let image = StateImage::decode(bytes)?;
        Ok(State {
            limits,
            now_ms: image.now_ms,
            publications: Publications::from_image(image.publications),
            records: Records::from_image(image.records, image.released),
            members: Members::from_image(image.members, image.members_version),
            routes: Routes::from_image(image.routes),
            quarantine: Quarantine::from_image(image.quarantine),
            evacuations: Evacuations::from_image(image.evacuations.unwrap_or_default()),
            ended_upstreams: EndedUpstreams::from_image(image.ended_upstreams),
        })
    }
}
