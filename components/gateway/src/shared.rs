//! State of a gateway, shared by all its tasks on one thread.
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use balance::{
    EngineLoadRefresh, Loads, Pauses, PrefillRate, RetryBudget, RetryLimits, max_idle_connections,
};
use clock::Clock;
use compact_str::CompactString;
use lineage::OriginLog;
use registry::{MergedRegistry, UpstreamChange};
use routing::RouteTable;
use schema::EntryPhase;
use settings::GatewayConfig;
use telemetry::Spans;
use tokio::sync::watch;
use tokio::time::Instant;
use wire::Link;

use crate::capacity::max_in_flight;
use crate::dialect::Dialect;
use crate::dialer::Dialer;
use crate::guards::{InFlightGuard, OpenConnectionGuard};
use crate::held::HeldMemory;
use crate::histories::RouteHistories;
use crate::metrics::Metrics;
use crate::moves::Cancellations;
use crate::peer::Peers;
use crate::pool::{Connection, Pool};
use crate::state::{
    AppliedRegistries, BufferBudget, BusyShare, Departures, Evacuations, GatewayCounts,
    KnownCopies, KnownLimits, LeavingUpstreams, Quarantine, Reachability, RegistryPosition,
    RouteOffers, SpeedLog, UpstreamHealth,
};
use crate::target::Target;

/// Part of the grace period that is reserved for answering and closing connections, before
/// the process is killed.
const KILL_MARGIN: Duration = Duration::from_millis(300);
/// Time for which the arbiter is not used after a failed request to it.
const ARBITER_BACKOFF: Duration = Duration::from_secs(1);

/// State of a gateway.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) config: GatewayConfig,
    pub(crate) clock: Clock,
    /// Random number that identifies this incarnation of the gateway.
    pub(crate) epoch: u64,
    pub(crate) dialect: Box<dyn Dialect>,
    pub(crate) dialer: Box<dyn Dialer>,
    pub(crate) metrics: Metrics,
    pub(crate) spans: Spans,
    pub(crate) table: RefCell<Rc<RouteTable>>,
    /// Numbers of the sets of routes that the control processes have in force.
    pub(crate) route_offers: watch::Sender<RouteOffers>,
    pub(crate) registry: RefCell<MergedRegistry>,
    pub(crate) applied_registries: RefCell<AppliedRegistries>,
    pub(crate) loads: RefCell<Loads>,
    pub(crate) engine_load_refresh: Cell<EngineLoadRefresh>,
    pub(crate) health: RefCell<UpstreamHealth>,
    pub(crate) prefill_rate: Cell<PrefillRate>,
    pub(crate) speed_log: RefCell<SpeedLog>,
    pub(crate) pool: Pool,
    /// Number of gateways, which share the retry allowance and the connections
    /// that upstreams accept.
    pub(crate) gateway_counts: RefCell<GatewayCounts>,
    pub(crate) phase: watch::Sender<EntryPhase>,
    /// When the gateway became ready.
    pub(crate) ready_ms: Cell<Option<u64>>,
    /// Incremented when upstreams start to drain or are gone.
    pub(crate) departures: watch::Sender<u64>,
    pub(crate) departed: RefCell<Departures>,
    pub(crate) evacuations: RefCell<Evacuations>,
    /// When the stop signal arrived.
    pub(crate) stopping_since: Cell<Option<Instant>>,
    /// True once the grace period is over.
    pub(crate) ending: watch::Sender<bool>,
    /// Control process that grants slots at engines.
    pub(crate) arbiter: RefCell<Option<Link>>,
    arbiter_suspended_until: Cell<Option<Instant>>,
    /// Control processes that this gateway is connected to.
    pub(crate) control_links: RefCell<BTreeMap<SocketAddr, Link>>,
    /// Number of control processes that this gateway knows of.
    pub(crate) control_count: Cell<usize>,
    /// Streams that began at this gateway.
    pub(crate) origins: RefCell<OriginLog>,
    pub(crate) leaving: RefCell<LeavingUpstreams>,
    pub(crate) copies: RefCell<KnownCopies>,
    pub(crate) cancellations: Cancellations,
    /// Upstreams that want no requests of this gateway for a time.
    pub(crate) pauses: RefCell<Pauses>,
    placements: RefCell<PlacementNumbers>,
    budgets: RefCell<HashMap<CompactString, RetryBudget>>,
    pub(crate) route_histories: RefCell<RouteHistories>,
    pub(crate) limits: RefCell<KnownLimits>,
    /// Incremented when the arbiter has to know something at once.
    pub(crate) urgent_syncs: watch::Sender<u64>,
    pub(crate) quarantine: RefCell<Quarantine>,
    /// Incremented when the quarantine changes.
    pub(crate) quarantine_changes: watch::Sender<u64>,
    /// Evidence of whether this gateway reaches upstreams.
    pub(crate) reach: RefCell<Reachability>,
    /// Whether upstreams are out of reach.
    pub(crate) cut_off: watch::Sender<bool>,
    pub(crate) peers: Peers,
    /// Calls of other gateways in progress.
    pub(crate) peer_calls: Cell<u32>,
    pub(crate) in_flight: Cell<u32>,
    /// Connections of callers on which a request has arrived.
    pub(crate) open_connections: Cell<u32>,
    /// Memory for whole bodies and answers.
    pub(crate) buffers: Rc<BufferBudget>,
    /// What is held of streams for their callers.
    pub(crate) held: HeldMemory,
    pub(crate) busy_share: Cell<BusyShare>,
}

