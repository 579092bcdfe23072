//! In-process deployment for integration tests: control processes, entries and
//! upstream stand-ins on loopback addresses, with simulated network partitions.

#![allow(dead_code, missing_docs)]

pub mod caller;
pub mod deployment;
pub mod disk;
pub mod link;
pub mod upstreams;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use tokio::time::sleep;

pub use caller::Caller;
pub use deployment::Deployment;

/// Total time that `eventually` sleeps between its polls; far longer than any
/// awaited condition takes. Time spent in the condition itself is not counted.
const EVENTUALLY_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Polls `condition` until it holds. Panics with `description` on a timeout.
pub async fn eventually<F>(description: &str, mut condition: impl FnMut() -> F)
where
    F: Future<Output = bool>,
{
    let polls = EVENTUALLY_TIMEOUT.as_millis() / POLL_INTERVAL.as_millis();
    for _ in 0..polls {
        if condition().await {
            return;
        }
        sleep(POLL_INTERVAL).await;
    }
    panic!("timed out waiting until {description}");
}

/// Runs an async test on its own runtime.
pub fn run_async(test: impl Future<Output = ()>) {
    actix_rt::System::new().block_on(test);
}

/// Returns a loopback address derived from the process id and a counter, so that
/// deployments of parallel tests do not share ports.
pub fn unique_loopback_address() -> Ipv4Addr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let process = std::process::id();
    let deployment_number = NEXT.fetch_add(1, Ordering::Relaxed);
    Ipv4Addr::new(127, 64 + (process % 128) as u8, (process / 128 % 256) as u8, deployment_number)
}

pub fn socket_address(address: Ipv4Addr, port: u16) -> SocketAddr {
    SocketAddr::from((address, port))
}
