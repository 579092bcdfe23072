//! State of one gateway, shared by all its tasks on one thread.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;

use balance::{Health, Loads, RetryBudget, RetryLimits, kept_connections};
use clock::Clock;
use compact_str::CompactString;
use registry::{Change, Fleet};
use routing::RouteTable;
use schema::EntryPhase;
use settings::GatewayConfig;
use telemetry::Spans;
use tokio::sync::watch;
use tokio::time::Instant;
use wire::Link;

use crate::dialect::Dialect;
use crate::exchange::Target;
use crate::metrics::Metrics;
use crate::place::most_places;
use crate::pool::{Connection, Pool};

/// Time for which a silent arbiter is not asked.
const ARBITER_PAUSE: Duration = Duration::from_secs(1);

/// State of one gateway.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) config: GatewayConfig,
    pub(crate) clock: Clock,
    /// Random number of this start.
    pub(crate) epoch: u64,
    pub(crate) dialect: Box<dyn Dialect>,
    pub(crate) metrics: Metrics,
    pub(crate) spans: Spans,
    pub(crate) table: RefCell<Rc<RouteTable>>,
    pub(crate) fleet: RefCell<Fleet>,
    pub(crate) loads: RefCell<Loads>,
    pub(crate) health: RefCell<Health>,
    pub(crate) pool: Pool,
    /// Gateways that share the retry allowance.
    pub(crate) entries: Cell<u32>,
    pub(crate) phase: watch::Sender<EntryPhase>,
    /// Counts changes that end an upstream.
    pub(crate) endings: watch::Sender<u64>,
    /// When the stop signal came.
    pub(crate) stopping_since: Cell<Option<Instant>>,
    /// Control process that grants places.
    pub(crate) arbiter: RefCell<Option<Link>>,
    arbiter_suspended_until: Cell<Option<Instant>>,
    numbers: RefCell<Numbers>,
    budgets: RefCell<HashMap<CompactString, RetryBudget>>,
    in_flight: Cell<u32>,
    buffered_bytes: Cell<u64>,
}

impl Shared {
    pub(crate) fn new(
        config: GatewayConfig,
        dialect: Box<dyn Dialect>,
        metrics: Metrics,
        spans: Spans,
    ) -> Self {
        Shared {
            clock: Clock::start(),
            epoch: rand::random_range(1..=u64::MAX >> 11),
            dialect,
            metrics,
            spans,
            table: RefCell::default(),
            fleet: RefCell::default(),
            loads: RefCell::default(),
            health: RefCell::default(),
            pool: Pool::default(),
            entries: Cell::new(1),
            phase: watch::Sender::new(EntryPhase::Starting),
            endings: watch::Sender::new(0),
            stopping_since: Cell::new(None),
            arbiter: RefCell::default(),
            arbiter_suspended_until: Cell::new(None),
            numbers: RefCell::default(),
            budgets: RefCell::default(),
            in_flight: Cell::new(0),
            buffered_bytes: Cell::new(0),
            config,
        }
    }

    pub(crate) fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    pub(crate) fn table(&self) -> Rc<RouteTable> {
        self.table.borrow().clone()
    }

    /// Reacts to upstreams that joined or end.
    pub(crate) fn apply_changes(&self, changes: &[Change]) {
        let mut ending = false;
        for change in changes {
            match change {
                Change::Joined(id) => {
                    log::info!(upstream = id.as_str(); "upstream joined");
                    self.health.borrow_mut().reset(id);
                    self.pool.forget(id);
                }
                Change::Draining(id) => {
                    log::info!(upstream = id.as_str(); "upstream draining");
                    ending = true;
                }
                Change::Gone(id) => {
                    log::info!(upstream = id.as_str(); "upstream gone");
                    self.pool.forget(id);
                    ending = true;
                }
            }
        }
        if !changes.is_empty() {
            let serving = self.fleet.borrow().iter().filter(|member| member.takes_work()).count();
            self.metrics.upstreams.set(i64::try_from(serving).unwrap_or(i64::MAX));
        }
        if ending {
            self.endings.send_modify(|count| *count += 1);
        }
    }

