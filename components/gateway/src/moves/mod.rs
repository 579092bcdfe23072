//! Moves a running generation to another engine (live migration).
//!
//! The KV cache is copied while the generation still runs on the source engine.
//! Shortly before the source exits, the generation is stopped there, the part
//! of the cache that was added since is copied, and the generation resumes on
//! the other engine. The first copy is also used if the source exits early. No generation
//! goes on before its source was told to stop it; if the other engine does not take it, the
//! source, which keeps its KV cache, and further engines are asked in turn ([`Ways`]).

mod commands;
mod ways;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use schema::EngineCapacity;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout};

use crate::accept::Call;
use crate::dialect::{KvCacheRef, MoveResult};
use crate::eligibility::Excluded;
use crate::place::reserve_for_move;
use crate::reservation::Reservation;
use crate::shared::Shared;
use crate::target::Target;
use commands::{free, send_move};

pub(crate) use commands::{StopResult, send_stop};
pub(crate) use ways::{Outcome, Way, Ways};

/// Delay before the next attempt to reserve a slot for a copy and to make it.
const RETRY_DELAY: Duration = Duration::from_millis(40);
/// Timeout of one copy: enough for the whole KV cache of an engine over its
/// link. Failed copies are retried for the same time.
const COPY_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Pause after which a copy that failed for [`COPY_TIMEOUT`] is tried again.
const COPY_PAUSE: Duration = Duration::from_millis(500);
/// Delay before a stop command without a result is repeated.
const STOP_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Longest wait for the result of a stop command after the stream ended.
const STOP_RESULT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Longest wait for an engine to confirm that a generation has ended there, before it goes
/// on elsewhere from an earlier copy. The engine has the command to stop by then, if it is
/// reachable at all.
const END_CONFIRM_TIMEOUT: Duration = Duration::from_millis(250);
/// Latest planned stop of the generation, counted from the start of the copy;
/// engines announce their exit at least 1.5 s in advance.
const MAX_STOP_DELAY: Duration = Duration::from_millis(1_150);
/// Factor on the transfer time computed from the bytes: some copies go to
/// another data centre, which takes twice as long.
const COPY_TIME_FACTOR: f64 = 1.3;

/// Copy of a generation's KV cache at another engine.
#[derive(Debug)]
pub(crate) struct CacheCopy {
    /// Slot at the engine on which the generation is to resume.
    pub(crate) reservation: Reservation,
    pub(crate) cache: KvCacheRef,
}

/// Generation that no longer runs at its source.
#[derive(Debug)]
pub(crate) struct StoppedGeneration {
    pub(crate) copy: Option<CacheCopy>,
    /// Handle of the KV cache that the source keeps, if it said that it stopped the generation.
    pub(crate) kept: Option<CompactString>,
    /// Result of the command to stop the generation, if it is to come.
    pub(crate) ending: Option<PendingTask<StopResult>>,
}

impl StoppedGeneration {
    fn from_copy(copy: CacheCopy) -> Self {
        StoppedGeneration { copy: Some(copy), kept: None, ending: None }
    }

    /// The source has copied the rest of the KV cache under a new handle.
    pub(crate) fn up_to_date(mut copy: CacheCopy, handle: CompactString) -> Self {
        copy.cache.handle = handle.clone();
        StoppedGeneration { copy: Some(copy), kept: Some(handle), ending: None }
    }

    /// The source has not copied the rest of the KV cache: an earlier copy may do.
    pub(crate) fn kept(copy: Option<CacheCopy>, handle: CompactString) -> Self {
        StoppedGeneration { copy, kept: Some(handle), ending: None }
    }
}

/// Task whose result is pending; aborted on drop.
#[derive(Debug)]
pub(crate) struct PendingTask<T> {
    result: oneshot::Receiver<T>,
    task: JoinHandle<()>,
}

impl<T: 'static> PendingTask<T> {
    fn spawn(future: impl Future<Output = T> + 'static) -> Self {
        let (sender, result) = oneshot::channel();
        let task = actix_rt::spawn(async move {
            // The receiver is dropped if the stream ended in the meantime.
            let _ = sender.send(future.await);
        });
        PendingTask { result, task }
    }

    /// Waits for the result; `None` if the task was aborted.
    pub(crate) async fn wait(&mut self) -> Option<T> {
        (&mut self.result).await.ok()
    }
}

impl<T> Drop for PendingTask<T> {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// When and how the generation on the source engine is stopped.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StopPlan {
    pub(crate) at: Instant,
    /// The source's link will still be transferring other generations at that time, and
    /// the rest of the cache would wait for it: the stream is closed, and the generation
    /// resumes from its first copy once it has ended; the other engine recomputes what
    /// the copy lacks.
    pub(crate) link_saturated: bool,
}

