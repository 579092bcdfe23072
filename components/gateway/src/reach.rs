//! Detects that this gateway reaches no upstream, by probes from several sides.

use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use futures::future::join_all;
use lineage::Origin;
use rand::seq::SliceRandom as _;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until};

use crate::pool::Connection;
use crate::shared::Shared;
use crate::target::Target;

/// Interval at which the evidence is evaluated.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Upstreams in one round of probes, of which one is of each service; more if there are more
/// services.
const PROBES: usize = 4;
/// Fewest upstreams whose failure counts as a partition of this gateway.
const MIN_PROBES: usize = 2;
/// Wait for a sign of life of any upstream before some are probed, and the interval at which it
/// is checked.
const SIGN_OF_LIFE_WAIT: Duration = Duration::from_millis(100);
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time without data after which a stream counts as broken while upstreams are out of reach.
const QUIET_LIMIT: Duration = Duration::from_millis(400);

/// Watches the links to upstreams until the task is dropped.
pub(crate) async fn watch_links(shared: Rc<Shared>) {
    loop {
        sleep(CHECK_INTERVAL).await;
        if shared.reach.borrow().needs_probe(Instant::now()) {
            probe(&shared).await;
        }
    }
}

/// Returns whether this gateway reaches no upstream: none gives a sign of life, and a round of
/// probes reaches none.
pub(crate) async fn confirm_cut_off(shared: &Shared) -> bool {
    let since = Instant::now();
    let until = since + SIGN_OF_LIFE_WAIT;
    while !shared.is_cut_off() && Instant::now() < until {
        if shared.reach.borrow().heard_after(since) {
            return false;
        }
        sleep(POLL_INTERVAL).await;
    }
    if !shared.is_cut_off() {
        probe(shared).await;
    }
    shared.is_cut_off()
}

/// Waits until upstreams are out of reach and a stream had no data for [`QUIET_LIMIT`] since
/// `heard`.
pub(crate) async fn broken_by_cut(cut_off: &mut watch::Receiver<bool>, heard: Instant) {
    // Waiting fails only once the sender is gone.
    while cut_off.wait_for(|cut_off| *cut_off).await.is_ok() {
        tokio::select! {
            biased;
            Ok(_) = cut_off.wait_for(|cut_off| !*cut_off) => {}
            () = sleep_until(heard + QUIET_LIMIT) => return,
        }
    }
    std::future::pending().await
}

/// Connects to some upstreams of all services and records whether any is reached.
async fn probe(shared: &Shared) {
    let targets = probe_targets(shared);
    // One that is reached is enough to end a partition.
    let fewest = if shared.is_cut_off() { 1 } else { MIN_PROBES };
    if targets.len() < fewest {
        return;
    }
    let limit = Duration::from_millis(shared.config.timers.connect_timeout_ms);
    let connecting =
        targets.iter().map(|target| Connection::open(shared.dialer.connect(target.address), limit));
    let results = join_all(connecting).await;
    let mut reached = 0;
    for (target, result) in targets.iter().zip(results) {
        if let Ok(connection) = result {
            reached += 1;
            shared.return_connection(target, connection);
        }
    }
    let was_cut_off = shared.is_cut_off();
    shared.reach.borrow_mut().record_probes(reached > 0, Instant::now());
    let is_cut_off = shared.is_cut_off();
    if was_cut_off != is_cut_off {
        log::warn!(probed = targets.len(), reached, cut_off = is_cut_off; "reachability of upstreams changed");
        shared.metrics.cut_off.set(i64::from(is_cut_off));
        shared.cut_off.send_replace(is_cut_off);
        if !is_cut_off {
            shared.peers.forget();
        }
    }
}

fn probe_targets(shared: &Shared) -> Vec<Target> {
    let registry = shared.registry.borrow();
    let mut ready: Vec<_> =
        registry.iter().filter(|upstream| upstream.accepts_requests()).collect();
    ready.shuffle(&mut rand::rng());
    // A large service that is down must not be taken for all of them.
    let mut services = HashSet::new();
    let (mut chosen, others): (Vec<_>, Vec<_>) =
        ready.into_iter().partition(|upstream| services.insert(&upstream.record.service));
    chosen.extend(others.into_iter().take(PROBES.saturating_sub(chosen.len())));
    let to_target = |upstream: &registry::KnownUpstream| Target {
        id: upstream.record.id.as_str().into(),
        origin: Origin {
            service: upstream.record.service.as_str().into(),
            version: upstream.record.version.as_str().into(),
        },
        address: upstream.address,
        born_ms: upstream.record.born_ms,
    };
    chosen.into_iter().map(to_target).collect()
}

#[cfg(test)]
#[path = "../tests/unit/broken_by_cut.rs"]
mod tests;
