//! Room for requests at upstreams that fall over when they reject too many of them.
//!
//! A rejection counts against all entries together, and each of them learns of it a sync
//! interval late. The arbiter therefore grants such an upstream its slots at most, fewer
//! after a rejection, and lets what it holds grow one request at a time.

use std::collections::{HashMap, VecDeque};

use compact_str::CompactString;

/// Time after which an upstream that holds all that it may gets one more request, while it
/// has rejected none at that level; longer than a rejection takes to reach the arbiter.
const RAMP_MS: u64 = 50;
/// The same at the level at which it last rejected a request.
const PROBE_MS: u64 = 1_000;
/// Time within which the arbiter learns that a request was rejected; in this time an upstream
/// that has less than half of its room left gets no more requests than it may reject.
const REPORT_MS: u64 = 40;
/// Period over which unused room is taken back, so that an upstream that returns, or was
/// idle, is filled slowly.
const USE_PERIOD_MS: u64 = 1_000;
/// Period over which rejections count; upstreams count them over one second.
const REJECTION_PERIOD_MS: u64 = 1_200;
/// Most rejections of one report that are counted.
const MAX_REPORTED: u32 = 1_000;
/// Time after which the room of an upstream is dropped for which no request asked.
const MAX_IDLE_MS: u64 = 10_000;

/// Room at one upstream.
#[derive(Debug)]
struct Room {
    /// Requests that it may hold.
    level: u32,
    /// Level at which it last rejected a request, if it is not beyond that again.
    rejected_at: Option<u32>,
    raised_ms: u64,
    /// Most requests that it held in this period and the last one.
    peak: u32,
    previous_peak: u32,
    period_from_ms: u64,
    /// When it was granted requests, in the last [`REPORT_MS`].
    granted_ms: VecDeque<u64>,
    /// When it rejected requests, in the last [`REJECTION_PERIOD_MS`].
    rejected_ms: VecDeque<u64>,
    rejections: u64,
    asked_ms: u64,
}

impl Room {
    fn new(held: u32, now_ms: u64) -> Self {
        Room {
            level: held.max(1),
            rejected_at: None,
            raised_ms: now_ms,
            peak: held,
            previous_peak: held,
            period_from_ms: now_ms,
            granted_ms: VecDeque::new(),
            rejected_ms: VecDeque::new(),
            rejections: 0,
            asked_ms: now_ms,
        }
    }

    /// Takes unused room back.
    fn note_use(&mut self, held: u32, now_ms: u64) {
        self.asked_ms = now_ms;
        let periods = now_ms.saturating_sub(self.period_from_ms) / USE_PERIOD_MS;
        if periods > 0 {
            self.period_from_ms += periods * USE_PERIOD_MS;
            self.previous_peak = if periods == 1 { self.peak } else { 0 };
            self.peak = 0;
        }
        self.peak = self.peak.max(held);
        self.level = self.level.min(self.peak.max(self.previous_peak).max(1));
    }

    /// Returns until when the upstream gets no request because it has rejected as many as
    /// it should in a second; 0 if it has not.
    fn held_back_until_ms(&mut self, max_rejections: u32, now_ms: u64) -> u64 {
        while self.rejected_ms.front().is_some_and(|at| now_ms >= at + REJECTION_PERIOD_MS) {
            self.rejected_ms.pop_front();
        }
        let allowed = max_rejections.div_ceil(2).max(1) as usize;
        let first = self.rejected_ms.len().checked_sub(allowed);
        first.and_then(|index| self.rejected_ms.get(index)).map_or(0, |at| at + REJECTION_PERIOD_MS)
    }

    fn has_room(&mut self, held: u32, slots: u32, max_rejections: u32, now_ms: u64) -> bool {
        self.note_use(held, now_ms);
        let recent_grants = self.recent_grants(now_ms);
        self.held_back_until_ms(max_rejections, now_ms) <= now_ms
            && held < slots
            && (held < self.level / 2 || recent_grants < max_rejections.max(1))
            && (held < self.level || now_ms >= self.raised_ms + self.raise_interval_ms())
    }

    fn recent_grants(&mut self, now_ms: u64) -> u32 {
        while self.granted_ms.front().is_some_and(|at| now_ms >= at + REPORT_MS) {
            self.granted_ms.pop_front();
        }
        u32::try_from(self.granted_ms.len()).unwrap_or(u32::MAX)
    }

    /// Counts a request that is granted to the upstream, which held `held` before.
    fn take(&mut self, held: u32, now_ms: u64) {
        self.granted_ms.push_back(now_ms);
        self.peak = self.peak.max(held + 1);
        if held < self.level {
            return;
        }
        if self.is_next_in_doubt() {
            self.rejected_at = Some(held + 2);
        }
        self.level = held + 1;
        self.raised_ms = now_ms;
    }

    /// Returns whether the upstream last rejected a request when it held one more than it
    /// may hold now.
    fn is_next_in_doubt(&self) -> bool {
        self.rejected_at.is_some_and(|rejected_at| self.level + 1 >= rejected_at)
    }

