//! Ways on of a stream whose generation no longer runs at its source.

use std::time::Duration;

use compact_str::CompactString;
use smallvec::smallvec;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use super::interruption::NotContinued;
use super::resume::ResumeError;
use super::{Relay, Source, StoppedBy};
use crate::dialect::KvCacheRef;
use crate::eligibility::Excluded;
use crate::events::EventSplitter;
use crate::moves::{
    self, CacheCopy, Outcome, StopAndCopy, StopResult, StoppedGeneration, UnusedCopies, Way, Ways,
};
use crate::place::{accepts_return, reserve_for_return};
use crate::reservation::Reservation;
use crate::target::Target;

/// Interval at which a request that the retry budget does not allow asks again.
const BUDGET_POLL_INTERVAL: Duration = Duration::from_millis(40);

/// Wait for the answer of an engine that goes on from a KV cache, and so admits the request
/// first, before it is told to stop the generation.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Pause before an engine that refused the generation is offered it again.
const OFFER_PAUSE: Duration = Duration::from_millis(200);

/// What is known of a stopped generation while engines are asked to go on with it.
struct Continuation {
    ways: Ways,
    /// Engine that ran the generation last.
    source: Target,
    copy: Option<CacheCopy>,
    /// Copy that was offered to the engine that holds it.
    offered: Option<(Target, KvCacheRef)>,
    kept: Option<CompactString>,
    unused: UnusedCopies,
    /// Engines that are not asked for a further copy, unless there are no others.
    refused: Excluded,
    /// Source that may run the generation later.
    unconfirmed: Option<Target>,
    /// Until when the generation may wait for an engine.
    until: Instant,
    /// Requests that were sent to engines.
    sends: u32,
}

impl Continuation {
    fn new(relay: &Relay, stopped: StoppedGeneration, source: Target) -> Self {
        let StoppedGeneration { copy, kept, ending, may_run, .. } = stopped;
        let mut generation = Continuation {
            ways: Ways::new(copy.is_some(), kept.is_some()),
            refused: smallvec![source.id.clone()],
            unconfirmed: may_run.then(|| source.clone()),
            source,
            copy,
            offered: None,
            kept,
            unused: UnusedCopies::new(&relay.shared, &relay.call),
            until: moves::continue_until(&relay.call),
            sends: 0,
        };
        generation.unused.ending = ending.map(|ending| (ending, generation.source.clone()));
        generation.track_copies();
        generation
    }

    /// Returns whether the time for another offer of the same copy is over.
    fn is_late(&self) -> bool {
        self.ways.repeats() && Instant::now() + OFFER_PAUSE > self.until
    }

    fn track_copies(&mut self) {
        if let Some(CacheCopy { reservation, cache, .. }) = &self.copy {
            self.unused.add(&self.source, &cache.handle, Some(&reservation.target));
        }
        if let Some(handle) = &self.kept {
            self.unused.add(&self.source, handle, None);
        }
    }

    /// Waits until the source has said whether it keeps the KV cache, if that is to come; returns
    /// whether it does.
    async fn wait_for_source(&mut self) -> bool {
        let Some((mut ending, _)) = self.unused.ending.take() else { return false };
        let result = timeout_at(self.until, ending.wait()).await.ok().flatten();
        let Some(StopResult::Copied(handle) | StopResult::Kept(handle)) = result else {
            return false;
        };
        self.unconfirmed = None;
        self.kept = Some(handle);
        self.ways.keep();
        self.track_copies();
        true
    }
}

impl Relay {
    /// Goes on with a generation that no longer runs at `source`, at the first engine that takes
    /// it. Until then the relay keeps its source.
    pub(super) async fn go_on(
        &mut self,
        stopped: StoppedGeneration,
        source: Target,
    ) -> Result<(), NotContinued> {
        // The stream of a source that may have stopped is not complete when it ends.
        if stopped.may_be_stopped {
            self.stopped_by.get_or_insert(StoppedBy::Command);
        }
        let mut generation = Continuation::new(self, stopped, source);
        let moved = loop {
            let takes_requests = accepts_return(&self.shared, &generation.source);
            match generation.ways.next(takes_requests) {
                Some(_)
                    if generation.ways.repeats_or_ends(takes_requests)
                        && generation.wait_for_source().await => {}
                Some(Way::Copy) if generation.is_late() => break None,
                Some(way) => match self.try_way(&mut generation, way).await {
                    Ok(()) => break Some(way),
                    Err(outcome) => {
                        if outcome == Outcome::MayRun {
                            generation.unused.keep_all();
                        }
                        generation.ways.record(way, outcome);
                    }
                },
                None if generation.wait_for_source().await => {}
                None => break None,
            }
        };
        let outcome = match moved {
            Some(Way::Source) => "returned",
            Some(Way::Copy | Way::NextCopy) => "moved",
            None => "failed",
        };
        self.shared.metrics.moves.with_label_values(&[outcome]).inc();
        if moved.is_none() {
            return Err(NotContinued::default());
        }
        self.cancel_at_source(&mut generation);
        log::info!(request = self.call.head.id.as_str(), outcome, events = self.progress.relayed; "generation moved");
        Ok(())
    }

