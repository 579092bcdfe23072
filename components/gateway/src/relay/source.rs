//! Engine that a stream comes from, and what a relay has to react to.

use std::future::pending;
use std::io;

use bytes::Bytes;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::response;
use http_body_util::BodyExt as _;
use hyper::body::{Frame, Incoming};

use super::probe::Probe;
use crate::exchange::UpstreamResponse;
use crate::moves::MoveEvent;
use crate::peer::HandBack;
use crate::pool::Connection;
use crate::reservation::Reservation;

/// Engine that the stream currently comes from.
#[derive(Debug)]
pub(super) struct Source {
    pub(super) body: Incoming,
    pub(super) connection: Connection,
    pub(super) reservation: Reservation,
    pub(super) probe: Probe,
    /// The response says itself where it ends, so that its end is not that of a connection.
    pub(super) is_framed: bool,
    /// It ended, broke off or is left: nothing that it sends counts any more.
    pub(super) has_ended: bool,
}

impl Source {
    /// Returns the head of a response and the source that its body is.
    pub(super) fn new(
        response: UpstreamResponse,
        reservation: Reservation,
    ) -> (response::Parts, Self) {
        let UpstreamResponse { head, body, connection } = response;
        let is_framed = head.headers.contains_key(TRANSFER_ENCODING)
            || head.headers.contains_key(CONTENT_LENGTH);
        let probe = Probe::default();
        let source = Source { body, connection, reservation, probe, is_framed, has_ended: false };
        (head, source)
    }

    /// Waits until the engine sends something or ends its stream; forever once the connection is lost.
    pub(super) async fn next_sign(&mut self) -> Step {
        match Step::from_frame(self.body.frame().await) {
            Step::Interrupted(_) => {
                self.has_ended = true;
                pending().await
            }
            step => step,
        }
    }
}

/// What the relay has to react to next.
pub(super) enum Step {
    Data(Bytes),
    /// The source ended the stream: it is complete, or the generation was stopped.
    End,
    /// The connection to the source failed.
    Interrupted(String),
    /// Upstreams started to drain or are gone.
    Departures,
    /// The move of the generation advanced.
    Move(MoveEvent),
    /// The gateway that relays the stream offers to hand it back.
    HandBack(HandBack),
    /// The stream may be taken back.
    TakeBack,
    /// No event has arrived for a while.
    Stalled,
    /// Upstreams are out of reach, and no data arrives.
    CutOff,
    /// The engine of a stalled stream has accepted a connection, or does not.
    Probed(io::Result<Connection>),
    TimedOut,
}

impl Step {
    /// Returns what the next frame of the source means.
    pub(super) fn from_frame(frame: Option<Result<Frame<Bytes>, hyper::Error>>) -> Self {
        match frame {
            Some(Ok(frame)) => Step::Data(frame.into_data().unwrap_or_default()),
            Some(Err(error)) => Step::Interrupted(error.to_string()),
            None => Step::End,
        }
    }
}
