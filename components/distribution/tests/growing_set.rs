//! A set of routes that grows in steps while many gateways follow it: what a control process
//! holds and sends.

use distribution::{
    CHANGE_CACHE_BYTES, CHUNK_BYTES, HISTORY_ITEMS, Received, RouteReceiver, RouteSource,
};
use prost::Message as _;
use schema::{RouteRule, RouteSet, WeightedService};

const GATEWAYS: usize = 95;
const STEP: usize = 1_400;

fn route(index: usize) -> RouteRule {
    RouteRule {
        name: format!("r-{index:07}"),
        host: format!("host{}.example", index % 40),
        path_prefix: format!("/p{index:07}/"),
        timeout_ms: 2_500,
        services: vec![WeightedService { service: "booking-app".into(), weight: 1 }],
        ..RouteRule::default()
    }
}

/// Set `number` with a document that is as large as the routes.
fn set(number: u64, routes: std::ops::Range<usize>) -> RouteSet {
    let document = vec![b'x'; routes.len() * 300].into();
    RouteSet { number, routes: routes.map(route).collect(), document, ..RouteSet::default() }
}

fn size_bytes(set: &RouteSet) -> usize {
    RouteSet { document: Default::default(), ..set.clone() }.encoded_len()
}

/// Gateway that fetches one chunk at a time.
#[derive(Default)]
struct Gateway {
    set: RouteSet,
    receiver: RouteReceiver,
    received_bytes: usize,
}

impl Gateway {
    /// Gateway at which `set` is in force.
    fn with(set: &RouteSet) -> Self {
        let set = without_document(set);
        Gateway { receiver: RouteReceiver::of(&set), set, received_bytes: 0 }
    }

    /// Fetches one chunk; returns false if there is nothing newer.
    fn fetch(&mut self, source: &mut RouteSource, current: &RouteSet) -> bool {
        let reply = source.next_chunk(&self.receiver.next_request(), current);
        assert!(reply.chunk.len() <= CHUNK_BYTES, "no reply is larger than a chunk");
        self.received_bytes += reply.chunk.len();
        match self.receiver.receive(reply, &self.set).expect("chunks follow each other") {
            Received::NothingNewer => return false,
            Received::Chunk => {}
            Received::Set(set, _) => self.set = set,
        }
        true
    }
}

fn without_document(set: &RouteSet) -> RouteSet {
    RouteSet { document: Default::default(), ..set.clone() }
}

/// Seven times 1,400 routes more, as one operator publishes a growing configuration: every
/// gateway gets each route once, and the control process keeps few encoded changes.
#[test]
fn growing_set_is_sent_as_changes_and_encoded_once_for_all_gateways() {
    let mut source = RouteSource::default();
    let mut gateways: Vec<Gateway> =
        std::iter::repeat_with(Gateway::default).take(GATEWAYS).collect();
    let mut largest_held_bytes = 0;
    let mut current = RouteSet::default();
    for step in 1..=7 {
        current = set(step as u64, 0..step * STEP);
        source.record(&current);
        for gateway in &mut gateways {
            while gateway.fetch(&mut source, &current) {
                largest_held_bytes = largest_held_bytes.max(source.change_bytes());
            }
        }
    }

    let size_bytes = size_bytes(&current);
    for gateway in &gateways {
        assert_eq!(gateway.set, without_document(&current));
        let received = gateway.received_bytes;
        assert!(received < size_bytes + size_bytes / 10, "{received} of {size_bytes} bytes");
    }
    assert!(largest_held_bytes < 2 * size_bytes, "{largest_held_bytes} bytes are held");
}

/// A control process that restarts has the set in force only, and all gateways have older
/// ones: one encoded set serves them all.
#[test]
fn gateways_with_sets_that_are_not_kept_share_one_complete_set() {
    let old: Vec<RouteSet> = (1..=20).map(|number| set(number, 0..number as usize * 100)).collect();
    let current = set(21, 0..7 * STEP);
    let mut source = RouteSource::default();
    source.record(&current);
    let mut gateways: Vec<Gateway> =
        (0..GATEWAYS).map(|index| Gateway::with(&old[index % old.len()])).collect();

    for gateway in &mut gateways {
        while gateway.fetch(&mut source, &current) {}
    }

    assert!(gateways.iter().all(|gateway| gateway.set == without_document(&current)));
    assert!(source.change_bytes() < 2 * size_bytes(&current));
}

/// Changes come faster than a slow gateway receives a complete set: it still gets there, with
/// the set that it began to receive and the change that followed.
#[test]
fn slow_gateway_catches_up_while_the_set_keeps_changing() {
    let mut source = RouteSource::default();
    let mut gateway = Gateway::default();
    let mut current = set(1, 0..7 * STEP);
    source.record(&current);
    let chunks = size_bytes(&current).div_ceil(CHUNK_BYTES);
    assert!(chunks > 4, "the set needs several chunks");

    for number in 2..2 + 2 * chunks as u64 {
        gateway.fetch(&mut source, &current);
        current = set(number, number as usize..7 * STEP);
        source.record(&current);
    }

    assert!(gateway.set.number + 2 >= current.number, "at {}", gateway.set.number);
    assert!(source.change_bytes() <= CHANGE_CACHE_BYTES);
}

/// Thousands of sets, each unlike the one before.
#[test]
fn kept_history_and_changes_are_bounded() {
    let mut source = RouteSource::default();
    let mut gateways: Vec<Gateway> = std::iter::repeat_with(Gateway::default).take(4).collect();
    for number in 1..60 {
        let first = number as usize * 100_000;
        let current = set(number, first..first + 9_800);
        source.record(&current);
        let gateway = &mut gateways[number as usize % 4];
        while gateway.fetch(&mut source, &current) {}
        assert!(source.history_items() <= HISTORY_ITEMS);
        assert!(source.change_bytes() <= CHANGE_CACHE_BYTES);
    }
}

/// Another control process has no such change; the gateway starts again there.
#[test]
fn transfer_starts_again_at_a_process_that_does_not_keep_the_change() {
    let current = set(5, 0..2 * STEP);
    let mut first = RouteSource::default();
    first.record(&set(4, 0..STEP));
    first.record(&current);
    let mut second = RouteSource::default();
    second.record(&current);
    let mut gateway = Gateway::with(&set(4, 0..STEP));
    gateway.fetch(&mut first, &current);

    while gateway.fetch(&mut second, &current) {}

    assert_eq!(gateway.set, without_document(&current));
}
