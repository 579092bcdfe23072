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
use tokio::sync::{oneshot, watch};
use tokio::task::JoinHandle;
use tokio::time::{sleep_until, timeout};

use crate::answer::{Body, BrokenOff, strip_hop_by_hop};
use crate::dialect::{MemoryRef, Resume};
use crate::events::Events;
use crate::exchange::{Reply, exchange};
use crate::forward::{Call, elapsed_ms};
use crate::moves::{self, Moved};
use crate::place::{Excluded, Place, is_ending, wait_for_place};
use crate::pool::Connection;
use crate::shared::{InFlight, Shared};

/// Longest wait for the result of a move after its stream was closed.
const MOVE_RESULT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Engine that the stream comes from.
#[derive(Debug)]
struct Source {
    body: Incoming,
    connection: Connection,
    place: Place,
}

/// Move in progress; it is given up when it is dropped.
#[derive(Debug)]
struct Move {
    result: oneshot::Receiver<Option<Moved>>,
    task: JoinHandle<()>,
}

impl Drop for Move {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct Relay {
    shared: Rc<Shared>,
    call: Rc<Call>,
    source: Option<Source>,
    events: Events,
    last_event_id: Option<u64>,
    relayed: u64,
    runs: u32,
    endings: watch::Receiver<u64>,
    moving: Option<Move>,
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
    TimedOut,
}

/// Starts to relay a stream whose head has arrived.
pub(crate) fn start(
    shared: &Rc<Shared>,
    call: &Rc<Call>,
    reply: Reply,
    place: Place,
    in_flight: Option<InFlight>,
) -> Response<Body> {
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
        runs: 1,
        endings,
        moving: None,
        _in_flight: in_flight,
    };
    let frames = unfold(relay, |mut relay| async move {
        let event = relay.next().await?;
        Some((event.map(Frame::data), relay))
    });
    let body: Body = Box::pin(StreamBody::new(frames));
    Response::from_parts(head, body)
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
                Step::End => match self.take_move().await {
                    Some(moved) => match self.go_on(moved).await {
                        Ok(()) => {}
                        Err(broken) => return Some(Err(broken)),
                    },
                    None => return self.complete().map(Ok),
                },
                Step::Cut(error) => {
                    if let Err(broken) = self.recover(&error).await {
                        return Some(Err(broken));
                    }
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
        Some(event)
    }

    fn complete(&mut self) -> Option<Bytes> {
        self.log_end("complete");
        if let Some(source) = self.source.take() {
            let id = source.place.target.id.clone();
            self.shared.pool.keep(&id, source.connection);
        }
        let rest = self.events.rest();
        (!rest.is_empty()).then_some(rest)
    }

    fn start_move(&mut self) {
        let Some(source) = &self.source else { return };
        let movable = self.call.need.engine.as_ref().is_some_and(|engine| engine.moves);
        let target = source.place.target.clone();
        if self.moving.is_some() || !movable || !is_ending(&self.shared, &target) {
            return;
        }
        log::info!(request = self.call.head.id.as_str(), upstream = target.id.as_str(), events = self.relayed; "generation is to move");
        let (result, receiver) = oneshot::channel();
        let (shared, call) = (self.shared.clone(), self.call.clone());
        let task = actix_rt::spawn(async move {
            let moved =
                moves::carry_over(&shared, &call.head.id, &target, &call.need, call.until).await;
            // A stream that ended meanwhile needs no result.
            let _ = result.send(moved);
        });
        self.moving = Some(Move { result: receiver, task });
    }

    /// Returns the result of the move in progress, if any.
    async fn take_move(&mut self) -> Option<Moved> {
        let mut moving = self.moving.take()?;
        timeout(MOVE_RESULT_TIMEOUT, &mut moving.result).await.ok()?.ok()?
    }

    async fn recover(&mut self, error: &str) -> Result<(), BrokenOff> {
        if let Some(moved) = self.take_move().await {
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
        self.source = None;
        self.events.rest();
        self.resume(moved.place, Some(moved.memory)).await
    }

    /// Runs the request once more, from the event after the last one.
    async fn run_again(&mut self) -> Result<(), BrokenOff> {
        let failed = self.source.take().map(|source| source.place.target.id.clone());
        self.events.rest();
        let excluded: Excluded = failed.into_iter().collect();
        let until = self.call.until;
        match wait_for_place(&self.shared, &self.call.need, &excluded, until).await {
            Ok(place) => self.resume(place, None).await,
            Err(_) => {
                self.log_end("no place to go on");
                Err(BrokenOff)
            }
        }
    }

    async fn resume(&mut self, place: Place, memory: Option<MemoryRef>) -> Result<(), BrokenOff> {
        let resume = Resume { last_event_id: self.last_event_id, memory };
        let request = self.call.to_request(&self.shared, &place.target, Some(&resume));
        let reply = exchange(&self.shared, &place.target, request, self.call.until).await;
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
        log::info!(request = self.call.head.id.as_str(), upstream = place.target.id.as_str(), events = self.relayed, last_event_id = self.last_event_id; "stream goes on");
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
