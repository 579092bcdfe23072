//! Requests whose connection ends before their response is complete: one line and one count
//! for each.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use compact_str::CompactString;
use tokio::time::Instant;

use crate::shared::Shared;
use crate::timing::elapsed_ms;

/// How far a request has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Stage {
    ReadingHead,
    ReadingBody,
    /// It was read, and its response has not begun.
    Waiting,
    Response,
}

impl Stage {
    /// Returns the text of log lines and the label of the metric.
    fn as_str(self) -> &'static str {
        match self {
            Stage::ReadingHead => "reading head",
            Stage::ReadingBody => "reading body",
            Stage::Waiting => "waiting",
            Stage::Response => "response",
        }
    }
}

/// Why a connection ended with a request in progress.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Cause {
    /// The caller closed the connection, or its half of it: these look the same.
    CallerClosed,
    /// The connection failed while it was read: reset, or timed out by the kernel.
    ReadFailed,
    WriteFailed,
    /// The rest of a head did not arrive in time.
    HeadTimedOut,
    /// The caller does not follow the protocol.
    ProtocolError,
    /// The response was broken off by this gateway: its source ended early.
    BrokenOff,
    Panic,
    /// The gateway stops, and its grace period is over.
    GraceOver,
    /// The gateway stopped without a grace period.
    Stopped,
    /// The HTTP library ended the connection for another reason.
    Other,
}

impl Cause {
    /// Returns the text of log lines and the label of the metric.
    fn as_str(self) -> &'static str {
        match self {
            Cause::CallerClosed => "caller closed",
            Cause::ReadFailed => "read failed",
            Cause::WriteFailed => "write failed",
            Cause::HeadTimedOut => "head timed out",
            Cause::ProtocolError => "protocol error",
            Cause::BrokenOff => "response broken off",
            Cause::Panic => "panic",
            Cause::GraceOver => "grace period over",
            Cause::Stopped => "gateway stopped",
            Cause::Other => "other",
        }
    }
}

/// What is known of the end of a response's body.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum BodyEnd {
    #[default]
    Pending,
    /// All of it was handed to the connection.
    Complete,
    BrokenOff,
    Panic,
}

/// How reading from a connection ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ReadEnd {
    Closed,
    Failed,
}

#[derive(Debug)]
struct Current {
    /// Empty until the head was parsed.
    id: CompactString,
    began: Instant,
    stage: Stage,
    body_end: BodyEnd,
}

/// Request in progress on a caller's connection; there is at most one.
#[derive(Debug)]
pub(crate) struct Progress {
    shared: Rc<Shared>,
    current: RefCell<Option<Current>>,
    /// When the first bytes of a head arrived that is not complete.
    head_began: Cell<Option<Instant>>,
    read_end: Cell<Option<ReadEnd>>,
    write_failed: Cell<bool>,
}

impl Progress {
    pub(crate) fn new(shared: &Rc<Shared>) -> Rc<Self> {
        Rc::new(Progress {
            shared: shared.clone(),
            current: RefCell::default(),
            head_began: Cell::default(),
            read_end: Cell::default(),
            write_failed: Cell::default(),
        })
    }

    /// Records bytes from the caller, which belong to a head if no request is in progress.
    pub(crate) fn record_bytes(&self) {
        if self.head_began.get().is_none() && self.current.borrow().is_none() {
            self.head_began.set(Some(Instant::now()));
        }
    }

    pub(crate) fn record_read_end(&self, end: ReadEnd) {
        self.read_end.set(Some(end));
    }

    pub(crate) fn record_write_failure(&self) {
        self.write_failed.set(true);
    }

    /// Records that all bytes handed to the connection were written.
    pub(crate) fn record_flush(&self) {
        let mut current = self.current.borrow_mut();
        if current.as_ref().is_some_and(|request| request.body_end == BodyEnd::Complete) {
            *current = None;
        }
    }

    /// Begins a request whose head was read.
    pub(crate) fn begin(&self) {
        let began = self.head_began.take().unwrap_or_else(Instant::now);
        let stage = Stage::ReadingBody;
        let (id, body_end) = (CompactString::default(), BodyEnd::Pending);
        *self.current.borrow_mut() = Some(Current { id, began, stage, body_end });
    }

