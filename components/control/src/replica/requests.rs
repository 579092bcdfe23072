//! Requests from entries, operators and other control processes.

use actix::ResponseFuture;
use consensus::ProposeError;
use credentials::{Identity, Role};
use schema::{
    AwaitRecordRequest, Empty, ErrorCode, ErrorReply, GetSetReply, GetSetRequest, JoinReply,
    JoinRequest, Publish, ReplaceRequest, Reply, Request, command, reply, request,
};
use state::Outcome;
use tokio::sync::oneshot;
use wire::error_reply;

use super::Replica;
use super::proposals::Proposed;

const MAX_RECORD_WAIT_MS: u64 = 60_000;

impl Replica {
    pub(super) fn handle_request(
        &mut self,
        peer: &Identity,
        request: Request,
    ) -> ResponseFuture<Reply> {
        let Some(body) = request.body else {
            return ready(error_reply(ErrorCode::Invalid, "the request has no body"));
        };
        self.metrics.requests.with_label_values(&[wire::request_kind(&body)]).inc();
        if !is_allowed(peer.role, &body) {
            log::warn!(peer = peer.to_string().as_str(), kind = wire::request_kind(&body); "request refused: wrong role");
            let message = format!("{peer} may not send {} requests", wire::request_kind(&body));
            return ready(error_reply(ErrorCode::Forbidden, message));
        }
        let span = self.spans.start_server_span(wire::request_kind(&body), &request.traceparent);
        let reply = self.dispatch(peer, body);
        Box::pin(async move {
            let reply = reply.await;
            if let Some(reply::Body::Error(error)) = &reply.body {
                span.set_error(error.message.clone());
            }
            reply
        })
    }

    fn dispatch(&mut self, peer: &Identity, body: request::Body) -> ResponseFuture<Reply> {
        use request::Body;
        match body {
            Body::Status(_) => ready(self.status()),
            Body::Bootstrap(_) => self.bootstrap(),
            Body::Sync(sync) => self.sync(peer, sync),
            Body::Place(place) => self.reserve_slot(peer, place),
            Body::Crash(report) => self.report_crash(peer, report),
            Body::FindOrigin(find) => ready(self.find_origin(find)),
            Body::FetchRoutes(fetch) => ready(self.fetch_routes(&fetch)),
            Body::FindGateways(find) => ready(self.find_gateways(&find)),
            _ if !self.node.is_leader() => ready(self.not_leader()),
            Body::Join(join) => ready(self.join(peer, join)),
            Body::Replace(replace) => ready(self.remove_replica(&replace)),
            Body::Publish(publish) => self.publish(peer, publish),
            Body::PublishRoutes(publish) => self.publish_routes(publish),
            Body::GetRoutes(get) => self.get_routes(get.known_number),
            Body::GetSet(get) => self.get_set(get),
            Body::QuarantineParts(command) => self.quarantine_parts(peer, command),
            Body::LiftQuarantine(command) => self.lift_quarantine(command),
            Body::GetQuarantine(_) => self.get_quarantine(),
            Body::Evacuations(request) => self.evacuations(peer, request),
            Body::EndUpstream(end) => self.commit(command::Body::EndUpstream(end)),
            Body::Heartbeat(heartbeat) => self.heartbeat(peer, heartbeat),
            Body::Leave(leave) => self.leave(peer, leave),
            Body::BeginRecord(begin) if begin.vm != peer.name.as_str() => {
                ready(error_reply(ErrorCode::Forbidden, "an entry opens records for itself only"))
            }
            Body::BeginRecord(begin) => self.commit(command::Body::BeginRecord(begin)),
            Body::FinishRecord(finish) => self.finish_record(finish),
            Body::ReleaseRecord(release) => self.commit(command::Body::ReleaseRecord(release)),
            Body::AwaitRecord(wait) => self.await_record(wait),
            _ => ready(error_reply(ErrorCode::Invalid, "control processes take no such request")),
        }
    }

    /// Proposes a command and replies with its outcome.
    pub(super) fn commit(&mut self, body: command::Body) -> ResponseFuture<Reply> {
        let outcome = match self.submit(body) {
            Ok(outcome) => outcome,
            Err(reply) => return ready(*reply),
        };
        Box::pin(async move {
            match outcome.await {
                Ok(Proposed::Applied(outcome)) => to_reply(outcome),
                Ok(Proposed::Superseded) => {
                    error_reply(ErrorCode::NotLeader, "another leader took over; ask it")
                }
                Ok(Proposed::Unknown) | Err(_) => error_reply(
                    ErrorCode::UnknownOutcome,
                    "leadership ended first; repeat the same request",
                ),
            }
        })
    }

