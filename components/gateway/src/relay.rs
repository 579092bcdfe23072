//! Streams of events, which survive the end of their engine.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures::stream::unfold;
use http::Response;
use http::header::CONTENT_LENGTH;
use http_body_util::{BodyExt as _, StreamBody};
use hyper::body::{Frame, Incoming};
use schema::RepeatKind;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

use crate::accept::Call;
use crate::answer::{Body, BrokenOff, strip_hop_by_hop};
use crate::dialect::{MemoryRef, Resume};
use crate::events::Events;
use crate::exchange::{Reply, exchange};
use crate::forward::{elapsed_ms, note_unreachable};
use crate::moves::{self, Moved, Moving, Progress, Stopped};
use crate::place::{Excluded, Place, is_ending, wait_for_place};
use crate::pool::Connection;
use crate::shared::{InFlight, Shared};

/// Pause between two events after which it is asked whether the engine can be
/// reached at all: several times the pause that callers call late.
const SILENCE: Duration = Duration::from_millis(700);
/// Longest wait for a connection to an engine whose stream is silent: a lost
/// opening packet is sent again after a second.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Engine that the stream comes from.
#[derive(Debug)]
struct Source {
    body: Incoming,
    connection: Connection,
    place: Place,
}

struct Relay {
    shared: Rc<Shared>,
    call: Rc<Call>,
    source: Option<Source>,
    events: Events,
    last_event_id: Option<u64>,
    relayed: u64,
    last_event_at: Instant,
    /// When a silent engine is asked next.
    probe_at: Instant,
    /// The stream goes on at another engine, whose first event is awaited.
    resumed: bool,
    runs: u32,
    endings: watch::Receiver<u64>,
    moving: Moving,
    _in_flight: Option<InFlight>,
}

/// What happened at the source.
enum Step {
    Data(Bytes),
    /// The stream is complete.
    End,
    /// The stream was cut.
    Cut(String),
    /// Upstreams announced their end.
    Endings,
    /// A move went on.
    Moving(Progress),
    /// No event came for a while.
    Silent,
    TimedOut,
}

/// Starts to relay a stream whose head has arrived.
pub(crate) fn start(
    shared: &Rc<Shared>,
    call: &Rc<Call>,
    reply: Reply,
    mut place: Place,
    in_flight: Option<InFlight>,
) -> Response<Body> {
    // The head comes with the first token.
    place.mark_read();
    let Reply { mut head, body, connection } = reply;
    strip_hop_by_hop(&mut head.headers);
    head.headers.remove(CONTENT_LENGTH);
    let mut endings = shared.endings.subscribe();
    // An ending before the head arrived counts as well.
    endings.mark_changed();
    let relay = Relay {
        shared: shared.clone(),
        call: call.clone(),
        source: Some(Source { body, connection, place }),
        events: Events::default(),
        last_event_id: call.head.last_event_id,
        relayed: 0,
        last_event_at: Instant::now(),
        probe_at: Instant::now() + SILENCE,
        resumed: false,
        runs: 1,
        endings,
        moving: Moving::Idle,
        _in_flight: in_flight,
    };
    let frames = unfold(relay, |mut relay| async move {
        let event = relay.next().await?;
        Some((event.map(Frame::data), relay))
    });
    let body: Body = Box::pin(StreamBody::new(frames));
    Response::from_parts(head, body)
}

impl Drop for Relay {
    fn drop(&mut self) {
        let Some(source) = &self.source else { return };
        let moving = std::mem::take(&mut self.moving);
        moves::abandon(&self.shared, &self.call, &source.place.target, moving);
        self.log_end("caller left");
    }
}

impl Relay {
    /// Returns the next event; `None` once the stream is complete.
    async fn next(&mut self) -> Option<Result<Bytes, BrokenOff>> {
        loop {
            while let Some(event) = self.events.next() {
                if let Some(event) = self.admit(event) {
                    return Some(Ok(event));
                }
            }
            self.source.as_ref()?;
            match self.step().await {
                Step::Data(bytes) => self.events.push(&bytes),
                Step::Endings => self.start_move(),
                Step::Moving(Progress::StopDue) if self.is_link_busy() => {
                    if let Some(moved) = self.take_memory(true).await
                        && let Err(broken) = self.go_on(moved).await
                    {
                        return Some(Err(broken));
                    }
                }
                Step::Moving(progress) => self.advance_move(progress),
                Step::End => match self.take_memory(false).await {
                    Some(moved) => {
                        if let Err(broken) = self.go_on(moved).await {
                            return Some(Err(broken));
                        }
                    }
                    None => return self.complete().map(Ok),
                },
                Step::Cut(error) => {
                    if let Err(broken) = self.recover(&error).await {
                        return Some(Err(broken));
                    }
                }
                Step::Silent => {
                    if self.can_go_on()
                        && !self.is_reachable().await
                        && let Err(broken) = self.recover("engine unreachable").await
                    {
                        return Some(Err(broken));
                    }
                    self.probe_at = Instant::now() + SILENCE;
                }
                Step::TimedOut => {
                    self.log_end("timed out");
                    self.source = None;
                    return Some(Err(BrokenOff));
                }
            }
        }
    }

