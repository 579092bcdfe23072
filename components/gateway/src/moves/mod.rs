//! Moves a running generation to another engine (live migration).
//!
//! The KV cache is copied while the generation still runs on the source engine.
//! Shortly before the source exits, the generation is stopped there, the part
//! of the cache that was added since is copied, and the generation resumes on
//! the other engine. The first copy is also used if the source exits early. No generation
//! goes on before its source was told to stop it; if the other engine does not take it, the
//! source, which keeps its KV cache, and further engines are asked in turn ([`Ways`]).

mod cancellation;
mod commands;
mod stopping;
mod unused;
mod ways;

use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use schema::EngineCapacity;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

use crate::accept::Call;
use crate::dialect::{KvCacheRef, MoveResult};
use crate::eligibility::Excluded;
use crate::place::reserve_for_move;
use crate::reservation::Reservation;
use crate::shared::Shared;
use crate::target::Target;
use commands::{free, send_move};

pub(crate) use cancellation::{
    Cancellations, start_cancellation, start_cancellation_after, withdraw_cancellation,
    withdraw_cancellations,
};
pub(crate) use commands::{StopResult, send_stop};
pub(crate) use stopping::{
    SourceEnd, StopAndCopy, StoppedGeneration, continue_until, free_late_copy, stop_and_copy,
    stop_at_source, take_stopped,
};
pub(crate) use unused::UnusedCopies;
pub(crate) use ways::{Outcome, Way, Ways};

/// Delay before the next attempt to reserve a slot for a copy and to make it.
const RETRY_DELAY: Duration = Duration::from_millis(40);
/// Timeout of one copy: enough for the whole KV cache of an engine over its
/// link. Failed copies are retried for the same time.
const COPY_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Pause after which a copy that failed for [`COPY_TIMEOUT`] is tried again.
const COPY_PAUSE: Duration = Duration::from_millis(500);
/// Time for which engines keep a copy that is not used, at least.
const COPY_LIFETIME: Duration = Duration::from_secs(4);
/// Delay before a stop command without a result is repeated.
const STOP_RETRY_DELAY: Duration = Duration::from_millis(200);
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
    pub(crate) made: Instant,
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
    /// the rest of the cache would wait for it: the generation resumes from its first copy
    /// once its stream has ended; the other engine recomputes what the copy lacks.
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
    Stopping(CacheCopy, PendingTask<StopResult>, StopPlan),
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
            MoveState::Stopping(_, result, _) => {
                MoveEvent::Stopped(result.wait().await.unwrap_or(StopResult::Unknown))
            }
        }
    }
}

/// Starts to copy the KV cache of a generation that keeps running.
/// `events` is the number of events that it has produced; engines to be `avoided` are asked if
/// there are no others.
pub(crate) fn start_copy(
    shared: &Rc<Shared>,
    call: &Rc<Call>,
    source: &Target,
    events: u64,
    avoided: Excluded,
) -> MoveState {
    let copy_time = time_to_copy_all(shared, call, source);
    let at = Instant::now() + copy_time.min(MAX_STOP_DELAY);
    let plan = StopPlan { at, link_saturated: copy_time > MAX_STOP_DELAY };
    MoveState::Copying(spawn_copy(shared, call, source, (events, avoided), Duration::ZERO), plan)
}

/// The same after copies have failed for a while: no other engine had room.
pub(crate) fn start_copy_again(
    shared: &Rc<Shared>,
    call: &Rc<Call>,
    source: &Target,
    events: u64,
) -> MoveState {
    let plan = StopPlan { at: Instant::now() + COPY_PAUSE, link_saturated: false };
    MoveState::Copying(
        spawn_copy(shared, call, source, (events, Excluded::new()), COPY_PAUSE),
        plan,
    )
}

fn spawn_copy(
    shared: &Rc<Shared>,
    call: &Rc<Call>,
    source: &Target,
    (events, avoided): (u64, Excluded),
    delay: Duration,
) -> PendingTask<Option<CacheCopy>> {
    let (shared, call, source) = (shared.clone(), call.clone(), source.clone());
    PendingTask::spawn(async move {
        sleep(delay).await;
        copy_cache(&shared, &call, &source, events, avoided).await
    })
}

/// Plans to repeat a command that has not stopped the generation, or may not have; with a new
/// copy, if the engine that holds this one may have freed it.
pub(crate) fn retry_stop(
    shared: &Rc<Shared>,
    call: &Rc<Call>,
    source: &Target,
    copy: CacheCopy,
    events: u64,
) -> MoveState {
    if copy.made.elapsed() > COPY_LIFETIME {
        free_later(shared, call, source, copy.cache.handle);
        return start_copy_again(shared, call, source, events);
    }
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
    plan: StopPlan,
) -> MoveState {
    let to = copy.reservation.target.address;
    let (shared, call, source) = (shared.clone(), call.clone(), source.clone());
    let result = PendingTask::spawn(async move { send_stop(&shared, &call, &source, to).await });
    MoveState::Stopping(copy, result, plan)
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
    avoided: Excluded,
) -> Option<CacheCopy> {
    let mut excluded: Excluded = [source.id.clone()].into_iter().chain(avoided).collect();
    let started = Instant::now();
    while started.elapsed() < COPY_TIMEOUT {
        let Ok(reservation) = reserve_for_move(shared, call, &excluded, source, events).await
        else {
            excluded.truncate(1);
            sleep(RETRY_DELAY).await;
            continue;
        };
        let to = reservation.target.address;
        match send_move(shared, call, source, to, false).await {
            Ok(MoveResult::Copied(handle)) => {
                let cache = KvCacheRef { source: source.address, handle };
                return Some(CacheCopy { reservation, cache, made: Instant::now() });
            }
            // It is not the other engine that failed.
            Ok(MoveResult::NotRunning) | Err(_) => {}
            Ok(MoveResult::Kept(_) | MoveResult::Failed | MoveResult::Unknown) => {
                excluded.push(reservation.target.id.clone());
            }
        }
        sleep(RETRY_DELAY).await;
    }
    None
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
            MoveState::Stopping(mut copy, mut result, _) => {
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