    fn raise_interval_ms(&self) -> u64 {
        if self.is_next_in_doubt() { PROBE_MS } else { RAMP_MS }
    }
}

/// Room at the upstreams that are brittle, at the arbiter.
///
/// ```
/// let mut rooms = balance::Rooms::default();
/// assert!(rooms.has_room("e1", 0, 8, 3, 0));
/// rooms.take("e1", 0, 0);
/// assert!(!rooms.has_room("e1", 1, 8, 3, 10), "it is filled slowly");
/// assert!(rooms.has_room("e1", 1, 8, 3, 60));
/// assert!(!rooms.has_room("e1", 8, 8, 3, 1_000), "it has eight slots");
/// ```
#[derive(Debug, Default)]
pub struct Rooms(HashMap<CompactString, Room>);

impl Rooms {
    /// Returns whether an upstream with `slots` that holds `held` requests gets one more.
    ///
    /// `max_rejections` is the number of requests that it may reject in a second.
    pub fn has_room(
        &mut self,
        id: &str,
        held: u32,
        slots: u32,
        max_rejections: u32,
        now_ms: u64,
    ) -> bool {
        if !self.0.contains_key(id) {
            self.0.insert(id.into(), Room::new(held, now_ms));
        }
        let room = self.0.get_mut(id);
        room.is_some_and(|room| room.has_room(held, slots, max_rejections, now_ms))
    }

    /// Counts a request that is granted to an upstream, which held `held` before.
    pub fn take(&mut self, id: &str, held: u32, now_ms: u64) {
        if let Some(room) = self.0.get_mut(id) {
            room.take(held, now_ms);
        }
    }

    /// Records that an upstream rejected `count` requests, the last one at `rejected_ms`,
    /// and now holds `held`: it gets fewer than that. Returns what it may hold.
    pub fn record_rejections(
        &mut self,
        id: &str,
        (count, rejected_ms): (u32, u64),
        held: u32,
        now_ms: u64,
    ) -> u32 {
        let room = self.0.entry(id.into()).or_insert_with(|| Room::new(held, now_ms));
        room.rejections += u64::from(count);
        if now_ms < rejected_ms + REJECTION_PERIOD_MS {
            room.rejected_ms
                .extend(std::iter::repeat_n(rejected_ms, count.min(MAX_REPORTED) as usize));
            room.rejected_at = Some(held.clamp(1, room.rejected_at.unwrap_or(u32::MAX)));
            room.level = room.level.min(held.saturating_sub(1)).max(1);
            room.raised_ms = now_ms;
        }
        room.level
    }

    /// Returns the time until one of the upstreams may get a request again; 0 if one of
    /// them is not held back for its rejections.
    pub fn held_back_ms<'a>(
        &mut self,
        ids: impl Iterator<Item = &'a str>,
        max_rejections: u32,
        now_ms: u64,
    ) -> u64 {
        let until = ids.map(|id| {
            let room = self.0.get_mut(id);
            room.map_or(0, |room| room.held_back_until_ms(max_rejections, now_ms))
        });
        until.min().unwrap_or_default().saturating_sub(now_ms)
    }

    /// Returns what an upstream may hold, and how many requests it has rejected; `None` if
    /// no request asked for it.
    pub fn status(&self, id: &str) -> Option<(u32, u64)> {
        self.0.get(id).map(|room| (room.level, room.rejections))
    }

    /// Drops upstreams for which no request asked for some time.
    pub fn expire(&mut self, now_ms: u64) {
        self.0.retain(|_, room| now_ms < room.asked_ms + MAX_IDLE_MS);
    }
}

/// Returns for how long, in milliseconds, an entry sends no request to a brittle upstream that
/// has just rejected one: within a second it causes no more rejections than the upstream
/// withstands.
///
/// ```
/// assert_eq!(balance::rejection_pause_ms(1), 1_000);
/// assert_eq!(balance::rejection_pause_ms(10), 100);
/// ```
pub fn rejection_pause_ms(max_rejections: u32) -> u64 {
    1_000 / u64::from(max_rejections.clamp(1, 1_000))
}

/// Returns the even share of an upstream's slots that the entry at position `index` of
/// `entries` may use without an arbiter. The shares of all entries add up to three quarters
/// of `slots`: nobody sees what the upstream still runs for callers that are gone.
///
/// ```
/// let shares: Vec<u32> = (0..5).map(|index| balance::slot_share("e1", 8, index, 5)).collect();
/// assert_eq!(shares.iter().sum::<u32>(), 6);
/// assert!(shares.iter().all(|share| (1..=2).contains(share)));
/// ```
pub fn slot_share(id: &str, slots: u32, index: u32, entries: u32) -> u32 {
    let entries = entries.max(1);
    let slots = (slots - slots / 4).max(1);
    // Upstreams differ in the entries that have the rest of a division.
    let offset = id.bytes().fold(0u32, |sum, byte| sum.wrapping_mul(31).wrapping_add(byte.into()));
    let position = (index % entries + offset % entries) % entries;
    slots / entries + u32::from(position < slots % entries)
}
