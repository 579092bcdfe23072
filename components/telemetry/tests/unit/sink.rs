//! Rate limit of log lines.

use std::time::{Duration, Instant};

use super::{MAX_BURST_LINES, MAX_LINES_PER_S, TokenBucket};

#[test]
fn token_bucket_limits_bursts_and_refills_at_the_line_rate() {
    let start = Instant::now();
    let mut bucket = TokenBucket::new(start);

    let burst = (0..100_000).filter(|_| bucket.try_take(start)).count();
    let later = start + Duration::from_secs(1);
    let refilled = (0..100_000).filter(|_| bucket.try_take(later)).count();

    assert_eq!(burst as f64, MAX_BURST_LINES);
    assert_eq!(refilled as f64, MAX_LINES_PER_S);
}