    /// Cancels the generation at a source that has not confirmed the stop, now that the generation
    /// runs elsewhere.
    fn cancel_at_source(&self, generation: &mut Continuation) {
        if let Some((ending, source)) = generation.unused.ending.take() {
            moves::start_cancellation_after(&self.shared, &self.call, &source, ending);
        } else if let Some(source) = &generation.unconfirmed {
            moves::start_cancellation(&self.shared, &self.call, source);
        }
    }

    async fn try_way(&mut self, generation: &mut Continuation, way: Way) -> Result<(), Outcome> {
        if way == Way::NextCopy {
            return Err(self.copy_again(generation).await);
        }
        if generation.sends > 0 && !self.wait_for_retry(generation.until).await {
            return Err(Outcome::NotRun);
        }
        let (reservation, cache) = if way == Way::Source {
            self.prepare_return(generation)?
        } else {
            self.prepare_offer(generation).await?
        };
        generation.sends += 1;
        let target = reservation.target.clone();
        generation.refused.push(target.id.clone());
        let handle = cache.handle.clone();
        log::info!(request = self.call.head.id.as_str(), from = generation.source.id.as_str(), to = target.id.as_str(), way:? = way, events = self.progress.relayed; "moving generation");
        let was_cancelled = moves::withdraw_cancellation(&self.shared, &self.call, &target).await;
        let asked = self.ask_to_go_on(generation, way, reservation, cache).await;
        let is_refused = matches!(asked, Ok(Err(ResumeError::NotRun | ResumeError::Unreachable)));
        if was_cancelled && is_refused {
            moves::start_cancellation(&self.shared, &self.call, &target);
        }
        match asked? {
            Ok(source) => {
                if way == Way::Source {
                    self.avoided = generation.refused.clone();
                    generation.unused.keep_at_source();
                } else {
                    generation.unused.keep(&handle);
                }
                self.adopt(source, EventSplitter::default());
                Ok(())
            }
            Err(ResumeError::NotRun) => Err(Outcome::NotRun),
            Err(ResumeError::Unreachable) if way == Way::Source => Err(Outcome::NotKept),
            Err(ResumeError::Unreachable) => Err(Outcome::NotRun),
            Err(ResumeError::Failed) => Err(Outcome::MayRun),
            Err(ResumeError::Lost) => {
                let ended = self.end_run(generation, &target).await;
                Err(self.leave(&target, ended.unwrap_or(Outcome::NotRun)))
            }
        }
    }

    /// Reserves a slot at the source, with the KV cache that it keeps.
    fn prepare_return(
        &self,
        generation: &Continuation,
    ) -> Result<(Reservation, KvCacheRef), Outcome> {
        let handle = generation.kept.clone().ok_or(Outcome::NotKept)?;
        let source = &generation.source;
        // The wait for the retry budget may have been too long.
        if !accepts_return(&self.shared, source) {
            return Err(Outcome::NotRun);
        }
        Ok((self.reserve_again(source), KvCacheRef { source: source.address, handle }))
    }

    /// Returns the slot and the copy at another engine; reserves the slot again if the copy was
    /// refused before.
    async fn prepare_offer(
        &self,
        generation: &mut Continuation,
    ) -> Result<(Reservation, KvCacheRef), Outcome> {
        if generation.ways.repeats() {
            sleep(OFFER_PAUSE).await;
        }
        let (reservation, cache) = match (generation.copy.take(), generation.offered.take()) {
            (Some(copy), _) => (copy.reservation, copy.cache),
            (None, Some((holder, cache))) => (self.reserve_again(&holder), cache),
            (None, None) => return Err(Outcome::NotRun),
        };
        generation.offered = Some((reservation.target.clone(), cache.clone()));
        Ok((reservation, cache))
    }

