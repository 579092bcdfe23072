//! How streams end: one line and one count for each.

use std::fmt;

use super::Relay;
use crate::timing::elapsed_ms;

/// Why a stream ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum StreamEnd {
    /// The engine ended it, or another gateway that relayed it.
    Complete,
    /// The caller closed its connection.
    CallerLeft,
    /// The caller's deadline or the route's timeout has passed.
    TimedOut,
    /// The gateway stops, and its grace period is over.
    GraceOver,
    /// The gateway's task of the stream panicked.
    Panicked,
    /// The engine broke it off, and it may not run again.
    BrokenOff,
    /// The engine ended or left it, and there is no way to go on with it.
    NotContinued,
    /// Another gateway that relayed it has lost it.
    LostByPeer,
    /// Another gateway may have stopped its generation.
    StoppedByPeer,
    /// The gateway at which it began may have taken it back.
    HandedBack,
    /// Too much of it was held for its caller, and it gave way to other streams.
    HeldTooLong,
    /// No engine of its software version is left.
    VersionGone,
    /// No engine has room for it.
    NoPlace,
    /// Engines crash under it.
    Quarantined,
}

impl StreamEnd {
    /// Returns the text of log lines and the label of the metric.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            StreamEnd::Complete => "complete",
            StreamEnd::CallerLeft => "caller left",
            StreamEnd::TimedOut => "timed out",
            StreamEnd::GraceOver => "grace period over",
            StreamEnd::Panicked => "panic",
            StreamEnd::BrokenOff => "engine crashed",
            StreamEnd::NotContinued => "engine did not go on",
            StreamEnd::LostByPeer => "lost by another gateway",
            StreamEnd::StoppedByPeer => "stopped by another gateway",
            StreamEnd::HandedBack => "handed back",
            StreamEnd::HeldTooLong => "caller reads too slowly",
            StreamEnd::VersionGone => "the stream's version is gone",
            StreamEnd::NoPlace => "no place to go on",
            StreamEnd::Quarantined => "upstreams crash under it",
        }
    }

    /// Returns who ended the stream.
    pub(crate) fn ended_by(self) -> &'static str {
        match self {
            StreamEnd::Complete | StreamEnd::BrokenOff => "engine",
            StreamEnd::CallerLeft => "caller",
            StreamEnd::LostByPeer | StreamEnd::StoppedByPeer | StreamEnd::HandedBack => "peer",
            StreamEnd::TimedOut
            | StreamEnd::GraceOver
            | StreamEnd::Panicked
            | StreamEnd::NotContinued
            | StreamEnd::HeldTooLong
            | StreamEnd::VersionGone
            | StreamEnd::NoPlace
            | StreamEnd::Quarantined => "gateway",
        }
    }
}

impl fmt::Display for StreamEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl Relay {
    /// Logs and counts the end of the stream; `error` says what led to it.
    pub(super) fn record_end(&mut self, end: StreamEnd, error: &str) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        self.shared.metrics.streams_ended.with_label_values(&[end.as_str()]).inc();
        let source = self.source.as_ref();
        let upstream = source.map_or("", |source| source.reservation.target.id.as_str());
        let peer = self.peer.as_ref().map_or("", |peer| peer.vm().as_str());
        let progress = &self.progress;
        log::info!(request = self.call.head.id.as_str(), upstream, peer, outcome = end.as_str(), ended_by = end.ended_by(), error, events = progress.relayed, bytes = progress.bytes, since_event_ms = elapsed_ms(progress.last_event_at), longest_pause_ms = progress.longest_pause.as_millis(), r#move = self.move_state.name(), set = self.shared.table().number(), ran_ms = elapsed_ms(self.call.arrived); "stream ended");
    }
}