/// State of one move.
#[derive(Debug, Default)]
pub(crate) enum MoveState {
    /// No move is in progress.
    #[default]
    Idle,
    /// The KV cache is being copied while the generation runs.
    Copying(PendingTask<Option<CacheCopy>>, StopPlan),
    /// The copy is complete; the generation is to be stopped as planned.
    Copied(CacheCopy, StopPlan),
    /// The generation is being stopped and the rest of its KV cache copied.
    Stopping(CacheCopy, PendingTask<StopResult>),
    /// The generation is stopped.
    Stopped(StoppedGeneration),
}

/// Event that advances a move.
#[derive(Debug)]
pub(crate) enum MoveEvent {
    Copied(Option<CacheCopy>),
    StopDue,
    Stopped(StopResult),
}

impl MoveState {
    /// Returns the name of the state for log lines.
    pub(crate) fn name(&self) -> &'static str {
        match self {
            MoveState::Idle => "none",
            MoveState::Copying(..) => "copying",
            MoveState::Copied(..) => "copied",
            MoveState::Stopping(..) => "stopping",
            MoveState::Stopped(_) => "stopped",
        }
    }

    /// Waits for the next event; never returns if none is to come.
    pub(crate) async fn next_event(&mut self) -> MoveEvent {
        match self {
            MoveState::Idle | MoveState::Stopped(_) => std::future::pending().await,
            MoveState::Copying(pending, _) => MoveEvent::Copied(pending.wait().await.flatten()),
            MoveState::Copied(_, plan) => {
                tokio::time::sleep_until(plan.at).await;
                MoveEvent::StopDue
            }
            MoveState::Stopping(_, result) => {
                MoveEvent::Stopped(result.wait().await.unwrap_or(StopResult::Unknown))
            }
        }
    }
}