    /// Asks an engine to go on. If it is silent and there is another way, it is told to stop the
    /// generation; `Err` with the outcome if it does not run it then.
    async fn ask_to_go_on(
        &self,
        generation: &mut Continuation,
        way: Way,
        reservation: Reservation,
        cache: KvCacheRef,
    ) -> Result<Result<Source, ResumeError>, Outcome> {
        let target = reservation.target.clone();
        let asking = self.ask(reservation, Some(cache));
        tokio::pin!(asking);
        if let Ok(answered) = timeout(ANSWER_TIMEOUT, &mut asking).await {
            return Ok(answered);
        }
        let mut others = generation.ways.clone();
        others.record(way, Outcome::NotRun);
        // The request may be queued, so that the engine knows of no run.
        if others.repeats_or_ends(accepts_return(&self.shared, &generation.source)) {
            return Ok(asking.await);
        }
        match self.end_run(generation, &target).await {
            // Without its word, the engine may still answer.
            None | Some(Outcome::MayRun) => Ok(asking.await),
            Some(outcome) => Err(self.leave(&target, outcome)),
        }
    }

    /// Leaves an engine that was sent the generation, and cancels it there if the engine does not
    /// run it: its request may be queued.
    fn leave(&self, engine: &Target, outcome: Outcome) -> Outcome {
        if outcome == Outcome::NotRun {
            moves::start_cancellation(&self.shared, &self.call, engine);
        }
        outcome
    }

    /// Counts the generation at an engine that knows it.
    fn reserve_again(&self, engine: &Target) -> Reservation {
        reserve_for_return(&self.shared, &self.call, engine, self.progress.relayed)
    }

    /// Has the source copy the KV cache that it keeps to one more engine: one that has not
    /// refused the generation, if there is any.
    async fn copy_again(&self, generation: &mut Continuation) -> Outcome {
        let source = generation.source.clone();
        let (shared, call, events) = (&self.shared, &self.call, self.progress.relayed);
        let now = Instant::now();
        let mut stopped =
            moves::stop_and_copy(shared, call, &source, &generation.refused, events, now).await;
        if matches!(stopped, StopAndCopy::NoPlace) {
            sleep(OFFER_PAUSE).await;
            let (excluded, until) = (smallvec![source.id.clone()], generation.until);
            stopped = moves::stop_and_copy(shared, call, &source, &excluded, events, until).await;
        }
        match stopped {
            StopAndCopy::Stopped(stopped) => {
                generation.kept = stopped.kept.or(generation.kept.take());
                generation.copy = stopped.copy;
                generation.track_copies();
                if generation.copy.is_some() { Outcome::Copied } else { Outcome::NotRun }
            }
            StopAndCopy::NotRunning => Outcome::NotKept,
            StopAndCopy::NoPlace | StopAndCopy::Refused | StopAndCopy::Unknown => Outcome::NotRun,
        }
    }

    /// Stops the generation at an engine that may have begun to run it, so that it may go on
    /// elsewhere; `None` if the engine accepts no connection.
    async fn end_run(&self, generation: &mut Continuation, engine: &Target) -> Option<Outcome> {
        let to = generation.source.address;
        match moves::send_stop(&self.shared, &self.call, engine, to).await {
            StopResult::Unreachable => None,
            StopResult::NotRunning => Some(Outcome::NotRun),
            StopResult::Copied(handle) | StopResult::Kept(handle) => {
                generation.source = engine.clone();
                generation.copy = None;
                generation.kept = Some(handle);
                generation.track_copies();
                Some(Outcome::Stopped)
            }
            StopResult::Refused | StopResult::Unknown => Some(Outcome::MayRun),
        }
    }

    /// Waits until the retry budget allows one more request; `false` if it does not in time.
    async fn wait_for_retry(&self, until: Instant) -> bool {
        while !self.shared.try_retry(&self.call.requirements.service) {
            if Instant::now() + BUDGET_POLL_INTERVAL > until {
                log::info!(request = self.call.head.id.as_str(); "retry budget does not allow to go on with the stream");
                return false;
            }
            sleep(BUDGET_POLL_INTERVAL).await;
        }
        true
    }
}
