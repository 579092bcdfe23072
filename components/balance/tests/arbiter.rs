//! Places granted to the requests of several entries.

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
fn requests_of_several_entries_do_not_meet_at_one_engine() {
    let mut arbiter = Arbiter::default();
    arbiter.ask(ask("a", 1, 0), "first");
    arbiter.ask(ask("b", 1, 0), "second");

    let decided = decide(&mut arbiter, 0);

    assert_eq!(decided.len(), 2);
    assert_ne!(decided[0].1, decided[1].1);
}

#[test]
fn request_waits_for_room_until_its_deadline() {
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
fn grant_counts_until_its_entry_tells_of_it() {
    let mut arbiter = Arbiter::default();
    for number in 1..=4 {
        arbiter.ask(ask("a", number, 0), "placed");
    }
    decide(&mut arbiter, 0);
    arbiter.ask(ask("b", 1, 0), "waiting");

    arbiter.tell("a", vec![], 0);
    assert!(decide(&mut arbiter, 0).is_empty());

    let used = Use { running: 1, tokens: 4_000, unread_tokens: 0 };
    arbiter.tell("a", vec![("e1".into(), used)], 4);
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
fn lost_entry_leaves_no_load_and_no_request() {
    let mut arbiter = Arbiter::default();
    for number in 1..=5 {
        arbiter.ask(ask("a", number, 0), "of a");
    }
    decide(&mut arbiter, 0);

    arbiter.forget("a");
    arbiter.ask(ask("b", 1, 0), "of b");

    assert_eq!(decide(&mut arbiter, 0)[0].0, "of b");
}
