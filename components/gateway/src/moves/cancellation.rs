//! Cancellation of generations at engines that their streams have left.
//!
//! An engine that does not run a generation may still have its request queued, and run it later,
//! even if the connection of that request is closed. It receives stop commands until it confirms
//! the stop, or can no longer run the generation.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use futures::StreamExt as _;
use futures::stream::FuturesUnordered;
use schema::UpstreamPhase;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{Instant, MissedTickBehavior, interval_at};

use super::commands::{free, send_stop};
use super::{PendingTask, StopResult};
use crate::accept::Call;
use crate::crashes::refuses_connections;
use crate::shared::Shared;
use crate::target::Target;

/// Interval of the commands: a generation may run at two engines for 400 ms, in which the engine
/// also has to stop it.
const CANCEL_INTERVAL: Duration = Duration::from_millis(150);
/// Commands in flight: the engine may begin the generation while one waits for a lost packet.
const MAX_COMMANDS: usize = 4;

/// Request and incarnation of the engine at which it is cancelled.
type Key = (CompactString, (CompactString, u64));

/// Cancellations in progress.
#[derive(Debug, Default)]
pub(crate) struct Cancellations(RefCell<HashMap<Key, Cancellation>>);

#[derive(Debug)]
struct Cancellation {
    engine: Target,
    withdrawn: watch::Sender<bool>,
    task: JoinHandle<()>,
}

/// How a cancellation ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CancelOutcome {
    /// The engine ran the generation and has stopped it.
    Stopped,
    /// The engine is gone.
    Gone,
    /// The deadline that the engine has for the request is over.
    Expired,
    /// The stream may resume at the engine.
    Withdrawn,
}

impl CancelOutcome {
    /// Returns the text of log lines and the label of the metric.
    fn as_str(self) -> &'static str {
        match self {
            CancelOutcome::Stopped => "stopped",
            CancelOutcome::Gone => "gone",
            CancelOutcome::Expired => "expired",
            CancelOutcome::Withdrawn => "withdrawn",
        }
    }
}

/// Starts to cancel a generation at an engine, unless that is in progress.
pub(crate) fn start_cancellation(shared: &Rc<Shared>, call: &Rc<Call>, engine: &Target) {
    let key = (call.head.id.clone(), engine.incarnation());
    if shared.cancellations.0.borrow().contains_key(&key) {
        return;
    }
    log::info!(request = call.head.id.as_str(), upstream = engine.id.as_str(); "cancelling the generation at an engine that may run it later");
    let (withdrawn, receiver) = watch::channel(false);
    let task = actix_rt::spawn(run(shared.clone(), call.clone(), engine.clone(), receiver));
    let cancellation = Cancellation { engine: engine.clone(), withdrawn, task };
    shared.cancellations.0.borrow_mut().insert(key, cancellation);
}

/// Runs one cancellation, and removes it from those in progress.
async fn run(
    shared: Rc<Shared>,
    call: Rc<Call>,
    engine: Target,
    mut withdrawn: watch::Receiver<bool>,
) {
    let outcome = cancel(&shared, &call, &engine, &mut withdrawn).await;
    // One that was withdrawn is removed, and may have been started again.
    if !*withdrawn.borrow() {
        let key = (call.head.id.clone(), engine.incarnation());
        shared.cancellations.0.borrow_mut().remove(&key);
    }
    shared.metrics.cancellations.with_label_values(&[outcome.as_str()]).inc();
    log::info!(request = call.head.id.as_str(), upstream = engine.id.as_str(), outcome = outcome.as_str(); "cancellation of the generation ended");
}

/// Starts to cancel a generation at its source, unless the `pending` stop command succeeds.
pub(crate) fn start_cancellation_after(
    shared: &Rc<Shared>,
    call: &Rc<Call>,
    source: &Target,
    mut pending: PendingTask<StopResult>,
) {
    let (shared, call, source) = (shared.clone(), call.clone(), source.clone());
    actix_rt::spawn(async move {
        match pending.wait().await {
            Some(StopResult::Copied(handle) | StopResult::Kept(handle)) => {
                free(&shared, &call, &source, &handle).await;
            }
            _ => start_cancellation(&shared, &call, &source),
        }
    });
}

