//! Relays event streams, and resumes them on another engine if theirs exits or
//! fails.

mod confirmation;
mod continuation;
mod ending;
mod hand_back;
mod interruption;
mod migration;
mod peers;
mod probe;
mod read_ahead;
mod resume;
mod source;

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_LENGTH, CONTENT_TYPE};
use http::{HeaderValue, Response, StatusCode, Version, response};
use http_body_util::BodyExt as _;
use lineage::Origin;
use schema::RepeatKind;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

use crate::accept::Call;
use crate::answer::{Body, ResponseTruncated, strip_hop_by_hop};
use crate::eligibility::Excluded;
use crate::events::{EventKind, EventSplitter, StreamProgress, is_comment};
use crate::exchange::UpstreamResponse;
use crate::guards::InFlightGuard;
use crate::moves::MoveState;
use crate::peer::{PeerBody, PeerPart};
use crate::quarantine;
use crate::reach;
use crate::reservation::Reservation;
use crate::shared::Shared;
use ending::StreamEnd;
use interruption::{Ended, NotContinued};
use probe::Probe;
use read_ahead::Held;
use source::{Source, Step};

pub(crate) use peers::{TakeOverError, start_from_peer, take_over};

/// Time without an event after which the engine is probed for reachability:
/// several times the gap between events that callers count as late.
const PROBE_AFTER: Duration = Duration::from_millis(700);

/// Bytes that an engine may send without a new event, in an incomplete event,
/// comments, blank or repeated events, before its stream counts as lost.
const MAX_BYTES_WITHOUT_EVENT: usize = 256 << 10;

/// Media type of streams.
const EVENT_STREAM: &str = "text/event-stream";

/// Sender of a command whose result is not known, and which may have stopped the generation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum StoppedBy {
    /// This gateway.
    Command,
    /// Another gateway that was to continue the stream.
    Peer,
}

struct Relay {
    shared: Rc<Shared>,
    call: Rc<Call>,
    source: Option<Source>,
    /// Gateway that relays the stream from its engine, instead of `source`.
    peer: Option<PeerBody>,
    /// What that gateway has offered to hand back.
    hand_back: Option<hand_back::Offer>,
    /// What its caller has not taken yet.
    held: Option<Rc<Held>>,
    /// When the last bytes of the stream arrived.
    heard_at: Instant,
    /// No gateway continued the stream when upstreams came out of reach.
    peers_refused: bool,
    /// Who may have stopped the generation without a word of the source.
    stopped_by: Option<StoppedBy>,
    /// What the source sent while the relay waited for another engine.
    pending: Option<Step>,
    /// Where the stream began, and so may go on.
    origin: Origin,
    events: EventSplitter,
    progress: StreamProgress,
    /// When the engine of a stalled stream is probed next.
    probe_at: Instant,
    /// The engine has to continue after an event; its first event is pending.
    resumed: bool,
    /// Engines that may have run the request.
    runs: u32,
    /// New events from the current engine.
    events_of_run: u64,
    departures: watch::Receiver<u64>,
    cut_off: watch::Receiver<bool>,
    move_state: MoveState,
    /// Engines that have not taken the generation, to which it is moved last.
    avoided: Excluded,
    /// The end of the stream is recorded.
    ended: bool,
    _in_flight: Option<InFlightGuard>,
}

/// The events of a resumed run do not follow on those that were relayed.
struct Discontinuity;

/// Returns whether a response is a stream; a head may leave the media type out.
pub(crate) fn is_event_stream(head: &response::Parts) -> bool {
    let is_stream = |value: &HeaderValue| {
        let media_type = value.to_str().unwrap_or_default().split(';').next().unwrap_or_default();
        media_type.trim().eq_ignore_ascii_case(EVENT_STREAM)
    };
    head.status == StatusCode::OK && head.headers.get(CONTENT_TYPE).is_none_or(is_stream)
}

/// Starts to relay a stream whose response head has arrived, after `earlier_runs` engines
/// that may have run the request.
pub(crate) fn start(
    shared: &Rc<Shared>,
    call: &Rc<Call>,
    response: UpstreamResponse,
    mut reservation: Reservation,
    earlier_runs: u32,
    in_flight: Option<InFlightGuard>,
) -> Response<Body> {
    // Engines send the head together with the first token.
    reservation.record_first_event();
    if let Some(stream) = call.stream {
        let origin = reservation.target.origin.clone();
        shared.origins.borrow_mut().record(stream, origin, shared.now_ms());
    }
    let (mut head, source) = Source::new(response, reservation);
    strip_hop_by_hop(&mut head.headers);
    head.headers.remove(CONTENT_LENGTH);
    // The protocol version belongs to the connection to the upstream.
    head.version = Version::HTTP_11;
    let origin = source.reservation.target.origin.clone();
    let mut relay = Relay::new(shared, call, origin, earlier_runs + 1, in_flight);
    // The engine may have started to drain before the head arrived.
    relay.departures.mark_changed();
    relay.source = Some(source);
    Response::from_parts(head, relay.into_body())
}

