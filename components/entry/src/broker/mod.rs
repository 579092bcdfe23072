//! Actor around the [`Placer`]: feeds it requests and replies, and performs the
//! effects that it returns.

mod effects;
mod messages;
mod peers;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use actix::{Actor, ActorContext as _, AsyncContext as _, Context, Handler, Message};
use clock::Clock;
use compact_str::CompactString;
use placement::{Mechanisms, Placement, Placer, PlacerOptions, TicketId};
use settings::EntryConfig;
use telemetry::Spans;
use tokio::sync::oneshot;
use verdict::Failure;

use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::stop::Stop;
use crate::view::{Mode, View};

pub(crate) use messages::{
    AnnounceUpstream, ChoosePlainUpstream, EndPlainCall, LocateUpstream, ReleasePlacement,
    ReportProgress, RequestPlacement, SpendRetryBudget,
};
pub(crate) use peers::PeerRequest;

const MAILBOX_CAPACITY: usize = 65_536;
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Request that waits in the queue for its placement.
struct QueuedRequest {
    service: CompactString,
    traceparent: String,
    result: oneshot::Sender<Result<Placement, Failure>>,
}

/// Actor that places requests on upstreams.
pub(crate) struct Broker {
    clock: Clock,
    peers: Peers,
    metrics: Metrics,
    spans: Spans,
    mode: Mode,
    placer: Placer,
    queued: HashMap<TicketId, QueuedRequest>,
}

impl Broker {
    pub(crate) fn new(
        config: &EntryConfig,
        clock: Clock,
        epoch: u64,
        peers: Peers,
        metrics: Metrics,
        spans: Spans,
    ) -> Self {
        let options = PlacerOptions {
            vm: config.vm.as_str().into(),
            data_centre: config.data_centre.as_str().into(),
            epoch,
            http_address: config.advertised_http_address.to_string().into(),
            upstream_lease_ms: config.timers.upstream_lease_ms,
            credit_lease_ms: config.timers.credit_lease_ms,
            max_waiting: config.limits.max_waiting as usize,
            max_upstreams: config.limits.max_upstreams as usize,
            mechanisms: Mechanisms::default(),
        };
        let placer = Placer::new(options);
        let mode = Mode::Starting;
        Broker { clock, peers, metrics, spans, mode, placer, queued: HashMap::new() }
    }

    fn tick(&mut self, context: &mut Context<Self>) {
        self.cancel_abandoned();
        self.placer.tick(self.clock.now_ms());
        self.apply_effects(context);
        self.publish_metrics();
    }

    /// Removes queued requests whose result is no longer awaited.
    fn cancel_abandoned(&mut self) {
        let placer = &mut self.placer;
        self.queued.retain(|ticket, queued| {
            let abandoned = queued.result.is_closed();
            if abandoned {
                placer.cancel(&queued.service, *ticket);
            }
            !abandoned
        });
    }

    fn publish_metrics(&self) {
        let to_i64 = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
        self.metrics.owned_upstreams.set(to_i64(self.placer.owned_count()));
        self.metrics.known_upstreams.set(to_i64(self.placer.known_count()));
        for (service, count) in self.placer.waiting() {
            self.metrics.waiting.with_label_values(&[service]).set(to_i64(count));
        }
    }
}

impl Actor for Broker {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Context<Self>) {
        context.set_mailbox_capacity(MAILBOX_CAPACITY);
        context.run_interval(TICK_INTERVAL, Broker::tick);
    }
}

/// Notifies the broker of a new view.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct ViewChanged(pub(crate) Arc<View>);

impl Handler<ViewChanged> for Broker {
    type Result = ();

    fn handle(&mut self, ViewChanged(view): ViewChanged, context: &mut Context<Self>) {
        self.mode = view.mode;
        let view = placement::DeploymentView {
            members: view.members.clone(),
            members_version: view.members_version,
            priorities: view.catalog.set().priorities.clone(),
            weights: view.catalog.weights(),
            accepts_requests: view.mode.accepts_new_requests(),
        };
        self.placer.set_view(view, self.clock.now_ms());
        self.apply_effects(context);
    }
}

impl Handler<Stop> for Broker {
    type Result = ();

    fn handle(&mut self, _: Stop, context: &mut Context<Self>) {
        context.stop();
    }
}
