//! Places granted to the requests of all entries, one after another.
//!
//! Entries that choose for themselves see the use by others a moment late, and
//! all rush to the one upstream that has room. The arbiter counts each place
//! at once, and lets requests that find no room wait in one order.

use std::collections::BTreeMap;

use compact_str::CompactString;
use rand::Rng;

use crate::load::{Candidate, Demand, Loads, Use};

/// Upstream that may be granted.
#[derive(Clone, Debug)]
pub struct Offer {
    /// Id of the upstream.
    pub id: CompactString,
    /// Requests that it processes at a time.
    pub slots: u32,
    /// Cache tokens that it holds.
    pub cache_tokens: u64,
    /// Cost beside its load, as a share of a full upstream.
    pub extra_cost: f64,
}

impl Offer {
    /// Returns the upstream as a candidate for a choice by load.
    pub fn as_candidate(&self) -> Candidate<'_> {
        Candidate {
            id: &self.id,
            slots: self.slots,
            cache_tokens: self.cache_tokens,
            extra_cost: self.extra_cost,
        }
    }
}

/// Request for a place.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Entry that asks.
    pub entry: CompactString,
    /// Number of the request at its entry.
    pub number: u64,
    /// Order of service; 0 is served first.
    pub rank: u32,
    /// What the request needs.
    pub demand: Demand,
    /// Prompt tokens that are to be read.
    pub unread_tokens: u64,
    /// Upstreams that would do.
    pub offers: Vec<Offer>,
    /// Since when the request waits for room.
    pub since_ms: u64,
    /// Until then the request waits for room.
    pub deadline_ms: u64,
}

/// Place that an entry has not told of yet.
#[derive(Debug)]
struct Grant {
    number: u64,
    id: CompactString,
    granted: Use,
}

/// Use told by one entry, and places granted to it since.
#[derive(Debug, Default)]
struct Account {
    told: Vec<(CompactString, Use)>,
    grants: Vec<Grant>,
}

/// Places granted to the requests of all entries.
#[derive(Debug)]
pub struct Arbiter<T> {
    accounts: BTreeMap<CompactString, Account>,
    /// Requests that wait for room, by rank and arrival.
    waiting: BTreeMap<(u32, u64, u64), (Ask, T)>,
    arrivals: u64,
}

impl<T> Default for Arbiter<T> {
    fn default() -> Self {
        Arbiter { accounts: BTreeMap::new(), waiting: BTreeMap::new(), arrivals: 0 }
    }
}

impl<T> Arbiter<T> {
    /// Takes over the use that an entry tells, which covers its places up to
    /// the number `placed_through`.
    pub fn tell(&mut self, entry: &str, told: Vec<(CompactString, Use)>, placed_through: u64) {
        let account = self.accounts.entry(entry.into()).or_default();
        account.told = told;
        account.grants.retain(|grant| grant.number > placed_through);
    }

    /// Forgets an entry that is gone, and its waiting requests.
    pub fn forget(&mut self, entry: &str) {
        self.accounts.remove(entry);
        self.waiting.retain(|_, (ask, _)| ask.entry != entry);
    }

    /// Returns the use that all entries but one told, by upstream.
    pub fn told_by_others(&self, entry: &str) -> BTreeMap<&str, Use> {
        let mut total: BTreeMap<&str, Use> = BTreeMap::new();
        let others = self.accounts.iter().filter(|(name, _)| name.as_str() != entry);
        for (id, used) in others.flat_map(|(_, account)| &account.told) {
            *total.entry(id).or_default() += *used;
        }
        total
    }

    /// Adds a request; `reply` comes back with the decision.
    pub fn ask(&mut self, ask: Ask, reply: T) {
        self.arrivals += 1;
        self.waiting.insert((ask.rank, ask.since_ms, self.arrivals), (ask, reply));
    }

    /// Decides on waiting requests, in the order of rank and arrival; returns
    /// those that get a place or have waited long enough.
    pub fn decide(
        &mut self,
        now_ms: u64,
        is_wanted: impl Fn(&T) -> bool,
        rng: &mut impl Rng,
    ) -> Vec<(T, Option<CompactString>)> {
        if self.waiting.is_empty() {
            return Vec::new();
        }
        let mut loads = self.loads();
        let mut decided = Vec::new();
        let mut waiting = std::mem::take(&mut self.waiting);
        waiting.retain(|_, (_, reply)| is_wanted(reply));
        while let Some((key, (ask, reply))) = waiting.pop_first() {
            let candidates = ask.offers.iter().map(Offer::as_candidate);
            let granted = loads.choose(candidates, ask.demand, rng).map(CompactString::from);
            match granted {
                Some(id) => {
                    loads.begin(&id, ask.demand.tokens, ask.unread_tokens);
                    self.grant(&ask, id.clone());
                    decided.push((reply, Some(id)));
                }
                None if now_ms >= ask.deadline_ms => decided.push((reply, None)),
                None => {
                    self.waiting.insert(key, (ask, reply));
                }
            }
        }
        decided
    }

    fn grant(&mut self, ask: &Ask, id: CompactString) {
        let granted =
            Use { running: 1, tokens: ask.demand.tokens, unread_tokens: ask.unread_tokens };
        let account = self.accounts.entry(ask.entry.clone()).or_default();
        account.grants.push(Grant { number: ask.number, id, granted });
    }

    fn loads(&self) -> Loads {
        let mut loads = Loads::default();
        for account in self.accounts.values() {
            let granted = account.grants.iter().map(|grant| (&grant.id, grant.granted));
            for (id, used) in account.told.iter().map(|(id, used)| (id, *used)).chain(granted) {
                loads.add(id, used);
            }
        }
        loads
    }
}
