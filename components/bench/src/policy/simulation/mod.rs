//! Discrete-event simulation of one run: entries with their placers, engines
//! and the network delay between entries.

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
use super::engine::{Engine, StepEvent};
use super::mix::{Mix, SampledRequest};
use super::names::{
    data_centre_name, engine_name, entry_index, service_name, vm_name, workspace_name,
};
use super::score::{RequestOutcome, Score};

mod baselines;
mod entries;

const ENGINE_COUNT: usize = 20;
const ENTRY_COUNT: usize = 9;
const REPORT_INTERVAL_US: u64 = 500_000;
const TICK_INTERVAL_US: u64 = 50_000;
/// One-way delay of a message between entries.
const NETWORK_DELAY_US: u64 = 1_500;
const WARM_UP_US: u64 = 20_000_000;
const US_PER_S: u64 = 1_000_000;
const BURST_INTERVAL_US: u64 = 30 * US_PER_S;
const BURST_DURATION_US: u64 = 5 * US_PER_S;
const VERSION: &str = "model-1";

#[derive(Clone, Debug)]
enum Event {
    Arrival,
    Step(usize),
    Report(usize),
    Tick(usize),
    InjectDisturbance,
    CreditRequest { from: usize, id: CreditRequestId, to: usize, request: CreditRequest },
    CreditReply { to: usize, id: CreditRequestId, reply: Option<CreditReply> },
    CreditRelease { to: usize, release: CreditRelease },
    CreditRenewal { to: usize, renew: CreditRenew },
    Digest { from: usize, to: usize, digest: DigestRequest },
    DigestAck { to: usize, from: usize, accepted: bool },
}

/// Time and id of a scheduled event; ids increase in the order of scheduling, so
/// that events at the same time keep that order.
type Scheduled = Reverse<(u64, u64)>;

