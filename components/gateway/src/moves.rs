//! Carries a running generation over to another engine.

use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use tokio::time::{Instant, sleep};

use crate::dialect::{MemoryRef, MoveOrder, MoveResult};
use crate::exchange::{Target, order};
use crate::place::{Excluded, Need, Place, place_for_move};
use crate::shared::Shared;

/// Largest answer to an order.
const MAX_ANSWER_BYTES: usize = 4_096;
/// Pause before an order that cannot succeed yet is given again.
const RETRY_DELAY: Duration = Duration::from_millis(40);
/// Longest wait for one copy: an engine's whole memory over its link.
const COPY_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Generation whose memory is at another engine.
#[derive(Debug)]
pub(crate) struct Moved {
    pub(crate) place: Place,
    pub(crate) memory: MemoryRef,
}

/// Copies the memory of the run `request_id` from `source` to another engine,
/// first while it goes on, then what is new after it stopped.
pub(crate) async fn carry_over(
    shared: &Rc<Shared>,
    request_id: &str,
    source: &Target,
    need: &Need,
    until: Instant,
) -> Option<Moved> {
    let started = Instant::now();
    let mut excluded: Excluded = [source.id.clone()].into_iter().collect();
    while Instant::now() < until {
        let Ok(place) = place_for_move(shared, need, &excluded) else {
            sleep(RETRY_DELAY).await;
            continue;
        };
        let to = place.target.address;
        match give(shared, source, MoveOrder { request_id, to, stop: false }).await {
            MoveResult::Copied(_) | MoveResult::Kept(_) => {}
            MoveResult::NoRun => {
                sleep(RETRY_DELAY).await;
                continue;
            }
            MoveResult::Failed => {
                log::info!(request = request_id, from = source.id.as_str(), to = place.target.id.as_str(); "copy of a generation failed");
                excluded.push(place.target.id.clone());
                sleep(RETRY_DELAY).await;
                continue;
            }
        }
        let copied_ms = crate::forward::elapsed_ms(started);
        let handle = match give(shared, source, MoveOrder { request_id, to, stop: true }).await {
            MoveResult::Copied(handle) => handle,
            MoveResult::Kept(_) | MoveResult::NoRun | MoveResult::Failed => {
                log::warn!(request = request_id, from = source.id.as_str(), to = place.target.id.as_str(), copied_ms; "generation stopped but not copied");
                shared.metrics.moves.with_label_values(&["failed"]).inc();
                return None;
            }
        };
        let stopped_ms = crate::forward::elapsed_ms(started);
        log::info!(request = request_id, from = source.id.as_str(), to = place.target.id.as_str(), copied_ms, stopped_ms; "generation moved");
        shared.metrics.moves.with_label_values(&["moved"]).inc();
        return Some(Moved { place, memory: MemoryRef { source: source.address, handle } });
    }
    None
}

async fn give(shared: &Shared, source: &Target, move_order: MoveOrder<'_>) -> MoveResult {
    let request = shared.dialect.move_request(&move_order);
    let until = Instant::now() + COPY_TIMEOUT;
    match order(shared, source, request, until, MAX_ANSWER_BYTES).await {
        Ok((status, body)) => shared.dialect.read_move(status, &body),
        Err(failure) => {
            log::info!(request = move_order.request_id, upstream = source.id.as_str(), error = failure.to_string().as_str(); "move order failed");
            MoveResult::Failed
        }
    }
}

/// Frees a copy that is not needed any more.
pub(crate) fn free(shared: &Rc<Shared>, source: Target, handle: CompactString) {
    let shared = shared.clone();
    actix_rt::spawn(async move {
        let request = shared.dialect.free_request(&handle);
        let until = Instant::now() + COPY_TIMEOUT;
        if let Err(failure) = order(&shared, &source, request, until, MAX_ANSWER_BYTES).await {
            log::info!(upstream = source.id.as_str(), error = failure.to_string().as_str(); "copy not freed");
        }
    });
}
