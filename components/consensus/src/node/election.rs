//! Elections: pre-vote, vote and stepping down.

use rand::RngExt as _;
use schema::consensus_message::Body;
use schema::{ConsensusMessage, VoteReply, VoteRequest};

use super::{Node, Role};
use crate::NO_REPLICA;
use crate::membership;
use crate::options::Options;
use crate::output::LogPosition;
use crate::votes::Votes;

impl Node {
    /// Draws the next election timeout. A replica that has just started has not lost a
    /// leader, so it waits for one to two heartbeat intervals only; the pre-votes that
    /// it then requests do not disturb a live leader.
    pub(super) fn reset_election_deadline(&mut self) {
        let Options { heartbeat_ms, election_ms, .. } = self.options;
        let minimum_ms = if self.is_starting { heartbeat_ms.min(election_ms) } else { election_ms };
        let jitter_ms = self.rng.random_range(0..minimum_ms.max(1));
        self.election_deadline_ms = self.now_ms + minimum_ms + jitter_ms;
    }

    /// Returns whether this replica leads or has had contact with a leader within
    /// the minimum election timeout.
    pub(super) fn has_live_leader(&self) -> bool {
        if self.is_leader() {
            return true;
        }
        let contact_ms = self.last_leader_contact_ms.filter(|_| self.leader_id != NO_REPLICA);
        contact_ms.is_some_and(|at_ms| self.now_ms < at_ms + self.options.election_ms)
    }

    pub(super) fn become_follower(&mut self, term: u64, leader_id: u64) {
        if term > self.term {
            self.set_term(term, NO_REPLICA);
        }
        self.leader_id = leader_id;
        let previous = std::mem::replace(&mut self.role, Role::Follower);
        if let Role::Leader(mut leadership) = previous {
            self.reads_failed.extend(leadership.reads.fail_all());
            self.reset_election_deadline();
        }
    }

    /// Asks the other voters whether they would grant a vote, without increasing the
    /// term. Starts the election at once if this replica is the only voter.
    pub(super) fn start_pre_vote(&mut self) {
        self.leader_id = NO_REPLICA;
        let mut pre_votes = Votes::default();
        pre_votes.record_grant(self.id);
        let won = pre_votes.has_majority(self.configurations.current());
        let votes = match std::mem::replace(&mut self.role, Role::Follower) {
            Role::Candidate(votes) => Some(votes),
            Role::PreCandidate { votes, .. } => votes,
            Role::Follower | Role::Leader(_) => None,
        };
        self.role = Role::PreCandidate { pre_votes, votes };
        if won {
            self.start_election(false);
            return;
        }
        let request = self.vote_request(true, false);
        let term = self.term + 1;
        for to in self.other_voters() {
            let body = Some(Body::VoteRequest(request));
            self.messages.push(ConsensusMessage { from: self.id, to, term, body });
        }
    }

    pub(super) fn start_election(&mut self, transfer: bool) {
        self.set_term(self.term + 1, self.id);
        self.is_starting = false;
        self.leader_id = NO_REPLICA;
        self.reset_election_deadline();
        let mut votes = Votes::default();
        votes.record_grant(self.id);
        self.role = Role::Candidate(votes);
        let request = self.vote_request(false, transfer);
        for to in self.other_voters() {
            self.send_once_durable(to, Body::VoteRequest(request));
        }
    }

    /// Continues the election in which this replica voted, now that its vote is durable. The
    /// election gets a full timeout from here, as the vote leaves only now; the only voter
    /// has won.
    pub(super) fn handle_durable_vote(&mut self) {
        let won = match &self.role {
            Role::Candidate(votes) => votes.has_majority(self.configurations.current()),
            Role::Follower | Role::PreCandidate { .. } => false,
            Role::Leader(_) => return,
        };
        self.reset_election_deadline();
        if won && self.is_hard_state_durable() {
            self.become_leader();
        }
    }

    pub(super) fn handle_vote_request(&mut self, from: u64, term: u64, request: VoteRequest) {
        let up_to_date = self.is_up_to_date(&request);
        if request.pre_vote {
            let granted = term > self.term && up_to_date && !self.has_live_leader();
            // A granted pre-vote is sent with the requested term, a rejected one with
            // the current term.
            let term = if granted { term } else { self.term };
            let body = Some(Body::VoteReply(VoteReply { pre_vote: true, granted }));
            let reply = ConsensusMessage { from: self.id, to: from, term, body };
            // After a vote in the current term, which may still decide that election.
            if self.is_hard_state_durable() {
                self.messages.push(reply);
            } else {
                self.durable_messages.push(reply);
            }
            return;
        }
        let can_vote = self.voted_for == NO_REPLICA || self.voted_for == from;
        let granted = can_vote && up_to_date;
        if granted {
            self.is_starting = false;
            self.set_term(self.term, from);
            self.reset_election_deadline();
        }
        self.send_once_durable(from, Body::VoteReply(VoteReply { pre_vote: false, granted }));
    }

    pub(super) fn handle_vote_reply(&mut self, from: u64, term: u64, reply: VoteReply) {
        let next_term = self.term + 1;
        let votes = match &mut self.role {
            Role::PreCandidate { pre_votes, .. } if reply.pre_vote && term == next_term => {
                pre_votes
            }
            Role::PreCandidate { votes: Some(votes), .. } | Role::Candidate(votes)
                if !reply.pre_vote =>
            {
                votes
            }
            _ => return,
        };
        if !reply.granted {
            return;
        }
        votes.record_grant(from);
        if !votes.has_majority(self.configurations.current()) {
            return;
        }
        if reply.pre_vote {
            self.start_election(false);
        } else {
            self.become_leader();
        }
    }

    /// Starts an election immediately because the leader transfers its role here.
    pub(super) fn handle_timeout_now(&mut self) {
        if self.is_eligible() && !self.is_leader() {
            self.start_election(true);
        }
    }

    /// Returns whether this replica may start an election: not while its last vote is being
    /// written.
    pub(super) fn is_eligible(&self) -> bool {
        self.may_campaign
            && self.is_hard_state_durable()
            && membership::is_voter(self.configurations.current(), self.id)
    }

    /// Steps down once the newest configuration is committed and this replica is
    /// not one of its voters. Older configurations are ignored, because a
    /// restarted replica applies them again.
    pub(super) fn step_down_if_removed(&mut self, applied: LogPosition) {
        let newest = applied.index == self.configurations.current_index();
        if newest
            && self.is_leader()
            && !membership::is_voter(self.configurations.current(), self.id)
        {
            self.become_follower(self.term, NO_REPLICA);
        }
    }

    fn vote_request(&self, pre_vote: bool, transfer: bool) -> VoteRequest {
        let last = self.log.last();
        VoteRequest { pre_vote, last_index: last.index, last_term: last.term, transfer }
    }

    fn is_up_to_date(&self, request: &VoteRequest) -> bool {
        let last = self.log.last();
        (request.last_term, request.last_index) >= (last.term, last.index)
    }

    pub(super) fn other_voters(&self) -> Vec<u64> {
        membership::voters(self.configurations.current())
            .map(|replica| replica.id)
            .filter(|id| *id != self.id)
            .collect()
    }
}
