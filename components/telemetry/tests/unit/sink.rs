//! The bound on written lines.

use std::time::{Duration, Instant};

use super::{Allowance, BURST_LINES, LINES_PER_S};

#[test]
fn burst_is_bounded_and_refills_at_the_rate() {
    let start = Instant::now();
    let mut allowance = Allowance::new(start);

    let burst = (0..100_000).filter(|_| allowance.take(start)).count();
    let later = start + Duration::from_secs(1);
    let refilled = (0..100_000).filter(|_| allowance.take(later)).count();

    assert_eq!(burst as f64, BURST_LINES);
    assert_eq!(refilled as f64, LINES_PER_S);
}
