//! Streams that pass through two gateways, because the links of one reach no engine.

use std::rc::Rc;

use http::{Response, response};
use lineage::Origin;
use schema::RepeatKind;
use smallvec::smallvec;

use super::{Relay, StoppedBy};
use crate::accept::Call;
use crate::answer::Body;
use crate::attempts::Attempts;
use crate::eligibility::Excluded;
use crate::guards::InFlightGuard;
use crate::moves::{self, StopAndCopy};
use crate::peer::{self, Begun, Continued, PeerBody};
use crate::shared::Shared;

/// Starts to relay a stream that another gateway relays from its engine.
pub(crate) fn start_from_peer(
    shared: &Rc<Shared>,
    call: &Rc<Call>,
    head: response::Parts,
    body: PeerBody,
    in_flight: Option<InFlightGuard>,
) -> Response<Body> {
    // The other gateway resumes the stream as long as its origin is needed.
    let origin = Origin { service: call.requirements.service.clone(), version: "".into() };
    let mut relay = Relay::new(shared, call, origin, call.route.max_attempts.max(1), in_flight);
    relay.peer = Some(body);
    Response::from_parts(head, relay.into_body())
}

/// Why a stream of another gateway does not go on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum TakeOverError {
    /// Nothing was sent to any engine.
    NotSent,
    /// Its generation may have been stopped, or an engine may have run the request again.
    Unknown,
}

/// Continues a stream that began at another gateway.
pub(crate) async fn take_over(
    shared: &Rc<Shared>,
    call: &Rc<Call>,
    begun: Begun,
    runs: u32,
    in_flight: InFlightGuard,
) -> Result<Response<Body>, TakeOverError> {
    let origin = call.origin.clone().ok_or(TakeOverError::NotSent)?;
    // A run that begins here is counted when it does.
    let runs = if begun.source.is_some() { runs } else { runs.saturating_sub(1) };
    let mut relay = Relay::new(shared, call, origin, runs, Some(in_flight));
    // The gateway at which the stream began records its end if it does not go on here.
    relay.ended = true;
    relay.progress.last_event_id = begun.last_event_id;
    relay.progress.relayed = begun.events;
    let resumed = match begun.source {
        Some(source) => {
            let excluded = smallvec![source.id.clone()];
            let until = moves::continue_until(call);
            match moves::stop_and_copy(shared, call, &source, &excluded, begun.events, until).await
            {
                StopAndCopy::Stopped(stopped) => relay.go_on(*stopped, source).await,
                StopAndCopy::NoPlace | StopAndCopy::NotRunning => {
                    return Err(TakeOverError::NotSent);
                }
                StopAndCopy::Refused | StopAndCopy::Unknown => return Err(TakeOverError::Unknown),
            }
        }
        None => relay.run_again(None).await,
    };
    resumed.map_err(|_| TakeOverError::Unknown)?;
    relay.ended = false;
    Ok(Response::new(relay.into_body()))
}

impl Relay {
    /// Has another gateway continue the stream; returns whether one does.
    pub(super) async fn continue_at_peer(&mut self) -> bool {
        if self.call.from_peer || !self.progress.is_resumable() {
            return false;
        }
        let target = self.source.as_ref().map(|source| source.reservation.target.clone());
        let kind = self.call.route.kind();
        let may_move = kind == RepeatKind::Stream
            && target.is_some()
            && self.call.requirements.engine.as_ref().is_some_and(|engine| engine.moves);
        let may_run_again = kind == RepeatKind::ResumableStream
            && self.runs < self.call.route.max_attempts.max(1)
            && self.shared.try_retry(&self.call.requirements.service);
        if !may_move && !may_run_again {
            return false;
        }
        let runs = if may_run_again { self.runs + 1 } else { self.runs };
        let source = target.clone().filter(|_| may_move);
        let attempts = Attempts::from_peer(runs, runs, Excluded::new());
        let progress = (self.progress.last_event_id, self.progress.relayed);
        // The other gateway chooses among all engines.
        let cancelled = moves::withdraw_cancellations(&self.shared, &self.call).await;
        let continued = peer::continue_stream(
            &self.shared,
            &self.call,
            &attempts,
            source,
            progress,
            &self.origin,
        );
        let body = match continued.await {
            Continued::Stream(body) => body,
            Continued::NotTaken => {
                for engine in &cancelled {
                    moves::start_cancellation(&self.shared, &self.call, engine);
                }
                return false;
            }
            Continued::Unknown => {
                self.runs = runs;
                if may_move {
                    self.stopped_by = Some(StoppedBy::Peer);
                }
                return false;
            }
        };
        let upstream = target.as_ref().map_or("", |target| target.id.as_str());
        log::info!(request = self.call.head.id.as_str(), upstream, peer = body.vm().as_str(), events = self.progress.relayed; "stream continued through another gateway");
        self.runs = runs;
        self.discard_move();
        self.discard_unfinished_event();
        self.source = None;
        self.stopped_by = None;
        self.resumed = true;
        self.events_of_run = 0;
        self.peer = Some(body);
        true
    }
}