    /// Keeps a connection whose answer was read to its end, as far as the
    /// published bound of its upstream leaves room.
    pub(crate) fn keep_connection(&self, target: &Target, connection: Connection) {
        let table = self.table();
        let service = table.service(&target.service);
        let accepted = service.map_or(0, |service| service.max_connections);
        let engine = service.is_some_and(|service| service.engine.is_some());
        let slots = self.fleet.borrow().get(&target.id).map_or(0, |member| member.record.slots);
        let most = kept_connections(accepted, most_places(slots, engine), self.entries.get());
        self.pool.keep(&target.id, connection, most);
    }

    /// Takes the right to send a request to `service` once more.
    pub(crate) fn take_retry(&self, service: &str) -> bool {
        let now_ms = self.now_ms();
        self.with_budget(service, |budget| budget.take(self.entries.get(), now_ms))
    }

    pub(crate) fn count_first(&self, service: &str) {
        let now_ms = self.now_ms();
        self.with_budget(service, |budget| budget.count_first(now_ms));
    }

    /// Returns the requests for `service` per millisecond at all gateways, as
    /// far as this one can tell.
    pub(crate) fn rate_per_ms(&self, service: &str) -> f64 {
        let now_ms = self.now_ms();
        let own = self.with_budget(service, |budget| budget.rate_per_ms(now_ms));
        own * f64::from(self.entries.get())
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

    /// Returns the control process that grants places, if it is to be asked.
    pub(crate) fn arbiter(&self) -> Option<Link> {
        let suspended = self.arbiter_suspended_until.get().is_some_and(|at| Instant::now() < at);
        self.arbiter.borrow().clone().filter(|_| !suspended)
    }

    /// Stops asking the arbiter for a while.
    pub(crate) fn suspend_arbiter(&self) {
        self.arbiter_suspended_until.set(Some(Instant::now() + ARBITER_PAUSE));
    }

    /// Opens the number of a request for a place.
    pub(crate) fn open_number(self: &Rc<Self>) -> OpenNumber {
        let mut numbers = self.numbers.borrow_mut();
        numbers.last += 1;
        let number = numbers.last;
        numbers.open.insert(number);
        OpenNumber { shared: self.clone(), number }
    }

    /// Returns the number up to which all places count as use or were given up.
    pub(crate) fn placed_through(&self) -> u64 {
        let numbers = self.numbers.borrow();
        numbers.open.first().map_or(numbers.last, |first| first - 1)
    }

    /// Reserves memory for the body of a request; `None` if the bound on all of
    /// them is reached.
    pub(crate) fn buffer(self: &Rc<Self>, bytes: u64) -> Option<Buffered> {
        let total = self.buffered_bytes.get() + bytes;
        if total > self.config.limits.max_buffered_bytes {
            return None;
        }
        self.buffered_bytes.set(total);
        Some(Buffered { shared: self.clone(), bytes })
    }

    /// Counts a request as in progress until the guard is dropped.
    pub(crate) fn enter(self: &Rc<Self>) -> InFlight {
        self.in_flight.set(self.in_flight.get() + 1);
        self.metrics.in_flight.set(i64::from(self.in_flight.get()));
        InFlight(self.clone())
    }

    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight.get()
    }
}

/// Numbers of requests for places.
#[derive(Debug, Default)]
struct Numbers {
    last: u64,
    open: BTreeSet<u64>,
}

/// Number of a request for a place that is not decided yet.
#[derive(Debug)]
pub(crate) struct OpenNumber {
    shared: Rc<Shared>,
    number: u64,
}

impl OpenNumber {
    pub(crate) fn number(&self) -> u64 {
        self.number
    }
}

impl Drop for OpenNumber {
    fn drop(&mut self) {
        self.shared.numbers.borrow_mut().open.remove(&self.number);
    }
}

/// Memory reserved for the body of a request.
#[derive(Debug)]
pub(crate) struct Buffered {
    shared: Rc<Shared>,
    bytes: u64,
}

impl Drop for Buffered {
    fn drop(&mut self) {
        self.shared.buffered_bytes.set(self.shared.buffered_bytes.get() - self.bytes);
    }
}

/// Request in progress.
#[derive(Debug)]
pub(crate) struct InFlight(Rc<Shared>);

impl Drop for InFlight {
    fn drop(&mut self) {
        let count = self.0.in_flight.get() - 1;
        self.0.in_flight.set(count);
        self.0.metrics.in_flight.set(i64::from(count));
    }
}
