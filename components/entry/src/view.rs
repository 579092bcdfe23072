//! What an entry knows of the published set and of its peers.

use std::fmt;
use std::sync::Arc;

use objects::Catalog;
use schema::EntryMember;

/// Whether an entry takes new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Mode {
    /// No revision was confirmed yet.
    Starting,
    /// The revision is confirmed.
    Serving,
    /// No peer can confirm the revision either, so the last one stays in force.
    Degraded,
    /// Peers can confirm the revision, or none can be asked: no new work.
    Unconfirmed,
    /// The process is stopping: no new work.
    Draining,
}

impl Mode {
    pub(crate) const ALL: [Mode; 5] =
        [Mode::Starting, Mode::Serving, Mode::Degraded, Mode::Unconfirmed, Mode::Draining];

    /// Returns whether new work is taken.
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

/// Consistent view of one moment.
#[derive(Clone, Debug)]
pub(crate) struct View {
    pub(crate) mode: Mode,
    pub(crate) catalog: Arc<Catalog>,
    pub(crate) members: Arc<[EntryMember]>,
    pub(crate) members_version: u64,
    /// When the last confirmed heartbeat was sent.
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
