//! Heartbeats to the control processes, and the view built from their replies.

use std::sync::Arc;
use std::time::Duration;

use actix::{
    Actor, ActorContext as _, Addr, AsyncContext as _, Context, Handler, Message, ResponseFuture,
};
use clock::Clock;
use futures::future::join_all;
use objects::Catalog;
use schema::{
    ConfirmRequest, EntryMember, HeartbeatReply, HeartbeatRequest, LeaveRequest, ObjectSet,
    SetDelta, reply, request,
};
use settings::EntryConfig;
use tokio::sync::watch;

use crate::broker::{Broker, ViewChanged};
use crate::control::{ControlClient, ControlError};
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::stop::Stop;
use crate::view::{Mode, View};

const TICK_INTERVAL: Duration = Duration::from_millis(50);
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(500);
/// Consecutive heartbeats that may time out within one revision lease.
const HEARTBEAT_TIMEOUTS_PER_LEASE: u64 = 2;
/// Maximum peers polled for whether they can confirm the revision.
const MAX_POLLED_PEERS: usize = 5;

/// A delta has another base than the current set, or its result does not match
/// its checksum.
struct DeltaMismatch;

/// Actor that sends heartbeats and keeps the view up to date.
pub(crate) struct Membership {
    pub(crate) config: Arc<EntryConfig>,
    pub(crate) clock: Clock,
    pub(crate) control: ControlClient,
    pub(crate) peers: Peers,
    pub(crate) broker: Addr<Broker>,
    pub(crate) metrics: Metrics,
    pub(crate) view: watch::Sender<Arc<View>>,
    pub(crate) member: EntryMember,
    pub(crate) draining: bool,
    pub(crate) heartbeat_in_flight: bool,
    pub(crate) next_heartbeat_ms: u64,
    pub(crate) peer_poll_in_flight: bool,
    /// The last delta could not be applied, so the next heartbeat requests the
    /// full set.
    pub(crate) needs_full_set: bool,
    /// Mode while the revision's lease is expired, from the last poll of peers;
    /// `Unconfirmed` before a poll has ended.
    pub(crate) expired_lease_mode: Mode,
}

impl Membership {
    fn tick(&mut self, context: &mut Context<Self>) {
        let now_ms = self.clock.now_ms();
        if !self.heartbeat_in_flight && now_ms >= self.next_heartbeat_ms {
            self.send_heartbeat(context, now_ms);
        }
        self.update_mode(context, now_ms);
    }

    fn send_heartbeat(&mut self, context: &mut Context<Self>, now_ms: u64) {
        let view = self.view.borrow().clone();
        let heartbeat = HeartbeatRequest {
            member: Some(self.member.clone()),
            revision: if self.needs_full_set { 0 } else { view.catalog.revision() },
            members_version: view.members_version,
        };
        self.heartbeat_in_flight = true;
        self.next_heartbeat_ms = now_ms + self.config.timers.heartbeat_ms;
        let control = self.control.clone();
        let limit = Duration::from_millis(
            self.config.timers.revision_lease_ms / HEARTBEAT_TIMEOUTS_PER_LEASE,
        );
        let address = context.address();
        actix_rt::spawn(async move {
            let body = request::Body::Heartbeat(heartbeat);
            let result = control.call(body, String::new(), limit).await;
            address.do_send(HeartbeatEnded { sent_ms: now_ms, result });
        });
    }

    fn apply(&mut self, reply: HeartbeatReply, sent_ms: u64) {
        let is_registration = reply.members_version == 0;
        if is_registration {
            // The reply to a registration carries no view; the next heartbeat's
            // does, so it is sent at the next tick.
            self.next_heartbeat_ms = 0;
            return;
        }
        let mut view = View::clone(&self.view.borrow());
        let current = view.catalog.revision();
        if reply.revision < current {
            log::error!(revision = reply.revision, current; "heartbeat reply carries an older revision; ignored");
            return;
        }
        match self.set_from_reply(&view, reply.set, reply.delta) {
            Ok(None) => {}
            Ok(Some(set)) => {
                log::info!(revision = reply.revision; "published set applied");
                view.catalog = Arc::new(Catalog::new(reply.revision, set));
            }
            Err(DeltaMismatch) => {
                log::warn!(revision = reply.revision; "delta does not apply to the current set; requesting the full set");
                self.next_heartbeat_ms = 0;
                return;
            }
        }
        if reply.members_version != view.members_version {
            view.members_version = reply.members_version;
            view.members = reply.members.into();
        }
        view.confirmed_ms = sent_ms;
        self.metrics.revision.set(i64::try_from(view.catalog.revision()).unwrap_or(i64::MAX));
        self.replace_view(view);
    }

    /// Returns the set carried by a heartbeat reply, in full or rebuilt from a
    /// delta; `None` if the revision is unchanged.
    fn set_from_reply(
        &mut self,
        view: &View,
        set: Option<ObjectSet>,
        delta: Option<SetDelta>,
    ) -> Result<Option<ObjectSet>, DeltaMismatch> {
        let Some(delta) = delta else {
            self.needs_full_set &= set.is_none();
            return Ok(set);
        };
        let base_matches = delta.base_revision == view.catalog.revision();
        let applied = objects::apply_delta(view.catalog.set(), delta).filter(|_| base_matches);
        self.needs_full_set = applied.is_none();
        applied.map(Some).ok_or(DeltaMismatch)
    }

