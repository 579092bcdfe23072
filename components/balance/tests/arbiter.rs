//! Slot reservations for the requests of several entries.

use balance::{Arbiter, Ask, Demand, Offer, Use};

fn offer(id: &str) -> Offer {
    Offer { id: id.into(), slots: 24, cache_tokens: 10_000, extra_cost: 0.0 }
}

fn ask(entry: &str, number: u64, rank: u32) -> Ask {
    Ask {
        entry: entry.into(),
        number,
        rank,
        demand: Demand { tokens: 4_000, fill: 1.0, noise: 0.0, sample: usize::MAX },
        unread_tokens: 4_000,
        offers: vec![offer("e1"), offer("e2")],
        since_ms: 0,
        deadline_ms: 500,
    }
}

fn decide(arbiter: &mut Arbiter<&'static str>, now_ms: u64) -> Vec<(&'static str, Option<String>)> {
    let decided = arbiter.decide(now_ms, |_| true, &mut rand::rng());
    decided.into_iter().map(|(reply, id)| (reply, id.map(String::from))).collect()
}

#[test]
fn concurrent_requests_of_two_entries_are_spread_over_engines() {
    let mut arbiter = Arbiter::default();
    arbiter.ask(ask("a", 1, 0), "first");
    arbiter.ask(ask("b", 1, 0), "second");

    let decided = decide(&mut arbiter, 0);

    assert_eq!(decided.len(), 2);
    assert_ne!(decided[0].1, decided[1].1);
}

#[test]
fn request_waits_for_capacity_until_its_deadline() {
    let mut arbiter = Arbiter::default();
    for number in 0..4 {
        arbiter.ask(ask("a", number, 0), "placed");
    }
    assert_eq!(decide(&mut arbiter, 0).len(), 4);
    arbiter.ask(ask("b", 1, 0), "late");

    assert!(decide(&mut arbiter, 499).is_empty());
    assert_eq!(decide(&mut arbiter, 500), [("late", None)]);
}

#[test]
fn grant_counts_as_load_until_its_entry_reports_it() {
    let mut arbiter = Arbiter::default();
    for number in 1..=4 {
        arbiter.ask(ask("a", number, 0), "placed");
    }
    decide(&mut arbiter, 0);
    arbiter.ask(ask("b", 1, 0), "waiting");

    arbiter.tell("a", vec![], 0);
    assert!(decide(&mut arbiter, 0).is_empty());

    let load = Use { running: 1, tokens: 4_000, unread_tokens: 0 };
    arbiter.tell("a", vec![("e1".into(), load)], 4);
    assert_eq!(decide(&mut arbiter, 0), [("waiting", Some("e2".into()))]);
}

#[test]
fn lower_rank_is_served_first() {
    let mut arbiter = Arbiter::default();
    for number in 1..=3 {
        arbiter.ask(ask("a", number, 0), "placed");
    }
    decide(&mut arbiter, 0);
    arbiter.ask(ask("b", 1, 1), "long");
    arbiter.ask(ask("b", 2, 0), "quick");

    assert_eq!(decide(&mut arbiter, 0)[0].0, "quick");
}

#[test]
fn removing_an_entry_drops_its_load_and_waiting_requests() {
    let mut arbiter = Arbiter::default();
    for number in 1..=5 {
        arbiter.ask(ask("a", number, 0), "of a");
    }
    decide(&mut arbiter, 0);

    arbiter.forget("a");
    arbiter.ask(ask("b", 1, 0), "of b");

    assert_eq!(decide(&mut arbiter, 0)[0].0, "of b");
}