impl Drop for Relay {
    fn drop(&mut self) {
        let is_grace_over = *self.shared.ending.borrow();
        let end = match (std::thread::panicking(), is_grace_over) {
            (true, _) => StreamEnd::Panicked,
            (false, true) => StreamEnd::GraceOver,
            (false, false) => StreamEnd::CallerLeft,
        };
        self.record_end(end, "");
        self.discard_move();
        self.shared.copies.borrow_mut().release_all(&self.call.head.id);
    }
}

impl Relay {
    /// Returns a relay that has no source yet. `runs` engines may have run the request.
    fn new(
        shared: &Rc<Shared>,
        call: &Rc<Call>,
        origin: Origin,
        runs: u32,
        in_flight: Option<InFlightGuard>,
    ) -> Self {
        let now = Instant::now();
        Relay {
            shared: shared.clone(),
            call: call.clone(),
            origin,
            source: None,
            peer: None,
            hand_back: None,
            held: None,
            heard_at: now,
            peers_refused: false,
            stopped_by: None,
            pending: None,
            events: EventSplitter::default(),
            progress: StreamProgress::new(call.head.last_event_id),
            probe_at: now + PROBE_AFTER,
            resumed: call.head.last_event_id.is_some(),
            runs,
            events_of_run: 0,
            departures: shared.departures.subscribe(),
            cut_off: shared.cut_off.subscribe(),
            move_state: MoveState::Idle,
            avoided: Excluded::new(),
            ended: false,
            _in_flight: in_flight,
        }
    }

    /// Returns the body of the response that the relay writes.
    fn into_body(self) -> Body {
        read_ahead::start(self)
    }

    /// Returns the next event; `None` once the stream is complete.
    async fn next(&mut self) -> Option<Result<Bytes, ResponseTruncated>> {
        loop {
            while let Some(event) = self.events.next() {
                match self.accept_event(event) {
                    Ok(Some(event)) => return Some(Ok(event)),
                    Ok(None) => {}
                    Err(Discontinuity) => {
                        if let Err(truncated) = self.leave_wrong_run().await {
                            return Some(Err(truncated));
                        }
                    }
                }
            }
            if self.source.is_none() && self.peer.is_none() {
                return None;
            }
            if let Some(held) = self.held.clone()
                && !held.wait_for_room(self.call.until).await
            {
                return Some(Err(self.end(StreamEnd::TimedOut, "its caller reads too slowly")));
            }
            let reacted = if self.is_flooded() {
                self.leave_flooding_engine().await
            } else {
                let step = self.step().await;
                if matches!(step, Step::End) {
                    match self.end_of_source().await {
                        Ended::Complete => return self.complete().map(Ok),
                        Ended::Continued(continued) => continued,
                    }
                } else {
                    self.react(step).await
                }
            };
            if let Err(truncated) = reacted {
                return Some(Err(truncated));
            }
        }
    }

    /// Reacts to anything but the end of the source.
    async fn react(&mut self, step: Step) -> Result<(), ResponseTruncated> {
        match step {
            Step::Data(bytes) => {
                self.heard_at = Instant::now();
                self.progress.bytes += bytes.len() as u64;
                if self.source.is_some() {
                    self.shared.reach.borrow_mut().record_heard(self.heard_at);
                }
                self.events.push(&bytes);
                if let Some(held) = &self.held {
                    held.set_partial(self.events.buffered_bytes());
                }
            }
            Step::End => {}
            Step::HandBack(offered) => self.hand_back = Some(hand_back::Offer::new(offered)),
            Step::TakeBack => {
                if let Err(NotContinued(end)) = Box::pin(self.take_back()).await {
                    return Err(self.end(end, "generation not taken back"));
                }
            }
            Step::Departures => self.start_move(),
            Step::Move(event) => self.advance_move(event),
            Step::Interrupted(error) => return self.interrupt(&error).await,
            Step::Stalled => self.start_probe(),
            Step::Probed(connected) => {
                if !self.is_reachable(connected) && self.is_recoverable() {
                    let continued = Box::pin(self.recover()).await;
                    self.probe_at = Instant::now() + PROBE_AFTER;
                    return self.continue_or_end(continued, "engine unreachable");
                }
            }
            Step::CutOff => {
                if !Box::pin(self.continue_at_peer()).await {
                    self.peers_refused = true;
                }
            }
            Step::TimedOut => return Err(self.end(StreamEnd::TimedOut, "")),
        }
        Ok(())
    }

