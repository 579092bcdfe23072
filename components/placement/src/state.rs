//! What a placer remembers of upstreams, credits and other entries.

use std::collections::HashMap;

use admission::Ledger;
use compact_str::CompactString;
use schema::{AnnounceRequest, UpstreamDigest};

/// Upstream that this entry owns.
#[derive(Debug)]
pub(crate) struct Owned {
    pub(crate) announce: AnnounceRequest,
    pub(crate) expires_ms: u64,
    /// Present for engines.
    pub(crate) ledger: Option<Ledger>,
}

/// Credit that this entry holds.
#[derive(Clone, Debug)]
pub(crate) struct Held {
    pub(crate) owner_vm: CompactString,
    pub(crate) workspace: CompactString,
    pub(crate) output_tokens: u64,
}

/// Entry that listens to this one.
#[derive(Debug, Default)]
pub(crate) struct Watcher {
    pub(crate) sequence: u64,
    /// What the watcher was told, by upstream.
    pub(crate) told: HashMap<String, UpstreamDigest>,
    pub(crate) needs_whole: bool,
    pub(crate) in_flight: bool,
    pub(crate) last_sent_ms: u64,
}
