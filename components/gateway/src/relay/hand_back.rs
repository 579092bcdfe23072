//! Return of a stream from a gateway that is about to stop to the one at which it began.

use std::future::pending;
use std::time::Duration;

use schema::RepeatKind;
use smallvec::smallvec;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until, timeout};

use super::Relay;
use super::interruption::NotContinued;
use crate::moves::{self, StopAndCopy};
use crate::peer::HandBack;

/// Pause before the stop command to an engine that did not confirm it is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Wait for an engine that runs the request again, while the other gateway still relays it.
const RUN_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Offer of the gateway that relays a stream to hand it back.
#[derive(Debug)]
pub(super) struct Offer {
    hand_back: HandBack,
    /// When it is accepted.
    due: Instant,
}

impl Offer {
    pub(super) fn new(hand_back: HandBack) -> Self {
        Offer { hand_back, due: Instant::now() }
    }
}

/// Waits until the stream may be taken back: there is an offer, and upstreams are in reach.
pub(super) async fn due(offer: &Option<Offer>, cut_off: &mut watch::Receiver<bool>) {
    let Some(offer) = offer else { return pending().await };
    sleep_until(offer.due).await;
    if cut_off.wait_for(|cut_off| !*cut_off).await.is_err() {
        pending().await
    }
}

impl Relay {
    /// Records where the generation runs, for the gateway that forwarded the call.
    pub(super) fn offer_hand_back(&self) {
        // The end of a response without framing does not say whether the generation was stopped.
        let source = self.source.as_ref().filter(|source| source.is_framed);
        if let Some(source) = source
            && self.call.from_peer
            && self.events_of_run == 1
        {
            let source = source.reservation.target.clone();
            self.call.hand_back.set(Some(HandBack { source, runs: self.runs }));
        }
    }

    /// Takes the stream back from the gateway that relays it, if it was offered; returns whether
    /// it continues here. `Err` if its generation was stopped and no engine continues it.
    pub(super) async fn take_back(&mut self) -> Result<bool, NotContinued> {
        if self.peer.is_none() || !self.progress.is_resumable() {
            return Ok(false);
        }
        let Some(Offer { hand_back, .. }) = self.hand_back.take() else { return Ok(false) };
        let HandBack { source, runs } = hand_back.clone();
        self.origin = source.origin.clone();
        self.runs = runs;
        let moves = self.call.requirements.engine.as_ref().is_some_and(|engine| engine.moves);
        if !moves {
            return Ok(self.run_here().await);
        }
        let (shared, call, events) = (&self.shared, &self.call, self.progress.relayed);
        let (excluded, now) = (smallvec![source.id.clone()], Instant::now());
        let stopping = moves::stop_and_copy(shared, call, &source, &excluded, events, now).await;
        let stopping = match stopping {
            StopAndCopy::NoPlace => moves::stop_at_source(shared, call, &source).await,
            stopping => stopping,
        };
        match stopping {
            StopAndCopy::Stopped(stopped) => {
                Box::pin(self.go_on(*stopped, source)).await?;
                log::info!(request = self.call.head.id.as_str(), events = self.progress.relayed; "stream taken back from another gateway");
                Ok(true)
            }
            StopAndCopy::NotRunning
            | StopAndCopy::NoPlace
            | StopAndCopy::Refused
            | StopAndCopy::Unknown => {
                self.hand_back = Some(Offer { hand_back, due: Instant::now() + RETRY_PAUSE });
                Ok(false)
            }
        }
    }

    /// Runs the request again from the last event on, if it may; returns whether it runs here.
    async fn run_here(&mut self) -> bool {
        if self.call.route.kind() != RepeatKind::ResumableStream
            || self.runs >= self.call.route.max_attempts.max(1)
            || !self.shared.try_retry(&self.call.requirements.service)
        {
            return false;
        }
        let running = timeout(RUN_TIMEOUT, Box::pin(self.run_again(None))).await;
        match running {
            Ok(result) => result.is_ok(),
            Err(_) => {
                self.runs += 1;
                false
            }
        }
    }
}
