//! Event loop of one run.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::sync::Arc;

use compact_str::CompactString;
use placement::{
    CreditRequestId, DeploymentView, Placement, Placer, PlacerOptions, Release, TicketId,
};
use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};
use schema::{
    AnnounceRequest, CreditRelease, CreditRenew, CreditReply, CreditRequest, DigestRequest,
    EngineLoad, EntryMember, UpstreamKind,
};

use super::Disturbance;
use super::capacity::capacity_per_s;
use super::compared::Policy;
use super::engine::{Engine, Stepped};
use super::mix::{Drawn, Mix};
use super::names::{data_centre, engine_name, entry_index, service_of, vm, workspace};
use super::score::{Outcome, Score};

mod baselines;
mod entries;

const ENGINES: usize = 20;
const ENTRIES: usize = 9;
const REPORT_US: u64 = 500_000;
const TICK_US: u64 = 50_000;
const LINK_US: u64 = 1_500;
const WARM_UP_US: u64 = 20_000_000;
const US_PER_S: u64 = 1_000_000;
const BURST_PERIOD_US: u64 = 30 * US_PER_S;
const BURST_US: u64 = 5 * US_PER_S;
const VERSION: &str = "model-1";

#[derive(Clone, Debug)]
enum Event {
    Arrival,
    Step(usize),
    Report(usize),
    Tick(usize),
    Disturb,
    CreditRequest { from: usize, id: CreditRequestId, to: usize, request: CreditRequest },
    CreditReply { to: usize, id: CreditRequestId, reply: Option<CreditReply> },
    Release { to: usize, release: CreditRelease },
    Renew { to: usize, renew: CreditRenew },
    Digest { from: usize, to: usize, digest: DigestRequest },
    DigestAck { to: usize, from: usize, accepted: bool },
}

/// Order of events: by time, then by order of scheduling.
type Scheduled = Reverse<(u64, u64)>;

/// One run.
pub(crate) struct Simulation {
    mix: Mix,
    policy: Policy,
    disturbance: Disturbance,
    rng: SmallRng,
    now_us: u64,
    end_us: u64,
    rate_per_s: f64,
    order: u64,
    queue: BinaryHeap<Scheduled>,
    events: HashMap<u64, Event>,
    engines: Vec<Engine>,
    stepping: Vec<bool>,
    reports: Vec<EngineLoad>,
    placers: Vec<Placer>,
    next_engine: Vec<usize>,
    in_flight: Vec<Vec<usize>>,
    requests: Vec<Drawn>,
    outcomes: Vec<Outcome>,
    entry_of: Vec<usize>,
    engine_of: Vec<Option<usize>>,
    tickets: HashMap<(usize, TicketId), usize>,
    placements: HashMap<usize, Placement>,
}

impl Simulation {
    pub(crate) fn new(
        mix: Mix,
        policy: Policy,
        load: f64,
        seed: u64,
        seconds: u64,
        disturbance: Disturbance,
    ) -> Self {
        let capacity_per_s = capacity_per_s(&mix) * ENGINES as f64;
        let mut simulation = Simulation {
            policy,
            disturbance,
            rng: SmallRng::seed_from_u64(seed),
            now_us: 1,
            end_us: WARM_UP_US + seconds * US_PER_S,
            rate_per_s: capacity_per_s * load,
            order: 0,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            engines: (0..ENGINES).map(|_| Engine::default()).collect(),
            stepping: vec![false; ENGINES],
            reports: vec![EngineLoad::default(); ENGINES],
            placers: Vec::new(),
            next_engine: (0..ENTRIES).collect(),
            in_flight: vec![vec![0; ENGINES]; ENTRIES],
            requests: Vec::new(),
            outcomes: Vec::new(),
            entry_of: Vec::new(),
            engine_of: Vec::new(),
            tickets: HashMap::new(),
            placements: HashMap::new(),
            mix,
        };
        simulation.placers = (0..ENTRIES).map(|entry| simulation.placer(entry)).collect();
        simulation
    }

    fn placer(&self, entry: usize) -> Placer {
        let mechanisms = match self.policy {
            Policy::Placer(mechanisms) => mechanisms,
            Policy::RoundRobin | Policy::LeastInFlight | Policy::TwoChoices => Default::default(),
        };
        let mut placer = Placer::new(PlacerOptions {
            vm: vm(entry),
            data_centre: data_centre(entry),
            epoch: entry as u64 + 1,
            http_address: CompactString::default(),
            upstream_lease_ms: 2_000,
            credit_lease_ms: 3_000,
            max_waiting: 10_000,
            max_upstreams: 1_000,
            mechanisms,
        });
        let member = |entry: usize| EntryMember {
            vm: vm(entry).to_string(),
            epoch: entry as u64 + 1,
            data_centre: data_centre(entry).to_string(),
            ..EntryMember::default()
        };
        let members: Vec<EntryMember> = (0..ENTRIES).map(member).collect();
        let view = DeploymentView {
            members: Arc::from(members),
            members_version: 1,
            priorities: vec![self.mix.quick.clone(), self.mix.long.clone()],
            weights: self.mix.weights,
            accepts_requests: true,
        };
        placer.set_view(view, 0);
        placer
    }

