//! Ways on of a stream whose generation no longer runs at its source.

use std::time::Duration;

use compact_str::CompactString;
use smallvec::smallvec;
use tokio::time::{Instant, sleep, timeout_at};

use super::Relay;
use super::interruption::NotContinued;
use super::resume::ResumeError;
use crate::dialect::KvCacheRef;
use crate::eligibility::Excluded;
use crate::moves::{
    self, CacheCopy, Outcome, PendingTask, StopAndCopy, StopResult, StoppedGeneration, Way, Ways,
};
use crate::place::{accepts_return, reserve_for_return};
use crate::target::Target;

/// Interval at which a request that the retry budget does not allow asks again.
const BUDGET_POLL_INTERVAL: Duration = Duration::from_millis(40);

/// What is known of a stopped generation while engines are asked to go on with it.
struct Continuation {
    ways: Ways,
    /// Engine that ran the generation last.
    source: Target,
    copy: Option<CacheCopy>,
    kept: Option<CompactString>,
    ending: Option<PendingTask<StopResult>>,
    /// Engines that are not asked for a further copy.
    excluded: Excluded,
    /// Until when the generation may wait for an engine.
    until: Instant,
    /// Requests that were sent to engines.
    sends: u32,
}

impl Continuation {
    fn new(stopped: StoppedGeneration, source: Target, until: Instant) -> Self {
        let StoppedGeneration { copy, kept, ending } = stopped;
        Continuation {
            ways: Ways::new(copy.is_some(), kept.is_some()),
            excluded: smallvec![source.id.clone()],
            source,
            copy,
            kept,
            ending,
            until,
            sends: 0,
        }
    }

    /// Waits until the source has said whether it keeps the KV cache, if that is to come; returns
    /// whether it does.
    async fn wait_for_source(&mut self) -> bool {
        let Some(mut ending) = self.ending.take() else { return false };
        let (StopResult::Copied(handle) | StopResult::Kept(handle)) =
            timeout_at(self.until, ending.wait())
                .await
                .ok()
                .flatten()
                .unwrap_or(StopResult::Unknown)
        else {
            return false;
        };
        self.kept = Some(handle);
        self.ways.keep();
        true
    }

    /// Returns the handle under which the source knows the KV cache.
    fn handle(&self) -> Option<CompactString> {
        let copied = self.copy.as_ref().map(|copy| &copy.cache.handle);
        self.kept.as_ref().or(copied).cloned()
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
        let until = moves::continue_until(&self.call);
        let mut generation = Continuation::new(stopped, source, until);
        let mut last_handle = generation.handle();
        let moved = loop {
            let takes_requests = accepts_return(&self.shared, &generation.source);
            let Some(way) = generation.ways.next(takes_requests) else {
                if generation.wait_for_source().await {
                    continue;
                }
                break None;
            };
            last_handle = generation.handle().or(last_handle);
            match self.try_way(&mut generation, way).await {
                Ok(()) => break Some(way),
                Err(outcome) => generation.ways.record(way, outcome),
            }
        };
        let Continuation { source, ending, .. } = generation;
        let outcome = match moved {
            Some(Way::Source) => "returned",
            Some(Way::Copy | Way::NextCopy) => "moved",
            None => "failed",
        };
        self.shared.metrics.moves.with_label_values(&[outcome]).inc();
        if let Some(ending) = ending {
            moves::free_late_copy(&self.shared, &self.call, &source, ending);
        }
        if moved.is_none() {
            if let Some(handle) = last_handle {
                moves::free_later(&self.shared, &self.call, &source, handle);
            }
            return Err(NotContinued::default());
        }
        log::info!(request = self.call.head.id.as_str(), outcome, events = self.progress.relayed; "generation moved");
        Ok(())
    }

    async fn try_way(&mut self, generation: &mut Continuation, way: Way) -> Result<(), Outcome> {
        let (reservation, cache) = match way {
            Way::Copy => {
                let copy = generation.copy.take().ok_or(Outcome::NotRun)?;
                (copy.reservation, copy.cache)
            }
            Way::Source => {
                let handle = generation.kept.clone().ok_or(Outcome::NotKept)?;
                let source = &generation.source;
                let reservation =
                    reserve_for_return(&self.shared, &self.call, source, self.progress.relayed);
                (reservation, KvCacheRef { source: source.address, handle })
            }
            Way::NextCopy => return Err(self.copy_again(generation).await),
        };
        if generation.sends > 0 && !self.wait_for_retry(generation.until).await {
            return Err(Outcome::NotRun);
        }
        generation.sends += 1;
        let target = reservation.target.clone();
        generation.excluded.push(target.id.clone());
        log::info!(request = self.call.head.id.as_str(), from = generation.source.id.as_str(), to = target.id.as_str(), way:? = way, events = self.progress.relayed; "moving generation");
        match self.resume(reservation, Some(cache)).await {
            Ok(()) => Ok(()),
            Err(ResumeError::NotRun) => Err(Outcome::NotRun),
            Err(ResumeError::Unreachable) if way == Way::Source => Err(Outcome::NotKept),
            Err(ResumeError::Unreachable) => Err(Outcome::NotRun),
            Err(ResumeError::Failed) => Err(Outcome::MayRun),
            Err(ResumeError::Lost) => Err(self.end_lost_run(generation, target).await),
        }
    }

    /// Has the source copy the KV cache that it keeps to one more engine.
    async fn copy_again(&self, generation: &mut Continuation) -> Outcome {
        let (source, excluded) = (&generation.source, &generation.excluded);
        let (events, until) = (self.progress.relayed, generation.until);
        let stopped =
            moves::stop_and_copy(&self.shared, &self.call, source, excluded, events, until).await;
        match stopped {
            StopAndCopy::Stopped(stopped) => {
                generation.kept = stopped.kept.or(generation.kept.take());
                generation.copy = stopped.copy;
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
                let stopped = StoppedGeneration { copy: None, kept: Some(handle), ending: None };
                let (sends, until) = (generation.sends, generation.until);
                *generation = Continuation { sends, ..Continuation::new(stopped, engine, until) };
                Outcome::NotRun
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