    async fn step(&mut self) -> Step {
        let Some(source) = &mut self.source else { return Step::End };
        tokio::select! {
            biased;
            frame = source.body.frame() => match frame {
                Some(Ok(frame)) => frame.into_data().map_or(Step::Data(Bytes::new()), Step::Data),
                Some(Err(error)) => Step::Cut(error.to_string()),
                None => Step::End,
            },
            Ok(()) = self.endings.changed() => Step::Endings,
            progress = self.moving.progress() => Step::Moving(progress),
            () = sleep_until(self.probe_at) => Step::Silent,
            () = sleep_until(self.call.until) => Step::TimedOut,
        }
    }

    /// Drops events that the caller already has.
    fn admit(&mut self, event: Bytes) -> Option<Bytes> {
        if let Some(id) = self.shared.dialect.event_id(&event) {
            if self.last_event_id.is_some_and(|last| id <= last) {
                return None;
            }
            self.last_event_id = Some(id);
        }
        self.relayed += 1;
        if std::mem::take(&mut self.resumed) {
            log::info!(request = self.call.head.id.as_str(), last_event_id = self.last_event_id, pause_ms = elapsed_ms(self.last_event_at); "stream resumed");
        }
        self.last_event_at = Instant::now();
        self.probe_at = self.last_event_at + SILENCE;
        Some(event)
    }

    /// Returns whether the stream could go on without its engine.
    fn can_go_on(&self) -> bool {
        let copied = !matches!(self.moving, Moving::Idle | Moving::Copying(..));
        copied || self.call.route.kind() == RepeatKind::ResumableStream
    }

    /// Returns whether the engine of a silent stream accepts connections.
    async fn is_reachable(&self) -> bool {
        let Some(source) = &self.source else { return false };
        let target = &source.place.target;
        let since_event_ms = elapsed_ms(self.last_event_at);
        match Connection::open(target.address, PROBE_TIMEOUT).await {
            Ok(connection) => {
                self.shared.keep_connection(target, connection);
                true
            }
            Err(error) => {
                log::warn!(request = self.call.head.id.as_str(), upstream = target.id.as_str(), since_event_ms, error = error.to_string().as_str(); "engine of a silent stream is unreachable");
                note_unreachable(&self.shared, target);
                false
            }
        }
    }

    fn complete(&mut self) -> Option<Bytes> {
        self.log_end("complete");
        if let Some(source) = self.source.take() {
            self.shared.keep_connection(&source.place.target, source.connection);
        }
        let rest = self.events.rest();
        (!rest.is_empty()).then_some(rest)
    }

    fn start_move(&mut self) {
        let Some(source) = &self.source else { return };
        // A stream that may be resumed is short, and runs again if it is cut.
        let movable = self.call.need.engine.as_ref().is_some_and(|engine| engine.moves)
            && self.call.route.kind() == RepeatKind::Stream;
        let target = &source.place.target;
        let idle = matches!(self.moving, Moving::Idle);
        if !idle || !movable || !is_ending(&self.shared, target) {
            return;
        }
        log::info!(request = self.call.head.id.as_str(), upstream = target.id.as_str(), events = self.relayed; "generation is to move");
        self.moving = moves::start_copy(&self.shared, &self.call, target);
    }

