//! Reads a stream as it arrives and holds what its caller has not taken yet, so that a slow caller
//! does not keep the response of an engine unread.

use std::any::Any;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::panic::{AssertUnwindSafe, resume_unwind};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt as _;
use hyper::body::Frame;
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout};

use super::Relay;
use super::ending::StreamEnd;
use crate::answer::{Body, ResponseTruncated};
use crate::shared::Shared;
use crate::state::{HeldId, Room};

/// Interval at which a stream looks for room.
const ROOM_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// How a stream ended behind what is held of it.
enum End {
    Complete,
    Truncated,
    Panicked(Box<dyn Any + Send>),
}

#[derive(Default)]
struct Queue {
    frames: VecDeque<Bytes>,
    bytes: u64,
    /// Bytes of the event that has not arrived as a whole.
    partial_bytes: u64,
    end: Option<End>,
    /// Task of the caller's connection, which waits for the next event.
    reader: Option<Waker>,
}

impl Queue {
    fn wake_reader(&mut self) {
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
    }
}

/// Events that are held for the caller of one stream.
pub(super) struct Held {
    shared: Rc<Shared>,
    id: HeldId,
    queue: RefCell<Queue>,
    /// The caller took something.
    taken: Notify,
    /// The stream is evicted.
    evicted: Rc<Notify>,
}

impl Held {
    pub(super) fn new(shared: &Rc<Shared>) -> Rc<Self> {
        let (id, evicted) = shared.held.open();
        let (queue, taken) = (RefCell::default(), Notify::new());
        Rc::new(Held { shared: shared.clone(), id, queue, taken, evicted })
    }

    /// Waits until more of the stream may be read; `false` if it may not by `until`.
    pub(super) async fn wait_for_room(&self, until: Instant) -> bool {
        loop {
            match self.shared.held.room(self.id) {
                Room::Free => return true,
                Room::GiveWay(_) | Room::Full if Instant::now() >= until => return false,
                Room::GiveWay(id) => self.shared.held.evict(id),
                Room::Full => {}
            }
            // Others may make room, or be stalled, in the meantime.
            let _ = timeout(ROOM_POLL_INTERVAL, self.taken.notified()).await;
        }
    }

    /// Records the bytes that have arrived of the next event.
    pub(super) fn set_partial(&self, bytes: usize) {
        let mut queue = self.queue.borrow_mut();
        queue.partial_bytes = bytes as u64;
        self.record(&queue);
    }

    fn record(&self, queue: &Queue) {
        self.shared.held.record(|held| {
            held.hold_partial(self.id, queue.partial_bytes);
            held.hold(self.id, queue.bytes, Instant::now());
        });
    }

    fn push(&self, event: Bytes) {
        let mut queue = self.queue.borrow_mut();
        queue.bytes += event.len() as u64;
        queue.partial_bytes = queue.partial_bytes.saturating_sub(event.len() as u64);
        queue.frames.push_back(event);
        self.record(&queue);
        queue.wake_reader();
    }

    fn end(&self, end: End) {
        let mut queue = self.queue.borrow_mut();
        queue.partial_bytes = 0;
        self.record(&queue);
        if matches!(end, End::Complete) {
            self.shared.held.record(|held| held.set_whole(self.id));
        }
        queue.end = Some(end);
        queue.wake_reader();
    }

    fn log_eviction(&self, request: &str) {
        let (held_bytes, total_bytes) = self.shared.held.bytes(self.id);
        log::warn!(request, held_bytes, total_bytes; "stream gives way to others: too much of it is held");
    }

    fn drop_events(&self) {
        let mut queue = self.queue.borrow_mut();
        queue.frames.clear();
        queue.bytes = 0;
        self.record(&queue);
    }

    fn poll_next(
        &self,
        context: &Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseTruncated>>> {
        let mut queue = self.queue.borrow_mut();
        if let Some(event) = queue.frames.pop_front() {
            queue.bytes -= event.len() as u64;
            self.shared.held.record(|held| held.read(self.id, queue.bytes, Instant::now()));
            self.taken.notify_one();
            return Poll::Ready(Some(Ok(Frame::data(event))));
        }
        match queue.end.take() {
            Some(End::Complete) => Poll::Ready(None),
            Some(End::Truncated) => Poll::Ready(Some(Err(ResponseTruncated))),
            Some(End::Panicked(panic)) => {
                drop(queue);
                resume_unwind(panic)
            }
            None => {
                queue.reader = Some(context.waker().clone());
                Poll::Pending
            }
        }
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.shared.held.close(self.id);
    }
}

/// Body of a stream; dropping it ends the relay.
struct ReadAhead {
    held: Rc<Held>,
    task: JoinHandle<()>,
}

impl Drop for ReadAhead {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl hyper::body::Body for ReadAhead {
    type Data = Bytes;
    type Error = ResponseTruncated;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseTruncated>>> {
        self.held.poll_next(context)
    }
}

/// Returns the body of the response that a relay writes, and reads the stream from now on.
pub(super) fn start(mut relay: Relay) -> Body {
    let held = Held::new(&relay.shared);
    relay.held = Some(held.clone());
    let reading = held.clone();
    let request = relay.call.head.id.clone();
    let task = actix_rt::spawn(async move {
        let reading_on = AssertUnwindSafe(read_on(relay, &reading)).catch_unwind();
        let end = reading_on.await.unwrap_or_else(End::Panicked);
        let is_complete = matches!(end, End::Complete);
        reading.end(end);
        if !is_complete {
            reading.evicted.notified().await;
            reading.log_eviction(&request);
            reading.drop_events();
        }
    });
    Box::pin(ReadAhead { held, task })
}

/// Reads the stream to its end, or until it is evicted.
async fn read_on(mut relay: Relay, held: &Held) -> End {
    loop {
        let next = tokio::select! {
            biased;
            () = held.evicted.notified() => return give_way(&mut relay, held),
            next = relay.next() => next,
        };
        match next {
            Some(Ok(event)) => held.push(event),
            Some(Err(ResponseTruncated)) => return End::Truncated,
            None => return End::Complete,
        }
    }
}

/// Ends a stream to make room for others.
fn give_way(relay: &mut Relay, held: &Held) -> End {
    held.log_eviction(&relay.call.head.id);
    held.drop_events();
    let _ = relay.end(StreamEnd::HeldTooLong, "the bound on held bytes is reached");
    End::Truncated
}
