//! Requests to the placers of the entries, and execution of their effects.

use placement::{Effect, PlacementRequest};
use smallvec::smallvec;

use super::{Event, NETWORK_DELAY_US, Simulation, VERSION};
use crate::policy::names::{engine_index, entry_index, service_name, workspace_name};

impl Simulation {
    pub(super) fn enqueue_at_placer(&mut self, request: usize, entry: usize) {
        let sampled = self.requests[request].clone();
        let priority = self.mix.priority(sampled.kind);
        let placement_request = PlacementRequest {
            service: service_name(sampled.kind).into(),
            workspace: workspace_name(sampled.workspace),
            share: self.mix.shares[sampled.workspace],
            max_running: 10_000,
            max_waiting: 10_000,
            priority: priority.name.as_str().into(),
            rank: priority.rank,
            max_wait_ms: priority.max_wait_ms,
            max_on_time_wait_ms: priority.first_token_ms,
            required_artifacts: smallvec![VERSION.into()],
            prompt_tokens: sampled.prompt_tokens,
            max_output_tokens: self.mix.max_output_tokens,
            prefix: sampled.prefix,
            excluded_engines: smallvec![],
        };
        let now_ms = self.now_ms();
        match self.placers[entry].enqueue(placement_request, now_ms) {
            Ok(ticket) => {
                self.tickets.insert((entry, ticket), request);
            }
            Err(_) => self.outcomes[request].refused = true,
        }
        self.apply_effects(entry);
    }

    pub(super) fn apply_effects(&mut self, entry: usize) {
        for effect in self.placers[entry].take_effects() {
            match effect {
                Effect::Placed(ticket, placement) => {
                    if let Some(request) = self.tickets.remove(&(entry, ticket)) {
                        let engine = engine_index(&placement.upstream);
                        self.placements.insert(request, placement);
                        self.start_on_engine(request, engine);
                    }
                }
                Effect::Refused(ticket, _) => {
                    if let Some(request) = self.tickets.remove(&(entry, ticket)) {
                        self.outcomes[request].refused = true;
                    }
                }
                Effect::RequestCredit { id, owner_vm, request, .. } => {
                    let to = entry_index(&owner_vm);
                    self.schedule(
                        NETWORK_DELAY_US,
                        Event::CreditRequest { from: entry, id, to, request },
                    );
                }
                Effect::ReleaseCredit(vm, release) => {
                    self.schedule(
                        NETWORK_DELAY_US,
                        Event::CreditRelease { to: entry_index(&vm), release },
                    );
                }
                Effect::RenewCredits(vm, renew) => {
                    self.schedule(
                        NETWORK_DELAY_US,
                        Event::CreditRenewal { to: entry_index(&vm), renew },
                    );
                }
                Effect::SendDigest(vm, digest) => {
                    let to = entry_index(&vm);
                    self.schedule(NETWORK_DELAY_US, Event::Digest { from: entry, to, digest });
                }
            }
        }
    }
}
