//! The placers of the entries: requests to them and what they want done.

use placement::{Effect, PlacementRequest};
use smallvec::smallvec;

use super::{Event, LINK_US, Simulation, VERSION};
use crate::policy::names::{engine_index, entry_index, service_of, workspace};

impl Simulation {
    pub(super) fn enqueue(&mut self, request: usize, entry: usize) {
        let drawn = self.requests[request].clone();
        let priority = self.mix.priority(drawn.kind);
        let placement_request = PlacementRequest {
            service: service_of(drawn.kind).into(),
            workspace: workspace(drawn.workspace),
            share: self.mix.shares[drawn.workspace],
            max_running: 10_000,
            max_waiting: 10_000,
            priority: priority.name.as_str().into(),
            rank: priority.rank,
            max_wait_ms: priority.max_wait_ms,
            max_on_time_wait_ms: priority.first_token_ms,
            required_artifacts: smallvec![VERSION.into()],
            prompt_tokens: drawn.prompt_tokens,
            max_output_tokens: self.mix.max_output_tokens,
            prefix: drawn.prefix,
            excluded_engines: smallvec![],
        };
        let now_ms = self.now_ms();
        match self.placers[entry].enqueue(placement_request, now_ms) {
            Ok(ticket) => {
                self.tickets.insert((entry, ticket), request);
            }
            Err(_) => self.outcomes[request].refused = true,
        }
        self.carry_out(entry);
    }

    pub(super) fn carry_out(&mut self, entry: usize) {
        for effect in self.placers[entry].take_effects() {
            match effect {
                Effect::Placed(ticket, placement) => {
                    if let Some(request) = self.tickets.remove(&(entry, ticket)) {
                        let engine = engine_index(&placement.upstream);
                        self.placements.insert(request, placement);
                        self.start(request, engine);
                    }
                }
                Effect::Refused(ticket, _) => {
                    if let Some(request) = self.tickets.remove(&(entry, ticket)) {
                        self.outcomes[request].refused = true;
                    }
                }
                Effect::RequestCredit { id, owner_vm, request, .. } => {
                    let to = entry_index(&owner_vm);
                    self.schedule(LINK_US, Event::CreditRequest { from: entry, id, to, request });
                }
                Effect::ReleaseCredit(vm, release) => {
                    self.schedule(LINK_US, Event::Release { to: entry_index(&vm), release });
                }
                Effect::RenewCredits(vm, renew) => {
                    self.schedule(LINK_US, Event::Renew { to: entry_index(&vm), renew });
                }
                Effect::SendDigest(vm, digest) => {
                    let to = entry_index(&vm);
                    self.schedule(LINK_US, Event::Digest { from: entry, to, digest });
                }
            }
        }
    }
}
