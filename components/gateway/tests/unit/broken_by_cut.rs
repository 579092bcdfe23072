use futures::FutureExt as _;

use super::*;

/// Guards against requests that are abandoned although upstreams are in reach again.
#[tokio::test]
async fn partition_that_has_ended_breaks_no_request() {
    let (cut_off, mut receiver) = watch::channel(true);
    let broken = broken_by_cut(&mut receiver, Instant::now());
    tokio::pin!(broken);
    assert!(broken.as_mut().now_or_never().is_none());

    cut_off.send_replace(false);
    sleep(QUIET_LIMIT).await;
    assert!(broken.as_mut().now_or_never().is_none());

    cut_off.send_replace(true);
    assert!(broken.as_mut().now_or_never().is_some());
}