impl Shared {
    pub(crate) fn new(
        config: GatewayConfig,
        (dialect, dialer): (Box<dyn Dialect>, Box<dyn Dialer>),
        metrics: Metrics,
        spans: Spans,
        peers: Peers,
    ) -> Self {
        Shared {
            clock: Clock::start(),
            epoch: rand::random_range(1..=u64::MAX >> 11),
            dialect,
            dialer,
            spans,
            table: RefCell::default(),
            route_offers: watch::Sender::default(),
            registry: RefCell::default(),
            applied_registries: RefCell::default(),
            loads: RefCell::default(),
            engine_load_refresh: Cell::default(),
            health: RefCell::default(),
            prefill_rate: Cell::default(),
            speed_log: RefCell::default(),
            pool: Pool::default(),
            gateway_counts: RefCell::default(),
            phase: watch::Sender::new(EntryPhase::Starting),
            ready_ms: Cell::new(None),
            departures: watch::Sender::new(0),
            departed: RefCell::default(),
            evacuations: RefCell::default(),
            stopping_since: Cell::new(None),
            ending: watch::Sender::new(false),
            arbiter: RefCell::default(),
            arbiter_suspended_until: Cell::new(None),
            control_links: RefCell::default(),
            control_count: Cell::new(0),
            origins: RefCell::default(),
            leaving: RefCell::default(),
            copies: RefCell::default(),
            cancellations: Cancellations::default(),
            pauses: RefCell::default(),
            placements: RefCell::default(),
            budgets: RefCell::default(),
            route_histories: RefCell::default(),
            limits: RefCell::default(),
            urgent_syncs: watch::Sender::new(0),
            quarantine: RefCell::default(),
            quarantine_changes: watch::Sender::new(0),
            reach: RefCell::default(),
            cut_off: watch::Sender::new(false),
            peers,
            peer_calls: Cell::new(0),
            in_flight: Cell::new(0),
            open_connections: Cell::new(0),
            held: HeldMemory::new(&config.limits, &metrics),
            busy_share: Cell::default(),
            metrics,
            buffers: BufferBudget::new(config.limits.max_buffered_bytes),
            config,
        }
    }

    pub(crate) fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// Returns the number of gateways, which share what upstreams accept.
    pub(crate) fn gateway_count(&self) -> u32 {
        self.gateway_counts.borrow().get()
    }

    /// Returns whether this gateway has applied these versions of registries.
    pub(crate) fn has_applied(&self, positions: &[(SocketAddr, RegistryPosition)]) -> bool {
        let applied = self.applied_registries.borrow();
        positions.iter().all(|(source, position)| applied.includes(*source, *position))
    }

    /// Returns whether upstreams are out of reach.
    pub(crate) fn is_cut_off(&self) -> bool {
        self.reach.borrow().is_cut_off()
    }

    pub(crate) fn table(&self) -> Rc<RouteTable> {
        self.table.borrow().clone()
    }

    /// Reacts to upstreams that joined, started to drain or are gone.
    pub(crate) fn apply_changes(&self, changes: &[UpstreamChange]) {
        let mut departures = self.departed.borrow_mut();
        let mut departed = false;
        for change in changes {
            match change {
                UpstreamChange::Joined(id) => {
                    log::info!(upstream = id.as_str(); "upstream joined");
                    departures.forget(id);
                    crate::health::restart(self, id);
                    self.pool.close_all(id);
                }
                UpstreamChange::Draining(id) => {
                    log::info!(upstream = id.as_str(); "upstream draining");
                    departures.record(id);
                    departed = true;
                }
                UpstreamChange::Gone(id) => {
                    log::info!(upstream = id.as_str(); "upstream gone");
                    self.pool.close_all(id);
                    departures.record(id);
                    departed = true;
                }
            }
        }
        if !changes.is_empty() {
            let serving = self
                .registry
                .borrow()
                .iter()
                .filter(|upstream| upstream.accepts_requests())
                .count();
            self.metrics.upstreams.set(i64::try_from(serving).unwrap_or(i64::MAX));
        }
        drop(departures);
        if departed {
            self.departures.send_modify(|count| *count += 1);
        }
    }

    /// Returns a connection to the pool after its response was read completely,
    /// unless that would exceed this gateway's share of the connections that
    /// the upstream accepts.
    pub(crate) fn return_connection(&self, target: &Target, connection: Connection) {
        let table = self.table();
        let service = table.service(&target.origin.service);
        let accepted = service.map_or(0, |service| service.max_connections);
        let engine = service.is_some_and(|service| service.engine.is_some());
        let slots =
            self.registry.borrow().get(&target.id).map_or(0, |upstream| upstream.record.slots);
        let in_flight = max_in_flight(slots, engine);
        let max_idle = max_idle_connections(accepted, in_flight, self.gateway_count());
        self.pool.put(&target.id, connection, max_idle);
    }