/// Withdraws the cancellation at an engine at which the generation may resume, and waits for the
/// commands in flight; returns whether there was one.
pub(crate) async fn withdraw_cancellation(shared: &Shared, call: &Call, engine: &Target) -> bool {
    let key = (call.head.id.clone(), engine.incarnation());
    let Some(cancellation) = shared.cancellations.0.borrow_mut().remove(&key) else {
        return false;
    };
    let Cancellation { withdrawn, task, .. } = cancellation;
    withdrawn.send_replace(true);
    if let Err(error) = task.await {
        log::error!(request = call.head.id.as_str(), upstream = engine.id.as_str(), error = error.to_string().as_str(); "cancellation of the generation failed");
    }
    true
}

/// Withdraws the cancellations at all engines, and returns these.
pub(crate) async fn withdraw_cancellations(shared: &Shared, call: &Call) -> Vec<Target> {
    let engines: Vec<_> = {
        let in_progress = shared.cancellations.0.borrow();
        let of_call = in_progress.iter().filter(|((id, _), _)| *id == call.head.id);
        of_call.map(|(_, cancellation)| cancellation.engine.clone()).collect()
    };
    for engine in &engines {
        withdraw_cancellation(shared, call, engine).await;
    }
    engines
}

async fn cancel(
    shared: &Shared,
    call: &Call,
    engine: &Target,
    withdrawn: &mut watch::Receiver<bool>,
) -> CancelOutcome {
    let mut commands = FuturesUnordered::new();
    let mut ticks = interval_at(Instant::now() + CANCEL_INTERVAL, CANCEL_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut outcome = loop {
        tokio::select! {
            _ = withdrawn.wait_for(|withdrawn| *withdrawn) => break CancelOutcome::Withdrawn,
            Some(result) = commands.next() => match result {
                StopResult::Copied(handle) | StopResult::Kept(handle) => {
                    free(shared, call, engine, &handle).await;
                    break CancelOutcome::Stopped;
                }
                StopResult::Unreachable if is_gone(shared, engine).await => {
                    break CancelOutcome::Gone;
                }
                StopResult::Unreachable
                | StopResult::NotRunning
                | StopResult::Refused
                | StopResult::Unknown => {}
            },
            _ = ticks.tick() => {
                if Instant::now() >= call.until {
                    break CancelOutcome::Expired;
                }
                if is_replaced(shared, engine) {
                    break CancelOutcome::Gone;
                }
                // The gateway that takes a stream back chooses among all engines.
                if call.hand_back.is_offered() {
                    break CancelOutcome::Withdrawn;
                }
                if commands.len() < MAX_COMMANDS {
                    commands.push(send_stop(shared, call, engine, engine.address));
                }
            }
        }
    };
    // The engine may still carry out a command that is in flight.
    while let Some(result) = commands.next().await {
        if let StopResult::Copied(handle) | StopResult::Kept(handle) = result {
            free(shared, call, engine, &handle).await;
            outcome = CancelOutcome::Stopped;
        }
    }
    outcome
}

/// Returns whether another incarnation has the engine's id or its address.
fn is_replaced(shared: &Shared, engine: &Target) -> bool {
    shared.registry.borrow().iter().any(|upstream| {
        let record = &upstream.record;
        let is_same = record.id == engine.id && record.born_ms == engine.born_ms;
        let has_address =
            upstream.address == engine.address && record.phase() != UpstreamPhase::Gone;
        !is_same && (record.id == engine.id || has_address)
    })
}

/// Returns whether an engine that accepts no connection is gone: nothing listens at its address, or
/// it is known to have ended. One that leaves without draining runs generations for a while.
async fn is_gone(shared: &Shared, engine: &Target) -> bool {
    let is_known_to_have_ended = {
        let registry = shared.registry.borrow();
        registry
            .get(&engine.id)
            .is_none_or(|known| known.record.phase() == UpstreamPhase::Gone || known.is_silent())
    };
    is_known_to_have_ended || refuses_connections(shared, engine.address).await
}
