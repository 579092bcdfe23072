//! Carries a running generation over to another engine.
//!
//! The memory is copied while the run goes on. Shortly before the engine
//! leaves, the run stops, what is new is copied too, and the generation goes
//! on at the other engine. The first copy also serves if the engine ends early.

use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use schema::EngineCapacity;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout};

use crate::accept::Call;
use crate::dialect::{MemoryRef, MoveOrder, MoveResult};
use crate::exchange::{Target, order};
use crate::place::{Excluded, Place, place_for_move};
use crate::shared::Shared;

/// Largest answer to an order.
const MAX_ANSWER_BYTES: usize = 4_096;
/// Pause before an order that cannot succeed yet is given again.
const RETRY_DELAY: Duration = Duration::from_millis(40);
/// Longest wait for one copy: an engine's whole memory over its link.
const COPY_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Longest wait for the result of a stop order after the stream was closed.
const STOP_RESULT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Latest stop after the announcement of an engine's end; the shortest
/// announcements come a second and a half before it.
const LATEST_STOP: Duration = Duration::from_millis(1_150);
/// Share by which copies take longer than their bytes: some go to another data
/// centre, which takes twice as long.
const COPY_MARGIN: f64 = 1.3;

/// Copy of a generation's memory at another engine.
#[derive(Debug)]
pub(crate) struct Moved {
    pub(crate) place: Place,
    pub(crate) memory: MemoryRef,
}

/// How a stop order ended.
#[derive(Debug)]
pub(crate) enum Stopped {
    /// The run stopped and its memory is copied.
    Copied(CompactString),
    /// There was no run to stop: it ended, or waits to be read in again.
    NoRun,
    /// The copy is not up to date; the run may have stopped.
    Failed,
}

/// Result of a task, which is aborted when this is dropped.
#[derive(Debug)]
pub(crate) struct Pending<T> {
    result: oneshot::Receiver<T>,
    task: JoinHandle<()>,
}

impl<T: 'static> Pending<T> {
    fn spawn(future: impl Future<Output = T> + 'static) -> Self {
        let (sender, result) = oneshot::channel();
        let task = actix_rt::spawn(async move {
            // A stream that ended meanwhile needs no result.
            let _ = sender.send(future.await);
        });
        Pending { result, task }
    }

    /// Waits for the result; `None` if the task was aborted.
    pub(crate) async fn wait(&mut self) -> Option<T> {
        (&mut self.result).await.ok()
    }
}

impl<T> Drop for Pending<T> {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// When and how the run at the source ends.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StopPlan {
    pub(crate) at: Instant,
    /// The link will still carry copies of other runs then: the generation
    /// goes on from its first copy, and reads what that lacks.
    pub(crate) link_busy: bool,
}

/// Progress of one move.
#[derive(Debug, Default)]
pub(crate) enum Moving {
    /// Nothing is moved.
    #[default]
    Idle,
    /// The memory is copied while the run goes on.
    Copying(Pending<Option<Moved>>, StopPlan),
    /// The copy is complete; the run is to end as planned.
    Copied(Moved, StopPlan),
    /// The run stops and what is new is copied.
    Stopping(Moved, Pending<Stopped>),
    /// The run stopped and its memory is copied.
    Stopped(Moved),
}

/// What a move waits for.
#[derive(Debug)]
pub(crate) enum Progress {
    Copied(Option<Moved>),
    StopDue,
    Stopped(Stopped),
}

impl Moving {
    /// Waits for the next step; never returns if there is none.
    pub(crate) async fn progress(&mut self) -> Progress {
        match self {
            Moving::Idle | Moving::Stopped(_) => std::future::pending().await,
            Moving::Copying(pending, _) => Progress::Copied(pending.wait().await.flatten()),
            Moving::Copied(_, plan) => {
                tokio::time::sleep_until(plan.at).await;
                Progress::StopDue
            }
            Moving::Stopping(_, pending) => {
                Progress::Stopped(pending.wait().await.unwrap_or(Stopped::Failed))
            }
        }
    }

    /// Returns the memory to go on from after the stream was cut, or after it
    /// ended if the run was told to stop.
    pub(crate) async fn take_memory(&mut self, cut: bool) -> Option<Moved> {
        match std::mem::take(self) {
            Moving::Idle | Moving::Copying(..) => None,
            Moving::Copied(moved, _) => cut.then_some(moved),
            Moving::Stopped(moved) => Some(moved),
            Moving::Stopping(mut moved, mut pending) => {
                match timeout(STOP_RESULT_TIMEOUT, pending.wait()).await {
                    Ok(Some(Stopped::Copied(handle))) => {
                        moved.memory.handle = handle;
                        Some(moved)
                    }
                    Ok(Some(Stopped::NoRun)) if !cut => None,
                    _ => Some(moved),
                }
            }
        }
    }
}