    /// Takes one retry from the retry budget of `service`; false if it is used up.
    pub(crate) fn try_retry(&self, service: &str) -> bool {
        let now_ms = self.now_ms();
        self.with_budget(service, |budget| budget.try_retry(self.gateway_count(), now_ms))
    }

    /// Counts a first attempt, which adds to the retry budget of `service`.
    pub(crate) fn record_first_attempt(&self, service: &str) {
        let now_ms = self.now_ms();
        self.with_budget(service, |budget| budget.record_first_attempt(now_ms));
    }

    /// Estimates the requests for `service` per millisecond at all gateways,
    /// from this gateway's own rate.
    pub(crate) fn arrival_rate_per_ms(&self, service: &str) -> f64 {
        let now_ms = self.now_ms();
        let own = self.with_budget(service, |budget| budget.first_attempts_per_ms(now_ms));
        own * f64::from(self.gateway_count())
    }

    fn with_budget<T>(&self, service: &str, act: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let limits = &self.config.limits;
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(service.into()).or_insert_with(|| {
            RetryBudget::new(RetryLimits {
                ratio: limits.retry_ratio,
                allowance: limits.retry_allowance,
                window_ms: (limits.retry_window_s * 1_000.0) as u64,
            })
        });
        act(budget)
    }

    /// Sends the next sync to the arbiter at once.
    pub(crate) fn request_urgent_sync(&self) {
        self.urgent_syncs.send_modify(|count| *count += 1);
    }

    /// Returns the address of the arbiter, which also aggregates upstream load: the lowest one
    /// that this gateway is connected to.
    pub(crate) fn arbiter_address(&self) -> Option<SocketAddr> {
        self.control_links.borrow().first_key_value().map(|(address, _)| *address)
    }

    /// Returns the control process that grants slots, unless it is suspended.
    pub(crate) fn arbiter(&self) -> Option<Link> {
        let suspended = self.arbiter_suspended_until.get().is_some_and(|at| Instant::now() < at);
        self.arbiter.borrow().clone().filter(|_| !suspended)
    }

    /// Suspends requests to the arbiter for [`ARBITER_BACKOFF`].
    pub(crate) fn suspend_arbiter(&self) {
        self.arbiter_suspended_until.set(Some(Instant::now() + ARBITER_BACKOFF));
    }

    /// Assigns a number to a new placement request, which is sent to the arbiter.
    pub(crate) fn start_placement(self: &Rc<Self>) -> PendingPlacement {
        let mut placements = self.placements.borrow_mut();
        placements.last += 1;
        let number = placements.last;
        placements.pending.insert(number);
        PendingPlacement { shared: self.clone(), number }
    }

    /// Returns the number up to which each placement request is part of the
    /// reported load or no longer holds a slot.
    pub(crate) fn placed_through(&self) -> u64 {
        let placements = self.placements.borrow();
        placements.pending.first().map_or(placements.last, |first| first - 1)
    }

    /// Counts a request as in flight until the guard is dropped.
    pub(crate) fn track_in_flight(self: &Rc<Self>) -> InFlightGuard {
        self.in_flight.set(self.in_flight.get() + 1);
        self.metrics.in_flight.set(i64::from(self.in_flight.get()));
        InFlightGuard(self.clone())
    }

    /// Counts a connection of a caller as open until the guard is dropped.
    pub(crate) fn track_connection(self: &Rc<Self>) -> OpenConnectionGuard {
        self.open_connections.set(self.open_connections.get() + 1);
        OpenConnectionGuard(self.clone())
    }

    /// Returns how many connections of callers are open on which a request has arrived.
    pub(crate) fn open_connections(&self) -> u32 {
        self.open_connections.get()
    }

    /// Returns when requests in flight are cut off, once the gateway is stopping.
    pub(crate) fn grace_end(&self) -> Option<Instant> {
        let grace = Duration::from_secs_f64(self.config.timers.grace_period_s);
        self.stopping_since.get().map(|since| since + grace.saturating_sub(KILL_MARGIN))
    }

    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight.get()
    }
}

/// Numbers of the placement requests to the arbiter.
#[derive(Debug, Default)]
struct PlacementNumbers {
    last: u64,
    pending: BTreeSet<u64>,
}

/// Placement request whose slot is not yet part of the reported load; no longer
/// pending once dropped.
#[derive(Debug)]
pub(crate) struct PendingPlacement {
    shared: Rc<Shared>,
    number: u64,
}

impl PendingPlacement {
    pub(crate) fn number(&self) -> u64 {
        self.number
    }
}

impl Drop for PendingPlacement {
    fn drop(&mut self) {
        self.shared.placements.borrow_mut().pending.remove(&self.number);
    }
}
