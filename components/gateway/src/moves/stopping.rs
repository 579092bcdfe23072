//! Ends a generation at its source, so that it can go on elsewhere.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use tokio::time::{Instant, sleep, timeout};

use super::commands::{free, send_stop};
use super::{
    COPY_TIMEOUT, CacheCopy, MoveState, PendingTask, RETRY_DELAY, StopResult, discard, free_later,
};
use crate::accept::Call;
use crate::dialect::KvCacheRef;
use crate::eligibility::Excluded;
use crate::place::reserve_for_move;
use crate::shared::Shared;
use crate::target::Target;

/// Longest wait for the result of a stop command after the stream ended.
const STOP_RESULT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The same if the rest of the KV cache has to wait for the engine's link.
const SATURATED_LIMIT: Duration = Duration::from_millis(20);
/// Longest wait for an engine to confirm that a generation has ended there, before it goes
/// on elsewhere from an earlier copy. The engine has the command to stop by then, if it is
/// reachable at all.
const END_CONFIRM_TIMEOUT: Duration = Duration::from_millis(250);

/// How the stream of a source ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum SourceEnd {
    /// In order, in a response that says itself where it ends: unless the source says that it
    /// stopped the generation, the stream is complete.
    InOrder,
    /// With its connection: the stream is complete unless the generation may have been stopped.
    WithConnection,
    /// Not at all, or too early, or the generation may have been stopped.
    Interrupted,
}

/// Generation that no longer runs at its source.
#[derive(Debug)]
pub(crate) struct StoppedGeneration {
    pub(crate) copy: Option<CacheCopy>,
    /// Handle of the KV cache that the source keeps, if it said that it stopped the generation.
    pub(crate) kept: Option<CompactString>,
    /// Result of the command to stop the generation, if it is to come.
    pub(crate) ending: Option<PendingTask<StopResult>>,
    /// The source has not said that it stopped the generation, and may run it later.
    pub(crate) may_run: bool,
    /// The source has stopped the generation, or a command without a result may have.
    pub(crate) may_be_stopped: bool,
}

impl StoppedGeneration {
    /// The source has not confirmed that it stopped the generation.
    fn unconfirmed(copy: CacheCopy, may_be_stopped: bool) -> Self {
        let copy = Some(copy);
        StoppedGeneration { copy, kept: None, ending: None, may_run: true, may_be_stopped }
    }

    /// The source has copied the rest of the KV cache under a new handle.
    pub(crate) fn up_to_date(mut copy: CacheCopy, handle: CompactString) -> Self {
        copy.cache.handle = handle.clone();
        StoppedGeneration::kept(Some(copy), handle)
    }

    /// The source has not copied the rest of the KV cache: an earlier copy may do.
    pub(crate) fn kept(copy: Option<CacheCopy>, handle: CompactString) -> Self {
        let kept = Some(handle);
        StoppedGeneration { copy, kept, ending: None, may_run: false, may_be_stopped: true }
    }
}

/// Returns the generation to go on with, once it is known to have ended at its source or the
/// wait for that is over; `None` if the stream is complete.
pub(crate) async fn take_stopped(
    shared: &Rc<Shared>,
    call: &Rc<Call>,
    source: &Target,
    state: MoveState,
    end: SourceEnd,
) -> Option<StoppedGeneration> {
    let (copy, sent, limit) = match state {
        MoveState::Idle | MoveState::Copying(..) => return None,
        MoveState::Copied(..) if end != SourceEnd::Interrupted => {
            discard(shared, call, source, state);
            return None;
        }
        MoveState::Copied(copy, _) => (copy, None, END_CONFIRM_TIMEOUT),
        MoveState::Stopped(stopped) => return Some(stopped),
        MoveState::Stopping(copy, result, plan) => {
            let limit = if plan.link_saturated { SATURATED_LIMIT } else { STOP_RESULT_TIMEOUT };
            (copy, Some(result), limit)
        }
    };
    wait_until_ended(shared, call, source, copy, sent, limit, end).await
}

/// Waits up to `limit` until the generation is known to have ended at its source. An engine
/// need not drop a generation whose connection closes, so it is told to stop.
async fn wait_until_ended(
    shared: &Rc<Shared>,
    call: &Rc<Call>,
    source: &Target,
    copy: CacheCopy,
    sent: Option<PendingTask<StopResult>>,
    limit: Duration,
    end: SourceEnd,
) -> Option<StoppedGeneration> {
    let to = copy.reservation.target.address;
    let (ending_shared, ending_call, engine) = (shared.clone(), call.clone(), source.clone());
    let mut ending = PendingTask::spawn(async move {
        stop_until_known(&ending_shared, &ending_call, &engine, to, sent).await
    });
    match timeout(limit, ending.wait()).await {
        Ok(Some(StopResult::Copied(handle))) => Some(StoppedGeneration::up_to_date(copy, handle)),
        Ok(Some(StopResult::Kept(handle))) => Some(StoppedGeneration::kept(Some(copy), handle)),
        Ok(result)
            if end == SourceEnd::InOrder
                || end == SourceEnd::WithConnection
                    && matches!(result, Some(StopResult::NotRunning)) =>
        {
            free_later(shared, call, source, copy.cache.handle);
            None
        }
        Ok(result) => {
            let may_be_stopped = matches!(result, Some(StopResult::Unknown));
            Some(StoppedGeneration::unconfirmed(copy, may_be_stopped))
        }
        Err(_) => {
            log::info!(request = call.head.id.as_str(), upstream = source.id.as_str(), limit_ms = limit.as_millis(); "going on before the engine confirmed that the generation has ended");
            let stopped = StoppedGeneration::unconfirmed(copy, true);
            Some(StoppedGeneration { ending: Some(ending), ..stopped })
        }
    }
}