    pub(crate) fn set_id(&self, id: &CompactString) {
        if let Some(request) = &mut *self.current.borrow_mut() {
            request.id = id.clone();
        }
    }

    pub(crate) fn set_stage(&self, stage: Stage) {
        if let Some(request) = &mut *self.current.borrow_mut() {
            request.stage = stage;
        }
    }

    /// Records how the body of the response ended, as it is known first.
    pub(crate) fn record_body_end(&self, end: BodyEnd) {
        if let Some(request) = &mut *self.current.borrow_mut()
            && request.body_end == BodyEnd::Pending
        {
            request.body_end = end;
        }
    }

    /// Returns the id of the request in progress; empty until it is known.
    pub(crate) fn id(&self) -> CompactString {
        self.current.borrow().as_ref().map(|request| request.id.clone()).unwrap_or_default()
    }

    /// Returns the stage of the request in progress; empty if there is none.
    pub(crate) fn stage(&self) -> &'static str {
        self.current.borrow().as_ref().map_or("", |request| request.stage.as_str())
    }

    /// Records a request whose body breaks off or is malformed. It gets a response all the
    /// same, as its caller may still read.
    pub(crate) fn record_broken_body(&self, error: &hyper::Error) {
        self.record(self.cause_of(Some(error)), Some(error));
    }

    /// Records the request in progress, if there is one, when its connection has ended.
    pub(crate) fn record_connection_end(&self, error: Option<&hyper::Error>) {
        self.record(self.cause_of(error), error);
    }

    fn cause_of(&self, error: Option<&hyper::Error>) -> Cause {
        let body_end = self.current.borrow().as_ref().map(|request| request.body_end);
        match (body_end, self.read_end.get()) {
            (Some(BodyEnd::Panic), _) => Cause::Panic,
            (Some(BodyEnd::BrokenOff), _) => Cause::BrokenOff,
            _ if self.write_failed.get() => Cause::WriteFailed,
            (_, Some(ReadEnd::Failed)) => Cause::ReadFailed,
            (_, Some(ReadEnd::Closed)) => Cause::CallerClosed,
            (_, None) => match error {
                Some(error) if error.is_timeout() => Cause::HeadTimedOut,
                Some(error) if error.is_parse() => Cause::ProtocolError,
                // A malformed chunk.
                Some(_) if self.is_at(Stage::ReadingBody) => Cause::ProtocolError,
                _ => Cause::Other,
            },
        }
    }

    fn is_at(&self, stage: Stage) -> bool {
        self.current.borrow().as_ref().is_some_and(|request| request.stage == stage)
    }

    fn record(&self, cause: Cause, error: Option<&hyper::Error>) {
        let head_began = self.head_began.take();
        let (id, stage, began) = match (self.current.take(), head_began) {
            (Some(request), _) => (request.id, request.stage, request.began),
            // An incomplete head that ends without an error is the rest of a body that was
            // not read to its end.
            (None, Some(began)) if error.is_some() => ("".into(), Stage::ReadingHead, began),
            (None, _) => return,
        };
        let labels = [cause.as_str(), stage.as_str()];
        self.shared.metrics.unfinished_requests.with_label_values(&labels).inc();
        let error = error.map(hyper::Error::to_string).unwrap_or_default();
        log::info!(request = id.as_str(), cause = cause.as_str(), stage = stage.as_str(), error = error.as_str(), ran_ms = elapsed_ms(began), set = self.shared.table().number(); "connection ended before the response was complete");
    }
}

/// Records the request in progress when the task of its connection is dropped. It has to be
/// dropped before the connection, whose parts change the progress as they are dropped.
pub(crate) struct DropGuard(pub(crate) Rc<Progress>);

impl Drop for DropGuard {
    fn drop(&mut self) {
        let progress = &self.0;
        let is_grace_over = *progress.shared.ending.borrow();
        let stopped = if is_grace_over { Cause::GraceOver } else { Cause::Stopped };
        progress.record(if std::thread::panicking() { Cause::Panic } else { stopped }, None);
    }
}