    pub(crate) fn run(mut self) -> Score {
        for engine in 0..ENGINES {
            let offset = self.rng.random_range(0..REPORT_US);
            self.schedule(offset, Event::Report(engine));
        }
        for entry in 0..ENTRIES {
            self.schedule(TICK_US * (entry as u64 + 1) / ENTRIES as u64, Event::Tick(entry));
        }
        self.schedule(US_PER_S, Event::Arrival);
        let third = WARM_UP_US + (self.end_us - WARM_UP_US) / 3;
        self.schedule(third, Event::Disturb);
        while let Some(Reverse((at_us, order))) = self.queue.pop() {
            if at_us > self.end_us {
                break;
            }
            self.now_us = at_us;
            if let Some(event) = self.events.remove(&order) {
                self.handle(event);
            }
        }
        self.score()
    }

    fn score(&self) -> Score {
        // Requests that arrived too late to end are left out.
        let last_arrival_us = self.end_us - (self.end_us - WARM_UP_US) / 4;
        let counted = self
            .outcomes
            .iter()
            .filter(|outcome| (WARM_UP_US..last_arrival_us).contains(&outcome.arrived_us));
        let counted: Vec<Outcome> = counted.cloned().collect();
        let seconds = (last_arrival_us - WARM_UP_US) as f64 / US_PER_S as f64;
        Score::of(&counted, &self.mix, seconds)
    }

    fn schedule(&mut self, delay_us: u64, event: Event) {
        self.order += 1;
        self.events.insert(self.order, event);
        self.queue.push(Reverse((self.now_us + delay_us, self.order)));
    }

    fn now_ms(&self) -> u64 {
        self.now_us / 1_000
    }

    fn handle(&mut self, event: Event) {
        let now_ms = self.now_ms();
        match event {
            Event::Arrival => self.arrive(),
            Event::Step(engine) => self.step(engine),
            Event::Report(engine) => self.report(engine),
            Event::Disturb => self.disturb(),
            Event::Tick(entry) => {
                self.placers[entry].tick(now_ms);
                self.carry_out(entry);
                self.schedule(TICK_US, Event::Tick(entry));
            }
            Event::CreditRequest { from, id, to, request } => {
                let reply = self.placers[to].handle_credit_request(&vm(from), &request, now_ms);
                self.carry_out(to);
                self.schedule(LINK_US, Event::CreditReply { to: from, id, reply });
            }
            Event::CreditReply { to, id, reply } => {
                self.placers[to].handle_credit_reply(id, reply, now_ms);
                self.carry_out(to);
            }
            Event::Release { to, release } => {
                self.placers[to].handle_release(&release, now_ms);
                self.carry_out(to);
            }
            Event::Renew { to, renew } => {
                self.placers[to].handle_renewal(&renew, now_ms);
                self.carry_out(to);
            }
            Event::Digest { from, to, digest } => {
                let accepted = self.placers[to].apply_digest(digest, now_ms);
                self.carry_out(to);
                self.schedule(LINK_US, Event::DigestAck { to: from, from: to, accepted });
            }
            Event::DigestAck { to, from, accepted } => {
                self.placers[to].handle_digest_ack(&vm(from), accepted);
            }
        }
    }

    fn arrive(&mut self) {
        let gap_s = -self.rng.random_range(f64::EPSILON..1.0).ln() / self.current_rate();
        self.schedule((gap_s * US_PER_S as f64) as u64 + 1, Event::Arrival);
        let drawn = self.mix.draw(&mut self.rng);
        let entry = self.rng.random_range(0..ENTRIES);
        let request = self.requests.len();
        self.outcomes.push(Outcome {
            kind: drawn.kind,
            workspace: drawn.workspace,
            arrived_us: self.now_us,
            wanted_tokens: drawn.output_tokens,
            last_us: self.now_us,
            tokens: 0,
            first_us: None,
            gaps_us: Vec::new(),
            preemptions: 0,
            refused: false,
            whole: false,
        });
        self.requests.push(drawn);
        self.entry_of.push(entry);
        self.engine_of.push(None);
        match self.policy {
            Policy::Placer(_) => self.enqueue(request, entry),
            Policy::RoundRobin | Policy::LeastInFlight | Policy::TwoChoices => {
                let engine = self.choose_baseline(entry);
                self.start(request, engine);
            }
        }
    }