    fn submit(&mut self, body: command::Body) -> Result<oneshot::Receiver<Proposed>, Box<Reply>> {
        let command = self.encode_command(body);
        let size_bytes = command.len();
        if !self.proposals.has_room_for(size_bytes) {
            return Err(Box::new(error_reply(
                ErrorCode::Overloaded,
                "too many proposals are waiting",
            )));
        }
        match self.node.propose(command) {
            Ok(at) => Ok(self.proposals.add(at, size_bytes, self.clock.now_ms())),
            Err(ProposeError::NotLeader | ProposeError::Transferring) => {
                Err(Box::new(self.not_leader()))
            }
            Err(error) => Err(Box::new(error_reply(ErrorCode::Invalid, error.to_string()))),
        }
    }

    fn publish(&mut self, peer: &Identity, publish: Publish) -> ResponseFuture<Reply> {
        if publish.publication_id.is_empty() {
            return ready(error_reply(ErrorCode::Invalid, "publication_id must not be empty"));
        }
        let problems = objects::check(&publish.set.clone().unwrap_or_default());
        if let Some(problem) = problems.first() {
            let message = format!("{problem} ({} problems in all)", problems.len());
            return ready(error_reply(ErrorCode::Invalid, message));
        }
        // The author is the name in the certificate, whatever the request states.
        let publish = Publish { author: peer.name.to_string(), ..publish };
        self.commit(command::Body::Publish(publish))
    }

    fn get_set(&mut self, get: GetSetRequest) -> ResponseFuture<Reply> {
        self.linearizable_read(move |replica| {
            let (current, _) = replica.state.current();
            let revision = if get.revision == 0 { current } else { get.revision };
            let stored = replica.state.publications().get(revision);
            if revision == 0 {
                return get_set_to_reply(GetSetReply::default());
            }
            match stored.filter(|stored| stored.set.is_some()) {
                Some(stored) => get_set_to_reply(GetSetReply {
                    revision,
                    author: stored.author.clone(),
                    publication_id: stored.publication_id.clone(),
                    set: stored.set.clone(),
                }),
                None => {
                    let message = format!("revision {revision} is not kept");
                    error_reply(ErrorCode::Invalid, message)
                }
            }
        })
    }

    fn finish_record(&mut self, finish: schema::FinishRecord) -> ResponseFuture<Reply> {
        let max_bytes = self.config.limits.max_answer_bytes;
        if let Some(schema::finish_record::Outcome::Answer(answer)) = &finish.outcome
            && answer.body.len() as u64 > max_bytes
        {
            let message = format!("an answer may hold {max_bytes} bytes at most");
            return ready(error_reply(ErrorCode::Invalid, message));
        }
        self.commit(command::Body::FinishRecord(finish))
    }

    fn await_record(&mut self, wait: AwaitRecordRequest) -> ResponseFuture<Reply> {
        let key = wait.key.unwrap_or_default();
        let timeout_ms = wait.timeout_ms.min(MAX_RECORD_WAIT_MS);
        let deadline_ms = self.clock.now_ms() + timeout_ms;
        // Registered before the read, so that a record that finishes in between still
        // notifies this request.
        let finished = self.record_waiters.add(&key, wait.fingerprint.to_vec(), deadline_ms);
        let lookup = self.linearizable_read(move |replica| {
            let outcome = replica.state.records().lookup(&key, &wait.fingerprint);
            Reply { body: Some(reply::Body::Record(outcome)) }
        });
        Box::pin(async move {
            let current = lookup.await;
            let is_running = matches!(
                &current.body,
                Some(reply::Body::Record(outcome))
                    if matches!(outcome.state, Some(schema::record_outcome::State::Running(_)))
            );
            if !is_running {
                return current;
            }
            match finished.await {
                Ok(outcome) => Reply { body: Some(reply::Body::Record(outcome)) },
                Err(_) => {
                    error_reply(ErrorCode::NotLeader, "leadership ended; ask the next leader")
                }
            }
        })
    }

