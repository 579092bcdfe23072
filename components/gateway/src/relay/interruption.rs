//! Reaction to a source that ends, breaks off or does not go on: the stream continues elsewhere,
//! stays at its engine or ends.

use super::ending::StreamEnd;
use super::{Relay, StoppedBy};
use crate::answer::ResponseTruncated;
use crate::crashes;
use crate::health::record_failure;
use crate::moves::{MoveState, SourceEnd};
use crate::place::is_draining_or_gone;

/// No engine or gateway continues the stream; how it ends unless its source goes on.
#[derive(Clone, Copy, Debug)]
pub(super) struct NotContinued(pub(super) StreamEnd);

impl Default for NotContinued {
    fn default() -> Self {
        NotContinued(StreamEnd::NotContinued)
    }
}

/// What the end of the source's stream means.
pub(super) enum Ended {
    /// The stream is complete.
    Complete,
    /// The stream is not complete; it goes on, or is truncated.
    Continued(Result<(), ResponseTruncated>),
}

impl Relay {
    /// Reacts to the end of the source's stream.
    pub(super) async fn end_of_source(&mut self) -> Ended {
        self.end_source();
        let is_framed = self.source.as_ref().is_none_or(|source| source.is_framed);
        let is_in_order = is_framed && self.find_broken_end().is_none();
        let source_end = match (self.stopped_by, is_in_order) {
            // A generation that was stopped does not end its response.
            (None | Some(StoppedBy::Command), true) => SourceEnd::InOrder,
            (None, false) => SourceEnd::WithConnection,
            // The other gateway may know that it was stopped.
            (Some(StoppedBy::Command), false) | (Some(StoppedBy::Peer), _) => {
                SourceEnd::Interrupted
            }
        };
        if let Some((stopped, source)) = self.take_stopped(source_end).await {
            let continued = Box::pin(self.go_on(stopped, source)).await;
            return Ended::Continued(self.continue_or_end(continued, "stopped for a move"));
        }
        if source_end == SourceEnd::Interrupted {
            let end = match self.stopped_by {
                Some(StoppedBy::Peer) => StreamEnd::StoppedByPeer,
                Some(StoppedBy::Command) | None => StreamEnd::NotContinued,
            };
            return Ended::Continued(Err(self.end(end, "the generation may have been stopped")));
        }
        match self.find_broken_end() {
            Some(_) if Box::pin(self.confirm_end()).await => Ended::Complete,
            Some(error) => Ended::Continued(self.interrupt(error).await),
            None => Ended::Complete,
        }
    }

    /// Returns why the end of the source is not the end of the stream. A generation has at
    /// least one event, and a run that adds none to its stream has not gone on with it.
    pub(super) fn find_broken_end(&self) -> Option<&'static str> {
        match (self.events.has_partial_event(), self.events_of_run) {
            (true, _) => Some("ended inside an event"),
            (false, 0) => Some("ended without an event"),
            (false, _) => None,
        }
    }

    /// Leaves an engine that did not go on with the stream.
    pub(super) async fn leave_wrong_run(&mut self) -> Result<(), ResponseTruncated> {
        self.record_engine_failure("stream not continued");
        // The copy of a wrong run's KV cache continues that run.
        self.discard_move();
        self.end_source();
        let continued = Box::pin(self.recover()).await;
        self.continue_or_end(continued, "events do not follow on")
    }

    /// Leaves an engine that sends bytes without end, and no new events.
    pub(super) async fn leave_flooding_engine(&mut self) -> Result<(), ResponseTruncated> {
        self.record_engine_failure("no progress");
        self.end_source();
        let continued = Box::pin(self.recover()).await;
        self.continue_or_end(continued, "engine sends no new events")
    }

    /// Ignores what the source still sends; its connection closes once another one goes on.
    pub(super) fn end_source(&mut self) {
        self.call.hand_back.set(None);
        if let Some(source) = &mut self.source {
            source.has_ended = true;
        }
    }

    /// Goes on with a stream whose engine broke it off, if that is possible.
    pub(super) async fn interrupt(&mut self, error: &str) -> Result<(), ResponseTruncated> {
        if self.call.hand_back.is_offered() && matches!(self.move_state, MoveState::Idle) {
            // The other gateway may have stopped the generation, and continues the stream.
            return Err(self.end(StreamEnd::HandedBack, error));
        }
        self.record_engine_failure("stream broken off");
        self.end_source();
        if !self.may_run_again().await {
            return Err(self.end(StreamEnd::BrokenOff, error));
        }
        let broken_off = match (&self.peer, &self.move_state) {
            (Some(_), _) => StreamEnd::LostByPeer,
            (None, MoveState::Idle | MoveState::Copying(..)) => StreamEnd::BrokenOff,
            (None, _) => StreamEnd::NotContinued,
        };
        let continued = Box::pin(self.recover()).await.map_err(|NotContinued(end)| match end {
            StreamEnd::NotContinued => NotContinued(broken_off),
            _ => NotContinued(end),
        });
        self.continue_or_end(continued, error)
    }

    /// Ends the stream if nothing continues it and its source has ended.
    pub(super) fn continue_or_end(
        &mut self,
        continued: Result<(), NotContinued>,
        error: &str,
    ) -> Result<(), ResponseTruncated> {
        let Err(NotContinued(end)) = continued else { return Ok(()) };
        if self.has_live_source() {
            log::info!(request = self.call.head.id.as_str(), error, reason = end.as_str(), events = self.progress.relayed; "stream stays at its engine");
            self.start_move();
            return Ok(());
        }
        Err(self.end(end, error))
    }

    /// Returns whether the stream has an engine that may go on with it.
    pub(super) fn has_live_source(&self) -> bool {
        self.source.as_ref().is_some_and(|source| !source.has_ended)
    }

    /// Ends the stream before its last event.
    pub(super) fn end(&mut self, end: StreamEnd, error: &str) -> ResponseTruncated {
        self.record_end(end, error);
        self.discard_move();
        self.source = None;
        self.peer = None;
        ResponseTruncated
    }

    /// Returns whether an interrupted stream may go on at another engine: not if the
    /// engine may have crashed because of it.
    async fn may_run_again(&self) -> bool {
        match &self.source {
            Some(source) if self.events_of_run == 0 => {
                let target = &source.reservation.target;
                let sent = source.reservation.reserved_at();
                crashes::handle_break_off(&self.shared, &self.call, target, sent).await
            }
            _ => true,
        }
    }

    /// Counts a failure of the engine, unless it is known to leave.
    fn record_engine_failure(&self, reason: &str) {
        let Some(source) = &self.source else { return };
        let target = &source.reservation.target;
        if !is_draining_or_gone(&self.shared, target) {
            record_failure(&self.shared, target, reason);
        }
    }
}
