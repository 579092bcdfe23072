//! Many bodies and answers at once, of known and unknown length.

use super::{BufferBudget, BufferUse};

const LIMIT: u64 = 32 << 20;
const MIB: u64 = 1 << 20;

/// Bodies in chunks that grow as they arrive: they are refused before the budget is exceeded,
/// and what they held is free again.
#[test]
fn growing_bodies_are_refused_within_the_budget() {
    let budget = BufferBudget::new(LIMIT);
    let mut bodies: Vec<_> = (0..32).map(|_| budget.reserve(BufferUse::RequestBody)).collect();
    let mut refused = 0;
    for mib in 1..=4 {
        bodies.retain_mut(|body| {
            let grown = body.grow_to(mib * MIB);
            refused += u32::from(!grown);
            grown
        });
        assert!(budget.used_bytes() <= LIMIT / 4 * 3);
    }

    assert!(refused > 20 && !bodies.is_empty(), "{refused} refused");
    drop(bodies);
    assert_eq!(budget.used_bytes(), 0);
}

/// Many engines that send bytes without end: their answers share the budget, and answers of
/// usual size still get through.
#[test]
fn endless_answers_leave_room_for_usual_ones() {
    let budget = BufferBudget::new(LIMIT);
    let mut endless: Vec<_> = (0..1_000).map(|_| budget.reserve(BufferUse::Answer)).collect();
    let held = endless.iter_mut().filter_map(|answer| answer.grow_to(MIB).then_some(())).count();
    let mut usual = budget.reserve(BufferUse::Answer);
    let mut body = budget.reserve(BufferUse::RequestBody);

    assert_eq!(held, 32);
    assert!(usual.grow_to(800), "an answer of usual size");
    assert!(!body.grow_to(800), "a request that can still be refused");
}

#[test]
fn reservation_does_not_shrink_when_less_is_asked_for() {
    let budget = BufferBudget::new(LIMIT);
    let mut body = budget.reserve(BufferUse::RequestBody);

    assert!(body.grow_to(9_000) && body.grow_to(100));

    assert_eq!(budget.used_bytes(), 9_000);
}
