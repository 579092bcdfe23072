use super::*;

const INTERVAL: Duration = Duration::from_millis(50);

fn share_after(delays_ms: impl IntoIterator<Item = u64>) -> f64 {
    let mut busy = BusyShare::default();
    delays_ms.into_iter().for_each(|ms| busy.record(Duration::from_millis(ms), INTERVAL));
    busy.share()
}

#[test]
fn timers_in_time_leave_the_vm_idle() {
    assert_eq!(share_after([0, 1, 2, 3, 4]), 0.0);
}

#[test]
fn share_follows_the_late_timers_within_seconds() {
    let half_late = share_after((0..200).map(|number| if number % 2 == 0 { 8 } else { 0 }));
    let all_late = share_after(std::iter::repeat_n(8, 200));

    assert!((half_late - 0.5).abs() < 0.05, "{half_late}");
    assert!(all_late > 0.95, "{all_late}");
}

/// Timers fire 14 times a second if their delays are 20 ms on average.
#[test]
fn share_exceeds_half_after_four_seconds_with_four_of_five_timers_late() {
    let share = share_after((0..57).map(|number| if number % 5 == 0 { 0 } else { 25 }));

    assert!(share > 0.5, "{share}");
}

#[test]
fn one_long_delay_counts_for_a_second_at_most() {
    let second = share_after([1_000]);
    let hour = share_after([3_600_000]);

    assert_eq!(second, hour);
    assert!(hour < 0.4, "{hour}");
}