/// Frees the rest of the KV cache that a source copies although the generation has gone on.
pub(crate) fn free_late_copy(
    shared: &Rc<Shared>,
    call: &Rc<Call>,
    source: &Target,
    mut ending: PendingTask<StopResult>,
) {
    let (shared, call, source) = (shared.clone(), call.clone(), source.clone());
    actix_rt::spawn(async move {
        if let Some(StopResult::Copied(handle)) = ending.wait().await {
            free(&shared, &call, &source, &handle).await;
        }
    });
}

/// Tells the engine to stop the generation until it says that it has, does not know the
/// generation or accepts no connection; starts with the result of a command that was `sent`
/// before. After a command without a result, only a confirmed stop replaces that result.
async fn stop_until_known(
    shared: &Shared,
    call: &Call,
    source: &Target,
    to: SocketAddr,
    sent: Option<PendingTask<StopResult>>,
) -> StopResult {
    let until = Instant::now() + COPY_TIMEOUT;
    let mut result = match sent {
        Some(mut sent) => sent.wait().await.unwrap_or(StopResult::Unknown),
        None => send_stop(shared, call, source, to).await,
    };
    let mut may_be_stopped = false;
    while matches!(result, StopResult::Refused | StopResult::Unknown) && Instant::now() < until {
        may_be_stopped |= matches!(result, StopResult::Unknown);
        sleep(RETRY_DELAY).await;
        result = send_stop(shared, call, source, to).await;
    }
    if may_be_stopped && !matches!(result, StopResult::Copied(_) | StopResult::Kept(_)) {
        result = StopResult::Unknown;
    }
    if matches!(result, StopResult::Refused | StopResult::Unknown) {
        log::warn!(request = call.head.id.as_str(), upstream = source.id.as_str(); "the engine did not confirm that the generation has ended");
    }
    result
}

/// What became of a command to stop a generation and to copy its KV cache to another engine.
#[derive(Debug)]
pub(crate) enum StopAndCopy {
    Stopped(Box<StoppedGeneration>),
    /// No engine has room for the copy: nothing was sent.
    NoPlace,
    /// The source runs no such generation, or accepts no connection.
    NotRunning,
    /// The source refuses the command.
    Refused,
    /// The generation may have been stopped.
    Unknown,
}

/// Stops a generation, unless it is stopped already, and copies its KV cache to an engine on
/// which it can resume, other than those `excluded`. Waits for room until `until`.
pub(crate) async fn stop_and_copy(
    shared: &Rc<Shared>,
    call: &Call,
    source: &Target,
    excluded: &Excluded,
    events: u64,
    until: Instant,
) -> StopAndCopy {
    let reservation = loop {
        match reserve_for_move(shared, call, excluded, source, events).await {
            Ok(reservation) => break reservation,
            Err(_) if Instant::now() + RETRY_DELAY < until => sleep(RETRY_DELAY).await,
            Err(error) => {
                log::info!(request = call.head.id.as_str(), upstream = source.id.as_str(), error:? = error; "no engine for the copy of a stopped generation");
                return StopAndCopy::NoPlace;
            }
        }
    };
    match send_stop(shared, call, source, reservation.target.address).await {
        StopResult::Copied(handle) => {
            let cache = KvCacheRef { source: source.address, handle: handle.clone() };
            let copy = CacheCopy { reservation, cache, made: Instant::now() };
            StopAndCopy::Stopped(Box::new(StoppedGeneration::up_to_date(copy, handle)))
        }
        StopResult::Kept(handle) => {
            StopAndCopy::Stopped(Box::new(StoppedGeneration::kept(None, handle)))
        }
        StopResult::NotRunning | StopResult::Unreachable => StopAndCopy::NotRunning,
        StopResult::Refused => StopAndCopy::Refused,
        StopResult::Unknown => StopAndCopy::Unknown,
    }
}

/// Stops a generation whose source is to keep its KV cache and to go on with it.
pub(crate) async fn stop_at_source(shared: &Shared, call: &Call, source: &Target) -> StopAndCopy {
    match send_stop(shared, call, source, source.address).await {
        StopResult::Copied(handle) | StopResult::Kept(handle) => {
            StopAndCopy::Stopped(Box::new(StoppedGeneration::kept(None, handle)))
        }
        StopResult::NotRunning | StopResult::Unreachable => StopAndCopy::NotRunning,
        StopResult::Refused => StopAndCopy::Refused,
        StopResult::Unknown => StopAndCopy::Unknown,
    }
}

/// Returns until when a generation that was stopped may wait for an engine to go on at.
pub(crate) fn continue_until(call: &Call) -> Instant {
    call.until.min(Instant::now() + COPY_TIMEOUT)
}
