//! How many of their requests those who ask were granted lately, so that no one starves.

use std::collections::HashMap;

use compact_str::CompactString;

use super::SizeClass;

/// Requests of one service after which earlier ones count half.
const MEMORY_REQUESTS: f64 = 1_024.0;
/// Requests from which the share of an asker is known.
const MIN_ASKED: f64 = 8.0;
/// Who is granted a smaller part of the share of all is owed the next slots; above one
/// half, so that none falls below that.
const OWED_SHARE: f64 = 0.85;
/// Counts that are forgotten.
const MIN_COUNT: f64 = 0.25;

/// Who asks for slots of a service.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Asker {
    /// All requests.
    All,
    /// Requests of one route.
    Route(CompactString),
    /// Requests of one workspace.
    Workspace(CompactString),
    /// Requests of one route and size.
    Size(CompactString, SizeClass),
}

impl Asker {
    /// Returns those with whom the share is compared.
    fn reference(&self) -> Asker {
        match self {
            Asker::All | Asker::Route(_) | Asker::Workspace(_) => Asker::All,
            Asker::Size(route, _) => Asker::Route(route.clone()),
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    asked: f64,
    granted: f64,
}

/// Shares of requests granted, of one service.
///
/// ```
/// use balance::{Asker, ServedShares};
/// let mut shares = ServedShares::default();
/// let (plans, quotes) = (Asker::Route("plans".into()), Asker::Route("quotes".into()));
/// for _ in 0..20 {
///     shares.record(&[Asker::All, quotes.clone()], true);
///     shares.record(&[Asker::All, plans.clone()], false);
/// }
/// assert!(shares.is_owed(&plans) && !shares.is_owed(&quotes));
/// ```
#[derive(Clone, Debug, Default)]
pub struct ServedShares(HashMap<Asker, Counts>);

impl ServedShares {
    /// Records how a wait ended, for each asker of the request.
    pub fn record(&mut self, askers: &[Asker], is_granted: bool) {
        for asker in askers {
            let counts = self.0.entry(asker.clone()).or_default();
            counts.asked += 1.0;
            counts.granted += f64::from(u8::from(is_granted));
        }
        if self.counts(&Asker::All).asked >= MEMORY_REQUESTS {
            self.0.retain(|_, counts| {
                counts.asked /= 2.0;
                counts.granted /= 2.0;
                counts.asked >= MIN_COUNT
            });
        }
    }

    /// Returns whether an asker was granted too small a part of what others were granted.
    pub fn is_owed(&self, asker: &Asker) -> bool {
        let (own, others) = (self.counts(asker), self.counts(&asker.reference()));
        own.asked >= MIN_ASKED
            && own.granted * others.asked < OWED_SHARE * others.granted * own.asked
    }

    fn counts(&self, asker: &Asker) -> Counts {
        self.0.get(asker).copied().unwrap_or_default()
    }
}