    async fn step(&mut self) -> Step {
        if let Some(step) = self.pending.take() {
            return step;
        }
        if let Some(peer) = &mut self.peer {
            return tokio::select! {
                part = peer.next() => match part {
                    PeerPart::Data(bytes) => Step::Data(bytes),
                    PeerPart::HandBack(offered) => Step::HandBack(offered),
                    PeerPart::End => Step::End,
                    PeerPart::Lost => Step::Interrupted("lost by another gateway".to_string()),
                },
                () = hand_back::due(&self.hand_back, &mut self.cut_off) => Step::TakeBack,
                () = sleep_until(self.call.until) => Step::TimedOut,
            };
        }
        let Some(source) = &mut self.source else { return Step::End };
        tokio::select! {
            biased;
            frame = source.body.frame() => Step::from_frame(frame),
            Ok(()) = self.departures.changed() => Step::Departures,
            event = self.move_state.next_event() => Step::Move(event),
            connected = source.probe.connected() => Step::Probed(connected),
            () = sleep_until(self.probe_at), if source.probe.is_idle() => Step::Stalled,
            () = reach::broken_by_cut(&mut self.cut_off, self.heard_at), if !self.peers_refused => {
                Step::CutOff
            }
            () = sleep_until(self.call.until) => Step::TimedOut,
        }
    }

    /// Returns the event unless the caller already has it. Until the first event of a resumed
    /// run shows that it continues the stream, nothing of it is returned.
    fn accept_event(&mut self, event: Bytes) -> Result<Option<Bytes>, Discontinuity> {
        let id = self.shared.dialect.event_id(&event);
        let resumed = self.resumed;
        if resumed && !is_comment(&event) && !self.progress.may_go_on_with(id) {
            log::warn!(request = self.call.head.id.as_str(), event_id:? = id, last_event_id:? = self.progress.last_event_id; "event does not follow on the stream");
            return Err(Discontinuity);
        }
        match self.progress.accept(id, &event) {
            EventKind::New(gap) => self.record_event(gap),
            EventKind::WithoutData if !resumed => {}
            EventKind::WithoutData | EventKind::Repeated => return Ok(None),
        }
        Ok(Some(event))
    }

    /// Records a new event, `gap` after the one before it.
    fn record_event(&mut self, gap: Duration) {
        if std::mem::take(&mut self.resumed) {
            log::info!(request = self.call.head.id.as_str(), last_event_id = self.progress.last_event_id, pause_ms = gap.as_millis(); "stream resumed");
        }
        if self.events_of_run == 0 {
            quarantine::record_answer(&self.shared, &self.call.features);
        }
        self.events_of_run += 1;
        self.offer_hand_back();
        let target_gap = Duration::from_millis(self.call.route.target_gap_ms);
        // A run's first event comes after its prefill or its move.
        let is_late = self.events_of_run > 1 && !target_gap.is_zero() && gap > target_gap;
        if let Some(source) = &mut self.source {
            source.reservation.record_progress(&self.call.requirements, self.progress.relayed);
            let engine = &source.reservation.target.id;
            let mut speeds = self.shared.speed_log.borrow_mut();
            speeds.record_event(engine, gap, is_late, self.shared.now_ms());
            source.probe = Probe::default();
        }
        self.probe_at = Instant::now() + PROBE_AFTER;
    }

    /// Returns whether the engine has sent too much since its last new event.
    fn is_flooded(&self) -> bool {
        let pending = self.progress.bytes_without_event + self.events.buffered_bytes();
        pending > MAX_BYTES_WITHOUT_EVENT
    }

    /// Returns whether the stream could resume without its current engine.
    fn is_recoverable(&self) -> bool {
        let copied = !matches!(self.move_state, MoveState::Idle | MoveState::Copying(..));
        copied || self.call.route.kind() == RepeatKind::ResumableStream
    }

    fn complete(&mut self) -> Option<Bytes> {
        self.record_end(StreamEnd::Complete, "");
        self.shared.record_output(&self.call, self.progress.relayed);
        self.peer = None;
        if let Some(source) = self.source.take() {
            self.shared.return_connection(&source.reservation.target, source.connection);
        }
        let remainder = self.events.take_remainder();
        (!remainder.is_empty()).then_some(remainder)
    }

    /// Drops what the last engine sent without a complete event.
    fn discard_unfinished_event(&mut self) {
        self.events.take_remainder();
        self.progress.bytes_without_event = 0;
    }
}
