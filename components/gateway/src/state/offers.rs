//! Sets of routes that control processes have in force.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use compact_str::CompactString;

/// Time for which a newer set is awaited from the control process in the own data centre
/// before it is fetched from another one.
const LOCAL_WAIT_MS: u64 = 100;
/// Time for which nothing is fetched from a control process after a failure.
const SUSPENSION_MS: u64 = 200;

#[derive(Clone, Debug)]
struct Offer {
    number: u64,
    data_centre: CompactString,
    /// Since when this control process has a newer set than the gateway.
    offered_ms: u64,
    suspended_until_ms: u64,
}

/// What to fetch next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum NextFetch {
    /// No control process has a newer set.
    Nothing,
    /// A newer set is to be fetched later, unless the offers change before.
    WaitUntil(u64),
    /// A newer set is to be fetched from this control process.
    From(SocketAddr),
}

/// Numbers of the sets of routes that the connected control processes have in force.
#[derive(Clone, Debug, Default)]
pub(crate) struct RouteOffers {
    by_source: BTreeMap<SocketAddr, Offer>,
    /// Number of the set that the gateway serves.
    served: u64,
}

impl RouteOffers {
    /// Records the number that `source` reports; returns whether it is new.
    pub(crate) fn record(
        &mut self,
        source: SocketAddr,
        number: u64,
        data_centre: &str,
        now_ms: u64,
    ) -> bool {
        let known = self.by_source.get(&source);
        if known.is_some_and(|known| known.number == number) {
            return false;
        }
        let offered_ms =
            known.filter(|known| known.number > self.served).map_or(now_ms, |k| k.offered_ms);
        let suspended_until_ms = known.map_or(0, |known| known.suspended_until_ms);
        let data_centre = data_centre.into();
        let offer = Offer { number, data_centre, offered_ms, suspended_until_ms };
        self.by_source.insert(source, offer);
        true
    }

    /// Records the number of the set that the gateway serves.
    pub(crate) fn set_served(&mut self, number: u64) {
        self.served = number;
    }

    /// Forgets a control process that is no longer connected.
    pub(crate) fn remove(&mut self, source: SocketAddr) {
        self.by_source.remove(&source);
    }

    /// Fetches nothing from `source` for a while.
    pub(crate) fn suspend(&mut self, source: SocketAddr, now_ms: u64) {
        if let Some(offer) = self.by_source.get_mut(&source) {
            offer.suspended_until_ms = now_ms + SUSPENSION_MS;
        }
    }

    /// Returns the number that `source` reported last; 0 if it reported none.
    pub(crate) fn number(&self, source: SocketAddr) -> u64 {
        self.by_source.get(&source).map_or(0, |offer| offer.number)
    }

    /// Returns what the gateway `vm` in `data_centre` fetches next. It prefers the control
    /// process in its data centre; gateways without one spread over all.
    pub(crate) fn next_fetch(&self, vm: &str, data_centre: &str, now_ms: u64) -> NextFetch {
        let is_local = |offer: &Offer| offer.data_centre == data_centre;
        let has_local = self
            .by_source
            .values()
            .any(|offer| is_local(offer) && offer.suspended_until_ms <= now_ms);
        let due_ms = |offer: &Offer| {
            let wait_ms = if has_local && !is_local(offer) { LOCAL_WAIT_MS } else { 0 };
            offer.suspended_until_ms.max(offer.offered_ms + wait_ms)
        };
        let newer = || self.by_source.iter().filter(|(_, offer)| offer.number > self.served);
        let weight =
            |source: &SocketAddr| hashing::id64([vm.as_bytes(), source.to_string().as_bytes()]);
        let due = newer().filter(|(_, offer)| due_ms(offer) <= now_ms);
        match due.max_by_key(|(source, offer)| (is_local(offer), weight(source))) {
            Some((source, _)) => NextFetch::From(*source),
            None => newer()
                .map(|(_, offer)| due_ms(offer))
                .min()
                .map_or(NextFetch::Nothing, NextFetch::WaitUntil),
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/offers.rs"]
mod tests;
