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
    /// A recent heartbeat confirmed the revision.
    Serving,
    /// The revision's lease has expired and no peer can confirm the revision
    /// either: the last confirmed one stays in use.
    Degraded,
    /// The revision's lease has expired, and a peer still has a confirmed or a
    /// newer revision, or no peer is reachable: new requests are refused.
    Unconfirmed,
    /// The process is shutting down: new requests are refused.
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
    /// Time at which the last successful heartbeat was sent; 0 if none was.
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