/// Starts to copy the memory of a run that goes on.
pub(crate) fn start_copy(shared: &Rc<Shared>, call: &Rc<Call>, source: &Target) -> Moving {
    let copying = time_to_copy_all(shared, call, source);
    let at = Instant::now() + copying.min(LATEST_STOP);
    let plan = StopPlan { at, link_busy: copying > LATEST_STOP };
    let (shared, call, source) = (shared.clone(), call.clone(), source.clone());
    let copying = Pending::spawn(async move { copy(&shared, &call, &source).await });
    Moving::Copying(copying, plan)
}

/// Stops the run and copies what is new.
pub(crate) fn start_stop(
    shared: &Rc<Shared>,
    call: &Rc<Call>,
    source: &Target,
    moved: Moved,
) -> Moving {
    let to = moved.place.target.address;
    let (shared, call, source) = (shared.clone(), call.clone(), source.clone());
    let stopping = Pending::spawn(async move {
        let order = MoveOrder { request_id: &call.head.id, to, stop: true };
        match give(&shared, &call, &source, order).await {
            MoveResult::Copied(handle) => Stopped::Copied(handle),
            MoveResult::NoRun => Stopped::NoRun,
            MoveResult::Kept(_) | MoveResult::Failed => Stopped::Failed,
        }
    });
    Moving::Stopping(moved, stopping)
}

/// Returns how long it takes to copy all that runs on an engine over its link,
/// which carries one copy after another: a run that stops before then waits
/// for the copies of the others.
fn time_to_copy_all(shared: &Shared, call: &Call, source: &Target) -> Duration {
    let EngineCapacity { token_bytes, link_mbps, .. } = call.need.engine.unwrap_or_default();
    if link_mbps <= 0.0 {
        return LATEST_STOP;
    }
    let tokens = shared.loads.borrow().total(&source.id).tokens;
    let bits = (tokens * token_bytes * 8) as f64;
    Duration::from_secs_f64(bits / (link_mbps * 1e6) * COPY_MARGIN)
}

async fn copy(shared: &Rc<Shared>, call: &Call, source: &Target) -> Option<Moved> {
    let request_id = call.head.id.as_str();
    let mut excluded: Excluded = [source.id.clone()].into_iter().collect();
    let started = Instant::now();
    while started.elapsed() < COPY_TIMEOUT {
        let Ok(place) = place_for_move(shared, call, &excluded, source).await else {
            sleep(RETRY_DELAY).await;
            continue;
        };
        let to = place.target.address;
        match give(shared, call, source, MoveOrder { request_id, to, stop: false }).await {
            MoveResult::Copied(handle) => {
                let memory = MemoryRef { source: source.address, handle };
                return Some(Moved { place, memory });
            }
            MoveResult::NoRun => {}
            MoveResult::Kept(_) | MoveResult::Failed => excluded.push(place.target.id.clone()),
        }
        sleep(RETRY_DELAY).await;
    }
    None
}

async fn give(
    shared: &Shared,
    call: &Call,
    source: &Target,
    move_order: MoveOrder<'_>,
) -> MoveResult {
    let request = shared.dialect.move_request(&move_order);
    let until = Instant::now() + COPY_TIMEOUT;
    let ordered = order(shared, &call.span, source, request, until, MAX_ANSWER_BYTES).await;
    let (result, status) = match ordered {
        Ok((status, body)) => (shared.dialect.read_move(status, &body), status.to_string()),
        Err(failure) => (MoveResult::Failed, failure.to_string()),
    };
    if !matches!(result, MoveResult::Copied(_)) {
        log::info!(request = move_order.request_id, upstream = source.id.as_str(), to = move_order.to.to_string().as_str(), stop = move_order.stop, status = status.as_str(); "move order not carried out");
    }
    result
}

/// Frees the copy of a move that nobody waits for any more, once there is one.
pub(crate) fn abandon(shared: &Rc<Shared>, call: &Rc<Call>, source: &Target, moving: Moving) {
    let (shared, call, source) = (shared.clone(), call.clone(), source.clone());
    actix_rt::spawn(async move {
        let moved = match moving {
            Moving::Idle => None,
            Moving::Copying(mut pending, _) => pending.wait().await.flatten(),
            Moving::Copied(moved, _) | Moving::Stopped(moved) => Some(moved),
            Moving::Stopping(mut moved, mut pending) => {
                if let Some(Stopped::Copied(handle)) = pending.wait().await {
                    moved.memory.handle = handle;
                }
                Some(moved)
            }
        };
        if let Some(moved) = moved {
            free(&shared, &call, &source, moved).await;
        }
    });
}

/// Frees a copy that is not needed any more.
async fn free(shared: &Shared, call: &Call, source: &Target, moved: Moved) {
    let request = shared.dialect.free_request(&moved.memory.handle);
    let until = Instant::now() + COPY_TIMEOUT;
    let ordered = order(shared, &call.span, source, request, until, MAX_ANSWER_BYTES);
    if let Err(failure) = ordered.await {
        log::info!(upstream = source.id.as_str(), error = failure.to_string().as_str(); "copy not freed");
    }
}
