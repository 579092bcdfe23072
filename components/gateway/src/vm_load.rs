//! Measures what this gateway uses of its VM, for the control processes and operators.

use std::rc::Rc;
use std::time::Duration;

use schema::GatewayLoad;
use tokio::time::{Instant, sleep_until};

use crate::shared::Shared;

/// Mean interval between the timers whose delay is measured.
const TIMER_INTERVAL: Duration = Duration::from_millis(50);
/// Range around [`TIMER_INTERVAL`] in which a timer is due.
const TIMER_RANGE_MS: std::ops::RangeInclusive<u64> = 25..=75;
/// Share of the processor time or the memory from which the gateway is near its limit, and
/// below which it is no longer.
const NEAR_LIMIT: (f64, f64) = (0.9, 0.7);

/// Measures the delay of timers until the task is dropped.
pub(crate) async fn measure(shared: Rc<Shared>) {
    loop {
        let wait = Duration::from_millis(rand::random_range(TIMER_RANGE_MS));
        let due = Instant::now() + wait;
        sleep_until(due).await;
        let mut busy = shared.busy_share.get();
        busy.record(due.elapsed(), TIMER_INTERVAL);
        shared.busy_share.set(busy);
    }
}

/// Returns the load for a sync request.
pub(crate) fn report(shared: &Shared) -> GatewayLoad {
    let permille = |share: f64| (share.clamp(0.0, 1.0) * 1_000.0) as u32;
    let size = &shared.config.vm_size;
    GatewayLoad {
        processor_permille: permille(shared.busy_share.get().share()),
        memory_permille: permille(memory_share(shared)),
        vm_millicores: (size.cores * 1_000.0) as u32,
        vm_link_kbit_s: (size.link_mbit_s * 1_000.0) as u32,
        vm_memory_mib: size.memory_mib,
    }
}

/// Returns the used share of the memory for requests and responses.
fn memory_share(shared: &Shared) -> f64 {
    let limits = &shared.config.limits;
    let held = shared.held.used_bytes() as f64 / limits.max_held_bytes as f64;
    let buffered = shared.buffers.used_bytes() as f64 / limits.max_buffered_bytes as f64;
    held.max(buffered)
}

/// Updates the metrics, and logs when the gateway comes near a limit; returns whether it is.
pub(crate) fn publish(shared: &Shared, was_near: bool) -> bool {
    let (processor, memory) = (shared.busy_share.get().share(), memory_share(shared));
    let metric = &shared.metrics.pressure;
    metric.with_label_values(&["processor"]).set(processor);
    metric.with_label_values(&["memory"]).set(memory);
    let (near, far) = NEAR_LIMIT;
    let pressure = processor.max(memory);
    let in_flight = shared.in_flight();
    if !was_near && pressure >= near {
        log::warn!(processor, memory, in_flight; "gateway near its limit");
        return true;
    }
    if was_near && pressure < far {
        log::info!(processor, memory, in_flight; "gateway no longer near its limit");
        return false;
    }
    was_near
}
