//! Randomized exploration of the places granted to several entries, with
//! delayed and lost messages.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use balance::{Arbiter, Ask, Demand, Offer, Use};
use compact_str::CompactString;
use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};

const ENTRIES: usize = 3;
const ENGINES: [&str; 3] = ["e1", "e2", "e3"];
const CACHE_TOKENS: u64 = 10_000;
const STEPS: u64 = 600;
const SEEDS: u64 = 80;

/// What an entry tells: its use, and the number through which it covers places.
type Told = (Vec<(CompactString, Use)>, u64);

/// Entry that asks, gets places, tells and ends requests.
#[derive(Default)]
struct Entry {
    last: u64,
    open: BTreeSet<u64>,
    places: BTreeMap<u64, (CompactString, u64)>,
    /// Messages on their way, in order.
    tells: VecDeque<Told>,
    answers: VecDeque<(u64, u64, Option<CompactString>)>,
    /// Planted fault: tells that it covers places whose answers are on their way.
    covers_too_much: bool,
}

impl Entry {
    fn tell(&mut self) {
        let mut used: BTreeMap<CompactString, Use> = BTreeMap::new();
        for (engine, tokens) in self.places.values() {
            let sum = used.entry(engine.clone()).or_default();
            sum.running += 1;
            sum.tokens += tokens;
        }
        let open = self.open.first().filter(|_| !self.covers_too_much);
        let through = open.map_or(self.last, |first| first - 1);
        self.tells.push_back((used.into_iter().collect(), through));
    }
}

/// Plays one seed; returns whether an engine ever held more than it can.
fn overfills(seed: u64, covers_too_much: bool) -> bool {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut arbiter: Arbiter<(usize, u64, u64)> = Arbiter::default();
    let mut entries: Vec<Entry> =
        (0..ENTRIES).map(|_| Entry { covers_too_much, ..Entry::default() }).collect();
    for now_ms in 0..STEPS {
        let index = rng.random_range(0..ENTRIES);
        let entry = &mut entries[index];
        match rng.random_range(0..6) {
            0 | 1 => {
                entry.last += 1;
                entry.open.insert(entry.last);
                let tokens = rng.random_range(500..4_000);
                arbiter.ask(ask(index, entry.last, tokens, now_ms), (index, entry.last, tokens));
            }
            2 => entry.tell(),
            3 => {
                if let Some((told, through)) = entry.tells.pop_front() {
                    arbiter.tell(&name(index), told, through);
                }
            }
            4 => {
                if let Some((number, tokens, granted)) = entry.answers.pop_front() {
                    entry.open.remove(&number);
                    // A lost answer leaves the place unused.
                    let place = granted.filter(|_| rng.random_bool(0.9));
                    entry.places.extend(place.map(|engine| (number, (engine, tokens))));
                }
            }
            _ => {
                let ended = entry.places.keys().next().copied();
                ended.and_then(|number| entry.places.remove(&number));
            }
        }
        for ((index, number, tokens), granted) in arbiter.decide(now_ms, |_| true, &mut rng) {
            entries[index].answers.push_back((number, tokens, granted));
        }
        if ENGINES.iter().any(|engine| held(&entries, engine) > CACHE_TOKENS) {
            return true;
        }
    }
    false
}

/// Returns the tokens that are used or granted at an engine.
fn held(entries: &[Entry], engine: &str) -> u64 {
    let places = entries.iter().flat_map(|entry| entry.places.values());
    let used = places.filter(|(id, _)| id == engine).map(|(_, tokens)| tokens);
    let answers = entries.iter().flat_map(|entry| &entry.answers);
    let granted = answers.filter(|(_, _, id)| id.as_deref() == Some(engine));
    used.chain(granted.map(|(_, tokens, _)| tokens)).sum()
}

fn name(index: usize) -> String {
    format!("entry-{index}")
}

fn ask(index: usize, number: u64, tokens: u64, now_ms: u64) -> Ask {
    let offer =
        |id: &str| Offer { id: id.into(), slots: 24, cache_tokens: CACHE_TOKENS, extra_cost: 0.0 };
    Ask {
        entry: name(index).into(),
        number,
        rank: 0,
        demand: Demand { tokens, fill: 1.0, noise: 0.1, sample: usize::MAX },
        unread_tokens: 0,
        offers: ENGINES.map(offer).to_vec(),
        since_ms: now_ms,
        deadline_ms: now_ms + 50,
    }
}

#[test]
fn no_engine_is_granted_more_than_it_holds() {
    for seed in 0..SEEDS {
        assert!(!overfills(seed, false), "seed {seed}");
    }
}

#[test]
fn exploration_finds_an_entry_that_covers_places_it_does_not_count() {
    assert!((0..SEEDS).any(|seed| overfills(seed, true)));
}