    fn update_mode(&mut self, context: &mut Context<Self>, now_ms: u64) {
        let view = self.view.borrow().clone();
        let age_ms = now_ms.saturating_sub(view.confirmed_ms);
        let mode = if self.draining {
            Mode::Draining
        } else if view.confirmed_ms == 0 {
            Mode::Starting
        } else if age_ms < self.config.timers.revision_lease_ms {
            self.expired_lease_mode = Mode::Unconfirmed;
            Mode::Serving
        } else {
            self.poll_peers(context);
            self.expired_lease_mode
        };
        if view.confirmed_ms > 0 {
            self.metrics.confirmed_age_ms.set(i64::try_from(age_ms).unwrap_or(i64::MAX));
        }
        if mode != view.mode {
            log::info!(from = view.mode.to_string().as_str(), to = mode.to_string().as_str(); "mode changed");
            self.replace_view(View { mode, ..View::clone(&view) });
        }
    }

    /// Polls peers for whether they can confirm the revision, to choose the mode
    /// while its lease is expired.
    fn poll_peers(&mut self, context: &mut Context<Self>) {
        if self.peer_poll_in_flight {
            return;
        }
        self.peer_poll_in_flight = true;
        let view = self.view.borrow().clone();
        let others = view.members.iter().filter(|member| member.vm != self.member.vm);
        let others: Vec<EntryMember> = others.take(MAX_POLLED_PEERS).cloned().collect();
        let peers = self.peers.clone();
        let lease_ms = self.config.timers.revision_lease_ms;
        let address = context.address();
        actix_rt::spawn(async move {
            let poll = |member: EntryMember| {
                let peers = peers.clone();
                async move {
                    let body = request::Body::Confirm(ConfirmRequest {});
                    peers.call(&member, body, String::new(), CONFIRM_TIMEOUT).await
                }
            };
            let polled_count = others.len();
            let results = join_all(others.into_iter().map(poll)).await;
            let replies = results.into_iter().filter_map(|result| match result {
                Ok(reply::Body::Confirm(confirm)) => Some(confirm),
                _ => None,
            });
            let replies: Vec<_> = replies.collect();
            let confirmed_by_peer = replies.iter().any(|confirm| {
                confirm.confirmed_age_ms < lease_ms || confirm.revision > view.catalog.revision()
            });
            let isolated = polled_count > 0 && replies.is_empty();
            let mode =
                if confirmed_by_peer || isolated { Mode::Unconfirmed } else { Mode::Degraded };
            address.do_send(PeerPollEnded(mode));
        });
    }

    fn replace_view(&mut self, view: View) {
        for mode in Mode::ALL {
            let value = i64::from(mode == view.mode);
            self.metrics.mode.with_label_values(&[mode.to_string().as_str()]).set(value);
        }
        let view = Arc::new(view);
        self.view.send_replace(view.clone());
        self.broker.do_send(ViewChanged(view));
    }
}

impl Actor for Membership {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Context<Self>) {
        context.run_interval(TICK_INTERVAL, Membership::tick);
    }
}

/// Result of a heartbeat.
#[derive(Message)]
#[rtype(result = "()")]
struct HeartbeatEnded {
    sent_ms: u64,
    result: Result<reply::Body, ControlError>,
}

impl Handler<HeartbeatEnded> for Membership {
    type Result = ();

    fn handle(&mut self, ended: HeartbeatEnded, context: &mut Context<Self>) {
        self.heartbeat_in_flight = false;
        match ended.result {
            Ok(reply::Body::Heartbeat(reply)) => {
                self.apply(reply, ended.sent_ms);
                self.update_mode(context, self.clock.now_ms());
            }
            Ok(_) => log::error!("unexpected type of reply to a heartbeat"),
            Err(error) => {
                log::warn!(error = error.to_string().as_str(); "heartbeat failed");
            }
        }
    }
}

/// Mode chosen by a poll of the peers.
#[derive(Message)]
#[rtype(result = "()")]
struct PeerPollEnded(Mode);

impl Handler<PeerPollEnded> for Membership {
    type Result = ();

    fn handle(&mut self, PeerPollEnded(mode): PeerPollEnded, _: &mut Context<Self>) {
        self.peer_poll_in_flight = false;
        self.expired_lease_mode = mode;
    }
}

/// Removes the entry from the address list and gives up ownership of its
/// upstreams, with the next heartbeat.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct StartLeaving;

impl Handler<StartLeaving> for Membership {
    type Result = ();

    fn handle(&mut self, _: StartLeaving, _: &mut Context<Self>) {
        self.member.leaving = true;
        self.next_heartbeat_ms = 0;
    }
}

/// Makes the entry refuse new requests.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct StartDraining;

impl Handler<StartDraining> for Membership {
    type Result = ();

    fn handle(&mut self, _: StartDraining, context: &mut Context<Self>) {
        self.draining = true;
        self.update_mode(context, self.clock.now_ms());
    }
}

/// Leaves the membership; sent after the last request has ended.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct Leave;

impl Handler<Leave> for Membership {
    type Result = ResponseFuture<()>;

    fn handle(&mut self, _: Leave, _: &mut Context<Self>) -> ResponseFuture<()> {
        let leave = LeaveRequest { vm: self.member.vm.clone(), epoch: self.member.epoch };
        let control = self.control.clone();
        let limit = Duration::from_millis(self.config.timers.control_timeout_ms);
        // Suppresses further heartbeats, as one would register the entry again.
        // The end of a heartbeat that is in flight lifts the suppression.
        self.heartbeat_in_flight = true;
        Box::pin(async move {
            let body = request::Body::Leave(leave);
            if let Err(error) = control.call(body, String::new(), limit).await {
                log::warn!(error = error.to_string().as_str(); "leave request failed; the membership lease will expire instead");
            }
        })
    }
}

impl Handler<Stop> for Membership {
    type Result = ();

    fn handle(&mut self, _: Stop, context: &mut Context<Self>) {
        context.stop();
    }
}