/// Returns the generation to go on with, once it is known to have ended at its source or the
/// wait for that is over. If the stream ended normally (`interrupted` is false), it goes on only
/// if the generation may have been stopped for the move.
pub(crate) async fn take_stopped(
    shared: &Rc<Shared>,
    call: &Rc<Call>,
    source: &Target,
    state: MoveState,
    interrupted: bool,
) -> Option<StoppedGeneration> {
    let (copy, sent, limit) = match state {
        MoveState::Idle | MoveState::Copying(..) => return None,
        MoveState::Copied(..) if !interrupted => {
            discard(shared, call, source, state);
            return None;
        }
        MoveState::Copied(copy, _) => (copy, None, END_CONFIRM_TIMEOUT),
        MoveState::Stopped(stopped) => return Some(stopped),
        MoveState::Stopping(copy, result) => (copy, Some(result), STOP_RESULT_TIMEOUT),
    };
    wait_until_ended(shared, call, source, copy, sent, limit, interrupted).await
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
    interrupted: bool,
) -> Option<StoppedGeneration> {
    let to = copy.reservation.target.address;
    let (ending_shared, ending_call, engine) = (shared.clone(), call.clone(), source.clone());
    let mut ending = PendingTask::spawn(async move {
        stop_until_known(&ending_shared, &ending_call, &engine, to, sent).await
    });
    match timeout(limit, ending.wait()).await {
        Ok(Some(StopResult::Copied(handle))) => Some(StoppedGeneration::up_to_date(copy, handle)),
        Ok(Some(StopResult::Kept(handle))) => Some(StoppedGeneration::kept(Some(copy), handle)),
        Ok(Some(StopResult::NotRunning)) if !interrupted => {
            free_later(shared, call, source, copy.cache.handle);
            None
        }
        Ok(_) => Some(StoppedGeneration::from_copy(copy)),
        Err(_) => {
            log::info!(request = call.head.id.as_str(), upstream = source.id.as_str(), limit_ms = limit.as_millis(); "going on before the engine confirmed that the generation has ended");
            Some(StoppedGeneration { ending: Some(ending), ..StoppedGeneration::from_copy(copy) })
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
/// before.
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
    while matches!(result, StopResult::Refused | StopResult::Unknown) && Instant::now() < until {
        sleep(RETRY_DELAY).await;
        result = send_stop(shared, call, source, to).await;
    }
    if matches!(result, StopResult::Refused | StopResult::Unknown) {
        log::warn!(request = call.head.id.as_str(), upstream = source.id.as_str(); "the engine did not confirm that the generation has ended");
    }
    result
}

/// Starts to copy the KV cache of a generation that keeps running.
/// `events` is the number of events that it has produced.
pub(crate) fn start_copy(
    shared: &Rc<Shared>,
    call: &Rc<Call>,
    source: &Target,
    events: u64,
) -> MoveState {
    let copy_time = time_to_copy_all(shared, call, source);
    let at = Instant::now() + copy_time.min(MAX_STOP_DELAY);
    let plan = StopPlan { at, link_saturated: copy_time > MAX_STOP_DELAY };
    MoveState::Copying(spawn_copy(shared, call, source, events, Duration::ZERO), plan)
}

/// The same after copies have failed for a while: no other engine had room.
pub(crate) fn start_copy_again(
    shared: &Rc<Shared>,
    call: &Rc<Call>,
    source: &Target,
    events: u64,
) -> MoveState {
    let plan = StopPlan { at: Instant::now() + COPY_PAUSE, link_saturated: false };
    MoveState::Copying(spawn_copy(shared, call, source, events, COPY_PAUSE), plan)
}

fn spawn_copy(
    shared: &Rc<Shared>,
    call: &Rc<Call>,
    source: &Target,
    events: u64,
    delay: Duration,
) -> PendingTask<Option<CacheCopy>> {
    let (shared, call, source) = (shared.clone(), call.clone(), source.clone());
    PendingTask::spawn(async move {
        sleep(delay).await;
        copy_cache(&shared, &call, &source, events).await
    })
}

/// Plans to repeat a stop command whose result is not known, with the copy that exists.
pub(crate) fn retry_stop(copy: CacheCopy) -> MoveState {
    let plan = StopPlan { at: Instant::now() + STOP_RETRY_DELAY, link_saturated: false };
    MoveState::Copied(copy, plan)
}

/// Stops the generation and copies what was added to its KV cache since the
/// first copy.
pub(crate) fn start_stop(
    shared: &Rc<Shared>,
    call: &Rc<Call>,
    source: &Target,
    copy: CacheCopy,
) -> MoveState {
    let to = copy.reservation.target.address;
    let (shared, call, source) = (shared.clone(), call.clone(), source.clone());
    let result = PendingTask::spawn(async move { send_stop(&shared, &call, &source, to).await });
    MoveState::Stopping(copy, result)
}

/// Returns how long it takes to copy all generations of an engine over its
/// link, which transfers them one after another: a generation that is stopped
/// earlier waits for the copies of the others.
fn time_to_copy_all(shared: &Shared, call: &Call, source: &Target) -> Duration {
    let EngineCapacity { token_bytes, link_mbps, .. } =
        call.requirements.engine.unwrap_or_default();
    if link_mbps <= 0.0 {
        return MAX_STOP_DELAY;
    }
    let tokens = shared.loads.borrow().total(&source.id).committed_cache_tokens;
    let bits = (tokens * token_bytes * 8) as f64;
    Duration::from_secs_f64(bits / (link_mbps * 1e6) * COPY_TIME_FACTOR)
}

async fn copy_cache(
    shared: &Rc<Shared>,
    call: &Call,
    source: &Target,
    events: u64,
) -> Option<CacheCopy> {
    let mut excluded: Excluded = [source.id.clone()].into_iter().collect();
    let started = Instant::now();
    while started.elapsed() < COPY_TIMEOUT {
        let Ok(reservation) = reserve_for_move(shared, call, &excluded, source, events).await
        else {
            sleep(RETRY_DELAY).await;
            continue;
        };
        let to = reservation.target.address;
        match send_move(shared, call, source, to, false).await {
            Ok(MoveResult::Copied(handle)) => {
                let cache = KvCacheRef { source: source.address, handle };
                return Some(CacheCopy { reservation, cache });
            }
            // It is not the other engine that failed.
            Ok(MoveResult::NotRunning) | Err(_) => {}
            Ok(MoveResult::Kept(_) | MoveResult::Failed) => {
                excluded.push(reservation.target.id.clone());
            }
        }
        sleep(RETRY_DELAY).await;
    }
    None
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
            let copy = CacheCopy { reservation, cache };
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

/// Returns until when a generation that was stopped may wait for an engine to go on at.
pub(crate) fn continue_until(call: &Call) -> Instant {
    call.until.min(Instant::now() + COPY_TIMEOUT)
}

/// Frees the copy of a move that is no longer needed, once it is complete.
pub(crate) fn discard(shared: &Rc<Shared>, call: &Rc<Call>, source: &Target, state: MoveState) {
    let (shared, call, source) = (shared.clone(), call.clone(), source.clone());
    actix_rt::spawn(async move {
        let copy = match state {
            MoveState::Idle => None,
            MoveState::Copying(mut pending, _) => pending.wait().await.flatten(),
            MoveState::Copied(copy, _) => Some(copy),
            MoveState::Stopped(stopped) => stopped.copy,
            MoveState::Stopping(mut copy, mut result) => {
                if let Some(StopResult::Copied(handle)) = result.wait().await {
                    copy.cache.handle = handle;
                }
                Some(copy)
            }
        };
        if let Some(copy) = copy {
            free(&shared, &call, &source, &copy.cache.handle).await;
        }
    });
}

/// Frees a copy that no generation resumed from, without waiting for the result.
pub(crate) fn free_later(
    shared: &Rc<Shared>,
    call: &Rc<Call>,
    source: &Target,
    handle: CompactString,
) {
    let (shared, call, source) = (shared.clone(), call.clone(), source.clone());
    actix_rt::spawn(async move { free(&shared, &call, &source, &handle).await });
}
