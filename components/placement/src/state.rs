//! State that a placer keeps of owned upstreams, held credits and watchers.

use std::collections::HashMap;

use admission::Ledger;
use compact_str::CompactString;
use schema::{AnnounceRequest, UpstreamDigest};

/// Upstream that this entry owns.
#[derive(Debug)]
pub(crate) struct OwnedUpstream {
    /// Latest announcement.
    pub(crate) announcement: AnnounceRequest,
    pub(crate) expires_ms: u64,
    /// Present for engines.
    pub(crate) ledger: Option<Ledger>,
}

/// Credit that this entry holds.
#[derive(Clone, Debug)]
pub(crate) struct HeldCredit {
    pub(crate) owner_vm: CompactString,
    pub(crate) workspace: CompactString,
    pub(crate) output_tokens: u64,
}

/// Entry that receives the digests of this one.
#[derive(Debug, Default)]
pub(crate) struct Watcher {
    pub(crate) sequence: u64,
    /// State last sent to the watcher, by upstream.
    pub(crate) last_sent: HashMap<String, UpstreamDigest>,
    /// The next digest must list all upstreams, not only changes.
    pub(crate) needs_full_list: bool,
    /// A digest was sent and has not been acknowledged.
    pub(crate) in_flight: bool,
    pub(crate) last_sent_ms: u64,
}
