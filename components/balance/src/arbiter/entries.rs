//! Load of each entry: what it reported, and the reservations granted since.

use std::collections::{BTreeMap, HashMap};

use compact_str::CompactString;

use super::ReservationRequest;
use crate::load::{Loads, UpstreamLoad};

/// Time for which the rejections that an entry reported are kept.
const REJECTIONS_PERIOD_MS: u64 = 30_000;

/// Reservation that the load reports of its entry do not include yet.
#[derive(Debug)]
struct Grant {
    number: u64,
    id: CompactString,
    load: UpstreamLoad,
}

/// Load reported by one entry, and reservations granted to it since.
#[derive(Debug, Default)]
struct EntryLoad {
    reported: Vec<(CompactString, UpstreamLoad)>,
    placed_through: u64,
    grants: Vec<Grant>,
    /// Requests that upstreams rejected since the entry started, as it reported.
    rejections: HashMap<CompactString, Rejections>,
}

/// Requests that one incarnation of an upstream rejected for want of room.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Rejections {
    /// Start time of the incarnation, in Unix milliseconds.
    pub born_ms: u64,
    /// Number since the entry that reports them started.
    pub count: u32,
    /// When the last of them arrived.
    pub last_ms: u64,
}

/// Loads of all entries.
#[derive(Debug, Default)]
pub(super) struct EntryLoads(BTreeMap<CompactString, EntryLoad>);

impl EntryLoads {
    /// Applies a report, unless a later one has overtaken it.
    pub(super) fn report(
        &mut self,
        entry: &str,
        reported: Vec<(CompactString, UpstreamLoad)>,
        placed_through: u64,
    ) {
        let load = self.0.entry(entry.into()).or_default();
        if placed_through < load.placed_through {
            return;
        }
        load.placed_through = placed_through;
        load.reported = reported;
        load.grants.retain(|grant| grant.number > placed_through);
    }

    /// Records the rejections that an entry reports; returns how many of them are new.
    pub(super) fn report_rejections(
        &mut self,
        entry: &str,
        id: &str,
        rejections: Rejections,
        now_ms: u64,
    ) -> u32 {
        let load = self.0.entry(entry.into()).or_default();
        load.rejections.retain(|_, known| now_ms < known.last_ms + REJECTIONS_PERIOD_MS);
        let known = load.rejections.insert(id.into(), rejections).unwrap_or_default();
        let is_same = known.born_ms == rejections.born_ms;
        rejections.count.saturating_sub(if is_same { known.count } else { 0 })
    }

    pub(super) fn remove(&mut self, entry: &str) {
        self.0.remove(entry);
    }

    /// Returns the total load reported by all entries but `entry`, by upstream.
    pub(super) fn reported_by_others(&self, entry: &str) -> BTreeMap<&str, UpstreamLoad> {
        let mut total: BTreeMap<&str, UpstreamLoad> = BTreeMap::new();
        let others = self.0.iter().filter(|(name, _)| name.as_str() != entry);
        for (id, load) in others.flat_map(|(_, entry)| &entry.reported) {
            *total.entry(id).or_default() += *load;
        }
        total
    }

    /// Counts a reservation until the entry reports it.
    pub(super) fn grant(&mut self, request: &ReservationRequest, id: CompactString) {
        let load = UpstreamLoad {
            running: 1,
            committed_cache_tokens: request.demand.cache_tokens,
            pending_prefill_tokens: request.demand.prefill_tokens,
        };
        let entry = self.0.entry(request.entry.clone()).or_default();
        entry.grants.push(Grant { number: request.request_number, id, load });
    }

    /// Returns the load of all entries on an upstream.
    pub(super) fn load(&self, id: &str) -> UpstreamLoad {
        let mut total = UpstreamLoad::default();
        for entry in self.0.values() {
            let reported = entry.reported.iter().filter(|(known, _)| known.as_str() == id);
            let granted = entry.grants.iter().filter(|grant| grant.id.as_str() == id);
            reported.for_each(|(_, load)| total += *load);
            granted.for_each(|grant| total += grant.load);
        }
        total
    }

    /// Returns the load of all entries.
    pub(super) fn total(&self) -> Loads {
        let mut loads = Loads::default();
        for entry in self.0.values() {
            let granted = entry.grants.iter().map(|grant| (&grant.id, grant.load));
            for (id, load) in entry.reported.iter().map(|(id, load)| (id, *load)).chain(granted) {
                loads.add(id, load);
            }
        }
        loads
    }
}
