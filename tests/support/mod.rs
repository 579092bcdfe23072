//! A whole deployment inside one test: control processes, entries and
//! stand-ins on loopback addresses, with links that can be cut.

#![allow(dead_code, missing_docs)]

pub mod caller;
pub mod deployment;
pub mod link;
pub mod upstreams;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use tokio::time::sleep;

pub use caller::Caller;
pub use deployment::Deployment;

/// Longest time for anything to happen; far above what it takes.
const PATIENCE: Duration = Duration::from_secs(30);
const POLL: Duration = Duration::from_millis(20);

/// Waits until `condition` holds, and fails with `what` if it never does.
pub async fn eventually<F>(what: &str, mut condition: impl FnMut() -> F)
where
    F: Future<Output = bool>,
{
    let polls = PATIENCE.as_millis() / POLL.as_millis();
    for _ in 0..polls {
        if condition().await {
            return;
        }
        sleep(POLL).await;
    }
    panic!("{what} did not happen");
}

/// Runs a test on a runtime of its own.
pub fn run(test: impl Future<Output = ()>) {
    actix_rt::System::new().block_on(test);
}

/// Returns a loopback address that no other test uses.
pub fn own_address() -> Ipv4Addr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let process = std::process::id();
    let deployment = NEXT.fetch_add(1, Ordering::Relaxed);
    Ipv4Addr::new(127, 64 + (process % 128) as u8, (process / 128 % 256) as u8, deployment)
}

pub fn at(address: Ipv4Addr, port: u16) -> SocketAddr {
    SocketAddr::from((address, port))
}