    fn current_rate(&self) -> f64 {
        let in_burst = self.now_us % BURST_PERIOD_US < BURST_US;
        match self.disturbance {
            Disturbance::Bursts if in_burst => 2.0 * self.rate_per_s,
            _ => self.rate_per_s,
        }
    }

    fn start(&mut self, request: usize, engine: usize) {
        let drawn = &self.requests[request];
        let rank = self.mix.priority(drawn.kind).rank;
        let Drawn { prefix, prompt_tokens, output_tokens, .. } = *drawn;
        self.engine_of[request] = Some(engine);
        self.in_flight[self.entry_of[request]][engine] += 1;
        if self.engines[engine].lost {
            self.end(request, false);
            return;
        }
        if !self.engines[engine].start(request, rank, prefix, prompt_tokens, output_tokens) {
            self.outcomes[request].refused = true;
            self.end(request, false);
            return;
        }
        if !self.stepping[engine] {
            self.stepping[engine] = true;
            self.schedule(0, Event::Step(engine));
        }
    }

    fn step(&mut self, engine: usize) {
        if self.engines[engine].lost || self.engines[engine].is_idle() {
            self.stepping[engine] = false;
            return;
        }
        let (length_us, stepped) = self.engines[engine].step();
        // What a step computes is there at its end.
        let at_us = self.now_us + length_us;
        for change in stepped {
            match change {
                Stepped::Token(request) => self.token(request, at_us),
                Stepped::Ended(request) => self.end(request, true),
                Stepped::Preempted(request) => self.outcomes[request].preemptions += 1,
            }
        }
        self.schedule(length_us, Event::Step(engine));
    }

    fn token(&mut self, request: usize, at_us: u64) {
        let outcome = &mut self.outcomes[request];
        let gap_us = at_us - outcome.last_us;
        outcome.last_us = at_us;
        outcome.tokens += 1;
        if outcome.first_us.is_none() {
            outcome.first_us = Some(gap_us);
        } else {
            outcome.gaps_us.push(u32::try_from(gap_us).unwrap_or(u32::MAX));
        }
        let tokens = outcome.tokens;
        if let Some(placement) = self.placements.get(&request) {
            let entry = self.entry_of[request];
            self.placers[entry].record_progress(&placement.upstream, placement.credit, tokens);
        }
    }

    fn end(&mut self, request: usize, whole: bool) {
        self.outcomes[request].whole = whole;
        let entry = self.entry_of[request];
        if let Some(engine) = self.engine_of[request] {
            self.in_flight[entry][engine] -= 1;
        }
        let Some(placement) = self.placements.remove(&request) else { return };
        let drawn = &self.requests[request];
        let release = Release {
            placement,
            service: service_of(drawn.kind).into(),
            workspace: workspace(drawn.workspace),
            share: self.mix.shares[drawn.workspace],
            prompt_tokens: drawn.prompt_tokens,
            output_tokens: self.outcomes[request].tokens,
            output_complete: whole,
        };
        let now_ms = self.now_ms();
        self.placers[entry].release(release, now_ms);
        self.carry_out(entry);
    }

    fn report(&mut self, engine: usize) {
        if self.engines[engine].lost {
            return;
        }
        let load = self.engines[engine].load();
        self.reports[engine] = load;
        let announce = AnnounceRequest {
            upstream: engine_name(engine).to_string(),
            kind: UpstreamKind::Engine.into(),
            address: engine_name(engine).to_string(),
            data_centre: data_centre(engine).to_string(),
            epoch: 1,
            serves: vec![VERSION.to_string()],
            load: Some(load),
            leaving: false,
        };
        let owner = self.placers[0].owner_of(&announce.upstream).map(|o| entry_index(&o.vm));
        if let Some(owner) = owner {
            let now_ms = self.now_ms();
            // The bound on upstreams is far away.
            let _ = self.placers[owner].announce(announce, now_ms);
            self.carry_out(owner);
        }
        self.schedule(REPORT_US, Event::Report(engine));
    }

    fn disturb(&mut self) {
        match self.disturbance {
            Disturbance::None | Disturbance::Bursts => {}
            Disturbance::EngineSlow => self.engines[0].slowness = 3,
            Disturbance::EngineLost => {
                for request in self.engines[0].lose() {
                    self.end(request, false);
                }
            }
        }
    }
}
