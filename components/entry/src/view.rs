//! An entry's view of the published set and of the membership.

use std::fmt;
use std::sync::Arc;

use objects::Catalog;
use schema::EntryMember;

/// State of an entry, which decides whether it accepts new requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Mode {
    /// No revision has been confirmed since the process started.
    Starting,
    /// A heartbeat sent within the revision's lease confirmed the revision.
    Serving,
    /// The revision's lease has expired, and there is no other entry, or every
    /// polled peer that replied has an expired lease too and no newer revision:
    /// the last confirmed revision stays in use.
    Degraded,
    /// The revision's lease has expired, and a polled peer has a valid lease or a
    /// newer revision, no polled peer replied, or no poll has ended yet: new
    /// requests are refused.
    Unconfirmed,
    /// The process is shutting down, and callers' cached address lists that
    /// contain this entry have expired: new requests are refused.
    Draining,
}

impl Mode {
    pub(crate) const ALL: [Mode; 5] =
        [Mode::Starting, Mode::Serving, Mode::Degraded, Mode::Unconfirmed, Mode::Draining];

    /// Returns whether new requests are accepted.
    pub(crate) fn accepts_new_requests(self) -> bool {
        matches!(self, Mode::Serving | Mode::Degraded)
    }
}

impl fmt::Display for Mode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Mode::Starting => "starting",
            Mode::Serving => "serving",
            Mode::Degraded => "degraded",
            Mode::Unconfirmed => "unconfirmed",
            Mode::Draining => "draining",
        })
    }
}

/// Consistent snapshot of the published set and the membership.
#[derive(Clone, Debug)]
pub(crate) struct View {
    pub(crate) mode: Mode,
    pub(crate) catalog: Arc<Catalog>,
    pub(crate) members: Arc<[EntryMember]>,
    pub(crate) members_version: u64,
    /// Time at which the heartbeat was sent whose reply last confirmed the
    /// revision; 0 if none did.
    pub(crate) confirmed_ms: u64,
}

impl Default for View {
    fn default() -> Self {
        View {
            mode: Mode::Starting,
            catalog: Arc::default(),
            members: Arc::from([]),
            members_version: 0,
            confirmed_ms: 0,
        }
    }
}