    fn advance_move(&mut self, progress: Progress) {
        let Some(source) = &self.source else { return };
        let target = &source.place.target;
        let moving = std::mem::take(&mut self.moving);
        self.moving = match (moving, progress) {
            (Moving::Copying(_, plan), Progress::Copied(Some(moved))) => {
                Moving::Copied(moved, plan)
            }
            (Moving::Copied(moved, _), Progress::StopDue) => {
                log::info!(request = self.call.head.id.as_str(), from = target.id.as_str(), to = moved.place.target.id.as_str(), since_event_ms = elapsed_ms(self.last_event_at); "generation stops");
                moves::start_stop(&self.shared, &self.call, target, moved)
            }
            (Moving::Stopping(mut moved, _), Progress::Stopped(Stopped::Copied(handle))) => {
                moved.memory.handle = handle;
                Moving::Stopped(moved)
            }
            // The run goes on at the source, or waits there: copy it anew.
            (Moving::Stopping(..), Progress::Stopped(_)) => {
                moves::start_copy(&self.shared, &self.call, target)
            }
            (_, _) => Moving::Idle,
        };
    }

    fn is_link_busy(&self) -> bool {
        matches!(&self.moving, Moving::Copied(_, plan) if plan.link_busy)
    }

    /// Returns the memory to go on from; after a cut the first copy will do.
    async fn take_memory(&mut self, cut: bool) -> Option<Moved> {
        if !cut
            && let Moving::Copied(..) = self.moving
            && let Some(source) = &self.source
        {
            let moving = std::mem::take(&mut self.moving);
            moves::abandon(&self.shared, &self.call, &source.place.target, moving);
            return None;
        }
        self.moving.take_memory(cut).await
    }

    async fn recover(&mut self, error: &str) -> Result<(), BrokenOff> {
        if let Some(moved) = self.take_memory(true).await {
            return self.go_on(moved).await;
        }
        let resumable = self.call.route.kind() == RepeatKind::ResumableStream;
        let may_run = self.runs < self.call.route.max_attempts.max(1);
        if resumable && may_run && self.shared.take_retry(&self.call.need.service) {
            self.runs += 1;
            return self.run_again().await;
        }
        self.log_end(error);
        self.source = None;
        Err(BrokenOff)
    }

    /// Goes on from moved memory at its new engine.
    async fn go_on(&mut self, moved: Moved) -> Result<(), BrokenOff> {
        let from = self.source.take().map(|source| source.place.target.id.clone());
        self.events.rest();
        log::info!(request = self.call.head.id.as_str(), from = from.as_deref().unwrap_or_default(), to = moved.place.target.id.as_str(), events = self.relayed; "generation moved");
        self.shared.metrics.moves.with_label_values(&["moved"]).inc();
        self.resume(moved.place, Some(moved.memory)).await
    }

    /// Runs the request once more, from the event after the last one.
    async fn run_again(&mut self) -> Result<(), BrokenOff> {
        let failed = self.source.take().map(|source| source.place.target.id.clone());
        self.events.rest();
        let excluded: Excluded = failed.into_iter().collect();
        match wait_for_place(&self.shared, &self.call, &excluded, self.call.until).await {
            Ok(place) => self.resume(place, None).await,
            Err(_) => {
                self.log_end("no place to go on");
                Err(BrokenOff)
            }
        }
    }

    async fn resume(
        &mut self,
        mut place: Place,
        memory: Option<MemoryRef>,
    ) -> Result<(), BrokenOff> {
        let resume = Resume { last_event_id: self.last_event_id, memory };
        let request = self.call.to_request(&self.shared, &place.target, Some(&resume));
        let reply =
            exchange(&self.shared, &self.call.span, &place.target, request, self.call.until).await;
        let reply = reply.map_err(|failure| {
            self.log_end(&failure.to_string());
            BrokenOff
        })?;
        let answer = self.shared.dialect.read_answer(&reply.head);
        let ours = answer.request_id.as_deref().is_none_or(|id| id == self.call.head.id);
        if !reply.head.status.is_success() || !answer.signed || !ours {
            let status = reply.head.status.as_u16();
            log::warn!(request = self.call.head.id.as_str(), upstream = place.target.id.as_str(), status, not_run = answer.not_run; "engine did not go on");
            self.log_end("engine did not go on");
            return Err(BrokenOff);
        }
        self.resumed = true;
        place.mark_read();
        let Reply { body, connection, .. } = reply;
        self.source = Some(Source { body, connection, place });
        self.start_move();
        Ok(())
    }

    fn log_end(&self, outcome: &str) {
        let upstream = self.source.as_ref().map_or("", |source| source.place.target.id.as_str());
        log::info!(request = self.call.head.id.as_str(), upstream, outcome, events = self.relayed, ran_ms = elapsed_ms(self.call.arrived); "stream ended");
    }
}
