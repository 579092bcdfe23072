//! Actor that places requests on upstreams.
//!
//! It owns the ledgers of the upstreams that this entry owns, the directory
//! of all that it knows of, and the queues of requests that wait.

mod acquire;
mod announce;
mod credits;
mod digest;
mod plain;
mod service;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use actix::{
    Actor, ActorContext as _, AsyncContext as _, Context, Handler, Message, ResponseFuture,
};
use admission::{Estimator, Reservation};
use clock::Clock;
use compact_str::CompactString;
use credentials::Identity;
use rand::SeedableRng as _;
use rand::rngs::SmallRng;
use routing::{Directory, PrefixHints};
use schema::{EntryMember, ErrorCode, Reply, request};
use settings::EntryConfig;
use telemetry::Spans;
use wire::refuse;

use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::shared::Stop;
use crate::view::View;

pub(crate) use acquire::{Acquire, Placement};
pub(crate) use announce::Announce;
pub(crate) use credits::{Progress, Release};
pub(crate) use plain::{EndPlain, Locate, PickPlain, SpendRetry};

use announce::Owned;
use credits::Held;
use digest::Watcher;
use service::ServiceQueue;

const MAILBOX_CAPACITY: usize = 65_536;
const TICK: Duration = Duration::from_millis(50);
const MAX_PREFIX_HINTS: usize = 50_000;
const PREFIX_HINT_LIFE_MS: u64 = 60_000;

/// Actor that places requests on upstreams.
pub(crate) struct Broker {
    config: Arc<EntryConfig>,
    clock: Clock,
    epoch: u64,
    peers: Peers,
    metrics: Metrics,
    spans: Spans,
    view: Arc<View>,
    reservations: Vec<Reservation>,
    directory: Directory,
    hints: PrefixHints,
    owned: HashMap<CompactString, Owned>,
    estimator: Estimator,
    queues: HashMap<CompactString, ServiceQueue>,
    /// Credits that this entry holds, by upstream and credit.
    held: HashMap<(CompactString, u64), Held>,
    streams_of: HashMap<CompactString, u32>,
    watchers: HashMap<CompactString, Watcher>,
    next_ticket: u64,
    next_renewal_ms: u64,
    next_digest_ms: u64,
    rng: SmallRng,
}

impl Broker {
    pub(crate) fn new(
        config: Arc<EntryConfig>,
        clock: Clock,
        epoch: u64,
        peers: Peers,
        metrics: Metrics,
        spans: Spans,
    ) -> Self {
        Broker {
            config,
            clock,
            epoch,
            peers,
            metrics,
            spans,
            view: Arc::default(),
            reservations: Vec::new(),
            directory: Directory::default(),
            hints: PrefixHints::new(MAX_PREFIX_HINTS, PREFIX_HINT_LIFE_MS),
            owned: HashMap::new(),
            estimator: Estimator::default(),
            queues: HashMap::new(),
            held: HashMap::new(),
            streams_of: HashMap::new(),
            watchers: HashMap::new(),
            next_ticket: 1,
            next_renewal_ms: 0,
            next_digest_ms: 0,
            rng: SmallRng::seed_from_u64(epoch),
        }
    }

    fn vm(&self) -> &str {
        self.config.vm.as_str()
    }

    fn member(&self, vm: &str) -> Option<&EntryMember> {
        self.view.members.iter().find(|member| member.vm == vm)
    }

    fn tick(&mut self, context: &mut Context<Self>) {
        let now_ms = self.clock.now_ms();
        self.expire_upstreams(now_ms);
        self.directory.expire(now_ms);
        self.renew_credits(context, now_ms);
        self.send_digests(context, now_ms);
        self.refuse_late(now_ms);
        self.pump_all(context);
        let number = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
        self.metrics.owned_upstreams.set(number(self.owned.len()));
        self.metrics.known_upstreams.set(number(self.directory.iter().count()));
    }
}

impl Actor for Broker {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Context<Self>) {
        context.set_mailbox_capacity(MAILBOX_CAPACITY);
        context.run_interval(TICK, Broker::tick);
    }
}

/// Tells of a new view.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct ViewChanged(pub(crate) Arc<View>);

impl Handler<ViewChanged> for Broker {
    type Result = ();

    fn handle(&mut self, ViewChanged(view): ViewChanged, context: &mut Context<Self>) {
        let members_changed = view.members_version != self.view.members_version;
        let priorities = view.catalog.set().priorities.iter();
        self.reservations = priorities
            .filter(|priority| priority.reserved_share > 0.0)
            .map(|priority| Reservation {
                priority: priority.name.as_str().into(),
                share: priority.reserved_share,
            })
            .collect();
        self.view = view;
        if members_changed {
            self.give_up_moved_upstreams();
            self.follow_watchers();
        }
        self.pump_all(context);
    }
}

/// Request of another entry.
#[derive(Message)]
#[rtype(result = "Reply")]
pub(crate) struct FromPeer(pub(crate) Identity, pub(crate) request::Body);

impl Handler<FromPeer> for Broker {
    type Result = ResponseFuture<Reply>;

    fn handle(&mut self, message: FromPeer, context: &mut Context<Self>) -> ResponseFuture<Reply> {
        use request::Body;
        let FromPeer(peer, body) = message;
        let reply = match body {
            Body::Announce(announce) => self.announce_from_peer(announce, context),
            Body::Credit(credit) => self.answer_credit(&peer, &credit),
            Body::CreditRenew(renew) => self.answer_renewal(&renew),
            Body::CreditRelease(release) => self.answer_release(&release, context),
            Body::Digest(digest) => self.take_digest(&peer, digest, context),
            Body::Locate(locate) => self.answer_locate(&locate),
            _ => refuse(ErrorCode::Invalid, "entries take no such request"),
        };
        Box::pin(std::future::ready(reply))
    }
}

impl Handler<Stop> for Broker {
    type Result = ();

    fn handle(&mut self, _: Stop, context: &mut Context<Self>) {
        context.stop();
    }
}
