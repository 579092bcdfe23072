//! From which control process a gateway fetches a newer set of routes.

use std::net::SocketAddr;

use super::{NextFetch, RouteOffers};

const VM: &str = "front-1";

fn source(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 1, last], 7_200))
}

fn next(offers: &RouteOffers, now_ms: u64) -> NextFetch {
    offers.next_fetch(VM, "a", now_ms)
}

/// Offers of a gateway that serves the set 2, as does the control process in its data centre;
/// another one has the set 3.
fn offered_elsewhere() -> RouteOffers {
    let mut offers = RouteOffers::default();
    offers.record(source(1), 3, "b", 1_000);
    offers.record(source(2), 2, "a", 1_000);
    offers.set_served(2);
    offers
}

#[test]
fn set_is_fetched_in_the_own_data_centre_once_it_is_there() {
    let mut offers = offered_elsewhere();

    let before = next(&offers, 1_000);
    offers.record(source(2), 3, "a", 1_040);

    assert_eq!(before, NextFetch::WaitUntil(1_100));
    assert_eq!(next(&offers, 1_040), NextFetch::From(source(2)));
}

#[test]
fn set_is_fetched_elsewhere_if_the_own_data_centre_lags_or_fails() {
    let mut offers = offered_elsewhere();
    assert_eq!(next(&offers, 1_100), NextFetch::From(source(1)));

    offers.record(source(2), 3, "a", 1_100);
    offers.suspend(source(2), 1_100);

    assert_eq!(next(&offers, 1_110), NextFetch::From(source(1)));
}

/// Sets that follow each other faster than the wait do not put the fetch off again and again.
#[test]
fn steady_changes_do_not_delay_the_fetch() {
    let mut offers = RouteOffers::default();
    offers.record(source(2), 1, "a", 0);
    offers.set_served(1);
    for number in 2..10 {
        offers.record(source(1), number, "b", number * 30);
    }

    assert_eq!(next(&offers, 270), NextFetch::From(source(1)));
}

#[test]
fn nothing_is_fetched_without_a_newer_set() {
    let mut offers = RouteOffers::default();
    offers.record(source(1), 3, "a", 0);
    offers.set_served(3);
    assert_eq!(next(&offers, 10), NextFetch::Nothing);

    offers.record(source(1), 4, "a", 10);
    offers.remove(source(1));

    assert_eq!((next(&offers, 10), offers.number(source(1))), (NextFetch::Nothing, 0));
}
