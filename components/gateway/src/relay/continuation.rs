//! Ways on of a stream whose generation no longer runs at its source.

use std::time::Duration;

use compact_str::CompactString;
use smallvec::smallvec;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use super::Relay;
use super::interruption::NotContinued;
use super::resume::ResumeError;
use crate::dialect::KvCacheRef;
use crate::eligibility::Excluded;
use crate::events::EventSplitter;
use crate::moves::{
    self, CacheCopy, Outcome, StopAndCopy, StopResult, StoppedGeneration, UnusedCopies, Way, Ways,
};
use crate::place::{accepts_return, reserve_for_return};
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
    kept: Option<CompactString>,
    unused: UnusedCopies,
    /// Engines that are not asked for a further copy, unless there are no others.
    refused: Excluded,
    /// Until when the generation may wait for an engine.
    until: Instant,
    /// Requests that were sent to engines.
    sends: u32,
}

impl Continuation {
    fn new(relay: &Relay, stopped: StoppedGeneration, source: Target) -> Self {
        let StoppedGeneration { copy, kept, ending } = stopped;
        let mut generation = Continuation {
            ways: Ways::new(copy.is_some(), kept.is_some()),
            refused: smallvec![source.id.clone()],
            source,
            copy,
            kept,
            unused: UnusedCopies::new(&relay.shared, &relay.call),
            until: moves::continue_until(&relay.call),
            sends: 0,
        };
        generation.unused.ending = ending.map(|ending| (ending, generation.source.clone()));
        generation.track_copies();
        generation
    }

    fn track_copies(&mut self) {
        if let Some(CacheCopy { reservation, cache }) = &self.copy {
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
        self.may_be_stopped |= stopped.kept.is_some() || stopped.ending.is_some();
        let mut generation = Continuation::new(self, stopped, source);
        let moved = loop {
            let takes_requests = accepts_return(&self.shared, &generation.source);
            match generation.ways.next(takes_requests) {
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
        log::info!(request = self.call.head.id.as_str(), outcome, events = self.progress.relayed; "generation moved");
        Ok(())
    }

    async fn try_way(&mut self, generation: &mut Continuation, way: Way) -> Result<(), Outcome> {
        if way == Way::NextCopy {
            return Err(self.copy_again(generation).await);
        }
        if generation.sends > 0 && !self.wait_for_retry(generation.until).await {
            return Err(Outcome::NotRun);
        }
        let (reservation, cache) = if way == Way::Source {
            let handle = generation.kept.clone().ok_or(Outcome::NotKept)?;
            let source = &generation.source;
            // The wait for the retry budget may have been too long.
            if !accepts_return(&self.shared, source) {
                return Err(Outcome::NotRun);
            }
            let reservation =
                reserve_for_return(&self.shared, &self.call, source, self.progress.relayed);
            (reservation, KvCacheRef { source: source.address, handle })
        } else {
            let copy = generation.copy.take().ok_or(Outcome::NotRun)?;
            (copy.reservation, copy.cache)
        };
        generation.sends += 1;
        let target = reservation.target.clone();
        generation.refused.push(target.id.clone());
        let handle = cache.handle.clone();
        log::info!(request = self.call.head.id.as_str(), from = generation.source.id.as_str(), to = target.id.as_str(), way:? = way, events = self.progress.relayed; "moving generation");
        let answered = {
            let asking = self.ask(reservation, Some(cache));
            tokio::pin!(asking);
            match timeout(ANSWER_TIMEOUT, &mut asking).await {
                Ok(answered) => answered,
                Err(_) => match self.end_lost_run(generation, target.clone()).await {
                    // Without its word, the engine may still answer.
                    Outcome::MayRun => asking.await,
                    outcome => return Err(outcome),
                },
            }
        };
        match answered {
            Ok(source) => {
                if way == Way::Source {
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
            Err(ResumeError::Lost) => Err(self.end_lost_run(generation, target).await),
        }
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
    /// elsewhere.
    async fn end_lost_run(&self, generation: &mut Continuation, engine: Target) -> Outcome {
        let to = generation.source.address;
        match moves::send_stop(&self.shared, &self.call, &engine, to).await {
            StopResult::NotRunning | StopResult::Unreachable => Outcome::NotRun,
            StopResult::Copied(handle) | StopResult::Kept(handle) => {
                generation.source = engine;
                generation.copy = None;
                generation.kept = Some(handle);
                generation.track_copies();
                Outcome::Stopped
            }
            StopResult::Refused | StopResult::Unknown => Outcome::MayRun,
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