    fn join(&mut self, peer: &Identity, join: JoinRequest) -> Reply {
        let member = join.replica.unwrap_or_default();
        if member.vm != peer.name.as_str() || member.id == consensus::NO_REPLICA {
            return error_reply(ErrorCode::Forbidden, "a process joins for its own VM only");
        }
        self.join_candidates.add(member, self.clock.now_ms());
        let configuration = Some(self.node.configuration().clone());
        Reply { body: Some(reply::Body::Join(JoinReply { configuration })) }
    }

    /// Bootstraps the group and replies once the configuration is durable.
    fn bootstrap(&mut self) -> ResponseFuture<Reply> {
        let member = self.own_replica_info();
        match self.node.bootstrap(self.clock.now_ms(), member) {
            Ok(()) => {
                log::info!(replica = self.node.id(); "control group created");
                self.linearizable_read(|_| Reply { body: Some(reply::Body::Empty(Empty {})) })
            }
            Err(error) => ready(error_reply(ErrorCode::Invalid, error.to_string())),
        }
    }

    fn remove_replica(&mut self, replace: &ReplaceRequest) -> Reply {
        let mut configuration = self.node.configuration().clone();
        let before = configuration.replicas.len();
        configuration.replicas.retain(|replica| replica.id != replace.replica_id);
        if configuration.replicas.len() == before {
            let message = format!("there is no replica {}", replace.replica_id);
            return error_reply(ErrorCode::Invalid, message);
        }
        match self.node.propose_configuration(configuration) {
            Ok(_) => Reply { body: Some(reply::Body::Empty(Empty {})) },
            Err(error) => error_reply(ErrorCode::Invalid, error.to_string()),
        }
    }

    fn not_leader(&self) -> Reply {
        let code = if self.node.is_initialised() {
            ErrorCode::NotLeader
        } else {
            ErrorCode::NotInitialised
        };
        let message = "this control process does not lead".to_string();
        let leader_address = self.leader_address();
        let error = ErrorReply { code: code.into(), message, leader_address };
        Reply { body: Some(reply::Body::Error(error)) }
    }
}

/// Returns whether peers of `role` may send this request.
fn is_allowed(role: Role, body: &request::Body) -> bool {
    use request::Body;
    match body {
        Body::Status(_) => true,
        Body::Publish(_) | Body::Bootstrap(_) | Body::Replace(_) | Body::GetQuarantine(_) => {
            role == Role::Operator
        }
        Body::QuarantineParts(_) | Body::LiftQuarantine(_) => {
            matches!(role, Role::Control | Role::Operator)
        }
        Body::GetSet(_) | Body::FetchRoutes(_) => matches!(role, Role::Operator | Role::Entry),
        Body::Join(_) | Body::Consensus(_) | Body::EndUpstream(_) => role == Role::Control,
        Body::PublishRoutes(_) | Body::GetRoutes(_) | Body::Evacuations(_) => {
            matches!(role, Role::Control | Role::Operator)
        }
        Body::Heartbeat(_)
        | Body::Leave(_)
        | Body::BeginRecord(_)
        | Body::FinishRecord(_)
        | Body::ReleaseRecord(_)
        | Body::AwaitRecord(_)
        | Body::Announce(_)
        | Body::Credit(_)
        | Body::CreditRelease(_)
        | Body::CreditRenew(_)
        | Body::Digest(_)
        | Body::Locate(_)
        | Body::Sync(_)
        | Body::Place(_)
        | Body::Crash(_)
        | Body::FindOrigin(_)
        | Body::FindGateways(_)
        | Body::Forward(_)
        | Body::Confirm(_) => role == Role::Entry,
    }
}

fn to_reply(outcome: Outcome) -> Reply {
    let body = match outcome {
        Outcome::Published(outcome) => reply::Body::Publish(outcome),
        Outcome::RoutesPublished(outcome) => reply::Body::PublishRoutes(outcome),
        Outcome::Record(outcome) => reply::Body::Record(outcome),
        Outcome::Evacuations(evacuated) => reply::Body::Evacuations(evacuated),
        Outcome::Done => reply::Body::Empty(Empty {}),
    };
    Reply { body: Some(body) }
}

fn get_set_to_reply(get_set: GetSetReply) -> Reply {
    Reply { body: Some(reply::Body::GetSet(get_set)) }
}

pub(super) fn ready(reply: Reply) -> ResponseFuture<Reply> {
    Box::pin(std::future::ready(reply))
}