/// State of one run.
pub(crate) struct Simulation {
    mix: Mix,
    policy: Policy,
    disturbance: Disturbance,
    rng: SmallRng,
    now_us: u64,
    end_us: u64,
    rate_per_s: f64,
    last_event_id: u64,
    queue: BinaryHeap<Scheduled>,
    pending_events: HashMap<u64, Event>,
    engines: Vec<Engine>,
    /// Whether a step event is pending, by engine.
    step_scheduled: Vec<bool>,
    last_reports: Vec<EngineLoad>,
    placers: Vec<Placer>,
    /// Engine that the round-robin baseline used last, by entry.
    last_engine: Vec<usize>,
    /// In-flight requests by entry and engine.
    in_flight: Vec<Vec<usize>>,
    requests: Vec<SampledRequest>,
    outcomes: Vec<RequestOutcome>,
    /// Entry that received the request, by request.
    entry_of: Vec<usize>,
    /// Engine on which the request was placed, by request; `None` before that.
    engine_of: Vec<Option<usize>>,
    /// Requests that wait at a placer, by entry and ticket.
    tickets: HashMap<(usize, TicketId), usize>,
    /// Placements of running requests by the placers, by request.
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
        let capacity_per_s = capacity_per_s(&mix) * ENGINE_COUNT as f64;
        let mut simulation = Simulation {
            policy,
            disturbance,
            rng: SmallRng::seed_from_u64(seed),
            now_us: 1,
            end_us: WARM_UP_US + seconds * US_PER_S,
            rate_per_s: capacity_per_s * load,
            last_event_id: 0,
            queue: BinaryHeap::new(),
            pending_events: HashMap::new(),
            engines: (0..ENGINE_COUNT).map(|_| Engine::default()).collect(),
            step_scheduled: vec![false; ENGINE_COUNT],
            last_reports: vec![EngineLoad::default(); ENGINE_COUNT],
            placers: Vec::new(),
            last_engine: (0..ENTRY_COUNT).collect(),
            in_flight: vec![vec![0; ENGINE_COUNT]; ENTRY_COUNT],
            requests: Vec::new(),
            outcomes: Vec::new(),
            entry_of: Vec::new(),
            engine_of: Vec::new(),
            tickets: HashMap::new(),
            placements: HashMap::new(),
            mix,
        };
        simulation.placers = (0..ENTRY_COUNT).map(|entry| simulation.new_placer(entry)).collect();
        simulation
    }

    fn new_placer(&self, entry: usize) -> Placer {
        let mechanisms = match self.policy {
            Policy::Placer(mechanisms) => mechanisms,
            Policy::RoundRobin | Policy::LeastInFlight | Policy::TwoChoices => Default::default(),
        };
        let mut placer = Placer::new(PlacerOptions {
            vm: vm_name(entry),
            data_centre: data_centre_name(entry),
            epoch: entry as u64 + 1,
            http_address: CompactString::default(),
            upstream_lease_ms: 2_000,
            credit_lease_ms: 3_000,
            max_waiting: 10_000,
            max_upstreams: 1_000,
            mechanisms,
        });
        let member = |entry: usize| EntryMember {
            vm: vm_name(entry).to_string(),
            epoch: entry as u64 + 1,
            data_centre: data_centre_name(entry).to_string(),
            ..EntryMember::default()
        };
        let members: Vec<EntryMember> = (0..ENTRY_COUNT).map(member).collect();
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
        for engine in 0..ENGINE_COUNT {
            let offset = self.rng.random_range(0..REPORT_INTERVAL_US);
            self.schedule(offset, Event::Report(engine));
        }
        for entry in 0..ENTRY_COUNT {
            self.schedule(
                TICK_INTERVAL_US * (entry as u64 + 1) / ENTRY_COUNT as u64,
                Event::Tick(entry),
            );
        }
        self.schedule(US_PER_S, Event::Arrival);
        let disturbance_at_us = WARM_UP_US + (self.end_us - WARM_UP_US) / 3;
        self.schedule(disturbance_at_us, Event::InjectDisturbance);
        while let Some(Reverse((at_us, id))) = self.queue.pop() {
            if at_us > self.end_us {
                break;
            }
            self.now_us = at_us;
            if let Some(event) = self.pending_events.remove(&id) {
                self.handle(event);
            }
        }
        self.score()
    }

    fn score(&self) -> Score {
        // Requests that arrive during the warm-up or in the last quarter of the
        // measured time are left out; the latter may not complete before its end.
        let last_arrival_us = self.end_us - (self.end_us - WARM_UP_US) / 4;
        let scored = self
            .outcomes
            .iter()
            .filter(|outcome| (WARM_UP_US..last_arrival_us).contains(&outcome.arrived_us));
        let scored: Vec<RequestOutcome> = scored.cloned().collect();
        let seconds = (last_arrival_us - WARM_UP_US) as f64 / US_PER_S as f64;
        Score::from_outcomes(&scored, &self.mix, seconds)
    }

    fn schedule(&mut self, delay_us: u64, event: Event) {
        self.last_event_id += 1;
        self.pending_events.insert(self.last_event_id, event);
        self.queue.push(Reverse((self.now_us + delay_us, self.last_event_id)));
    }

    fn now_ms(&self) -> u64 {
        self.now_us / 1_000
    }

    fn handle(&mut self, event: Event) {
        let now_ms = self.now_ms();
        match event {
            Event::Arrival => self.handle_arrival(),
            Event::Step(engine) => self.step_engine(engine),
            Event::Report(engine) => self.report_load(engine),
            Event::InjectDisturbance => self.inject_disturbance(),
            Event::Tick(entry) => {
                self.placers[entry].tick(now_ms);
                self.apply_effects(entry);
                self.schedule(TICK_INTERVAL_US, Event::Tick(entry));
            }
            Event::CreditRequest { from, id, to, request } => {
                let reply =
                    self.placers[to].handle_credit_request(&vm_name(from), &request, now_ms);
                self.apply_effects(to);
                self.schedule(NETWORK_DELAY_US, Event::CreditReply { to: from, id, reply });
            }
            Event::CreditReply { to, id, reply } => {
                self.placers[to].handle_credit_reply(id, reply, now_ms);
                self.apply_effects(to);
            }
            Event::CreditRelease { to, release } => {
                self.placers[to].handle_release(&release, now_ms);
                self.apply_effects(to);
            }
            Event::CreditRenewal { to, renew } => {
                self.placers[to].handle_renewal(&renew, now_ms);
                self.apply_effects(to);
            }
            Event::Digest { from, to, digest } => {
                let accepted = self.placers[to].apply_digest(digest, now_ms);
                self.apply_effects(to);
                self.schedule(NETWORK_DELAY_US, Event::DigestAck { to: from, from: to, accepted });
            }
            Event::DigestAck { to, from, accepted } => {
                self.placers[to].handle_digest_ack(&vm_name(from), accepted);
            }
        }
    }

    fn handle_arrival(&mut self) {
        let gap_s = -self.rng.random_range(f64::EPSILON..1.0).ln() / self.current_rate();
        self.schedule((gap_s * US_PER_S as f64) as u64 + 1, Event::Arrival);
        let sampled = self.mix.sample(&mut self.rng);
        let entry = self.rng.random_range(0..ENTRY_COUNT);
        let request = self.requests.len();
        self.outcomes.push(RequestOutcome {
            kind: sampled.kind,
            workspace: sampled.workspace,
            arrived_us: self.now_us,
            full_output_tokens: sampled.output_tokens,
            last_token_us: self.now_us,
            delivered_tokens: 0,
            time_to_first_token_us: None,
            gaps_us: Vec::new(),
            preemptions: 0,
            refused: false,
            completed: false,
        });
        self.requests.push(sampled);
        self.entry_of.push(entry);
        self.engine_of.push(None);
        match self.policy {
            Policy::Placer(_) => self.enqueue_at_placer(request, entry),
            Policy::RoundRobin | Policy::LeastInFlight | Policy::TwoChoices => {
                let engine = self.choose_baseline_engine(entry);
                self.start_on_engine(request, engine);
            }
        }
    }

    fn current_rate(&self) -> f64 {
        let in_burst = self.now_us % BURST_INTERVAL_US < BURST_DURATION_US;
        match self.disturbance {
            Disturbance::Bursts if in_burst => 2.0 * self.rate_per_s,
            _ => self.rate_per_s,
        }
    }

    fn start_on_engine(&mut self, request: usize, engine: usize) {
        let sampled = &self.requests[request];
        let rank = self.mix.priority(sampled.kind).rank;
        let SampledRequest { prefix, prompt_tokens, output_tokens, .. } = *sampled;
        self.engine_of[request] = Some(engine);
        self.in_flight[self.entry_of[request]][engine] += 1;
        if self.engines[engine].failed {
            self.end_request(request, false);
            return;
        }
        if !self.engines[engine].start(request, rank, prefix, prompt_tokens, output_tokens) {
            self.outcomes[request].refused = true;
            self.end_request(request, false);
            return;
        }
        if !self.step_scheduled[engine] {
            self.step_scheduled[engine] = true;
            self.schedule(0, Event::Step(engine));
        }
    }

    fn step_engine(&mut self, engine: usize) {
        if self.engines[engine].failed || self.engines[engine].is_idle() {
            self.step_scheduled[engine] = false;
            return;
        }
        let (duration_us, events) = self.engines[engine].step();
        // The tokens of a step are delivered at its end.
        let step_end_us = self.now_us + duration_us;
        for event in events {
            match event {
                StepEvent::Token(request) => self.record_token(request, step_end_us),
                StepEvent::Completed(request) => self.end_request(request, true),
                StepEvent::Preempted(request) => self.outcomes[request].preemptions += 1,
            }
        }
        self.schedule(duration_us, Event::Step(engine));
    }

    fn record_token(&mut self, request: usize, at_us: u64) {
        let outcome = &mut self.outcomes[request];
        let gap_us = at_us - outcome.last_token_us;
        outcome.last_token_us = at_us;
        outcome.delivered_tokens += 1;
        if outcome.time_to_first_token_us.is_none() {
            outcome.time_to_first_token_us = Some(gap_us);
        } else {
            outcome.gaps_us.push(u32::try_from(gap_us).unwrap_or(u32::MAX));
        }
        let delivered_tokens = outcome.delivered_tokens;
        if let Some(placement) = self.placements.get(&request) {
            let entry = self.entry_of[request];
            self.placers[entry].record_progress(
                &placement.upstream,
                placement.credit,
                delivered_tokens,
            );
        }
    }

    fn end_request(&mut self, request: usize, completed: bool) {
        self.outcomes[request].completed = completed;
        let entry = self.entry_of[request];
        if let Some(engine) = self.engine_of[request] {
            self.in_flight[entry][engine] -= 1;
        }
        let Some(placement) = self.placements.remove(&request) else { return };
        let sampled = &self.requests[request];
        let release = Release {
            placement,
            service: service_name(sampled.kind).into(),
            workspace: workspace_name(sampled.workspace),
            share: self.mix.shares[sampled.workspace],
            prompt_tokens: sampled.prompt_tokens,
            output_tokens: self.outcomes[request].delivered_tokens,
            output_complete: completed,
        };
        let now_ms = self.now_ms();
        self.placers[entry].release(release, now_ms);
        self.apply_effects(entry);
    }

    fn report_load(&mut self, engine: usize) {
        if self.engines[engine].failed {
            return;
        }
        let load = self.engines[engine].load();
        self.last_reports[engine] = load;
        let announce = AnnounceRequest {
            upstream: engine_name(engine).to_string(),
            kind: UpstreamKind::Engine.into(),
            address: engine_name(engine).to_string(),
            data_centre: data_centre_name(engine).to_string(),
            epoch: 1,
            serves: vec![VERSION.to_string()],
            load: Some(load),
            leaving: false,
        };
        let owner = self.placers[0].owner_of(&announce.upstream).map(|o| entry_index(&o.vm));
        if let Some(owner) = owner {
            let now_ms = self.now_ms();
            // Cannot fail: the limit on upstreams is far above the number of engines.
            let _ = self.placers[owner].announce(announce, now_ms);
            self.apply_effects(owner);
        }
        self.schedule(REPORT_INTERVAL_US, Event::Report(engine));
    }

    fn inject_disturbance(&mut self) {
        match self.disturbance {
            Disturbance::None | Disturbance::Bursts => {}
            Disturbance::EngineSlow => self.engines[0].slowdown = 3,
            Disturbance::EngineLost => {
                for request in self.engines[0].fail() {
                    self.end_request(request, false);
                }
            }
        }
    }
}
