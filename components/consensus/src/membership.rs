//! Membership configurations and quorums.

use std::collections::BTreeSet;

use schema::{Configuration, Replica};

/// Configurations in the snapshot and the log, with their indexes. The last one is
/// in effect, committed or not.
#[derive(Debug, Default)]
pub(crate) struct ConfigurationHistory {
    configurations: Vec<(u64, Configuration)>,
}

impl ConfigurationHistory {
    pub(crate) fn new(index: u64, configuration: Configuration) -> Self {
        ConfigurationHistory { configurations: vec![(index, configuration)] }
    }

    pub(crate) fn current(&self) -> &Configuration {
        static EMPTY: Configuration = Configuration { replicas: Vec::new() };
        self.configurations.last().map_or(&EMPTY, |(_, configuration)| configuration)
    }

    /// Returns the index of the entry or snapshot that holds the current
    /// configuration, or 0 if there is none.
    pub(crate) fn current_index(&self) -> u64 {
        self.configurations.last().map_or(0, |(index, _)| *index)
    }

    pub(crate) fn push(&mut self, index: u64, configuration: Configuration) {
        self.configurations.push((index, configuration));
    }

    /// Removes configurations of entries from `index` on.
    pub(crate) fn truncate_from(&mut self, index: u64) {
        self.configurations.retain(|(at, _)| *at < index);
    }

    /// Returns the configuration in effect at `index`.
    pub(crate) fn at(&self, index: u64) -> Configuration {
        let found = self.configurations.iter().rev().find(|(at, _)| *at <= index);
        found.map(|(_, configuration)| configuration.clone()).unwrap_or_default()
    }

    /// Removes configurations superseded at or before `index`. The log is never
    /// truncated that far back, so they cannot come into effect again.
    pub(crate) fn compact(&mut self, index: u64) {
        let keep_from = self.configurations.iter().rposition(|(at, _)| *at <= index).unwrap_or(0);
        self.configurations.drain(..keep_from);
    }
}

pub(crate) fn voters(configuration: &Configuration) -> impl Iterator<Item = &Replica> {
    configuration.replicas.iter().filter(|replica| replica.voter)
}

pub(crate) fn is_voter(configuration: &Configuration, id: u64) -> bool {
    voters(configuration).any(|replica| replica.id == id)
}

/// Returns the number of voters.
///
/// ```
/// let replica = schema::Replica { id: 7, voter: true, ..Default::default() };
/// let configuration = schema::Configuration { replicas: vec![replica] };
/// assert_eq!(consensus::voter_count(&configuration), 1);
/// ```
pub fn voter_count(configuration: &Configuration) -> usize {
    voters(configuration).count()
}

/// Returns whether the sets of voters differ by at most one replica, so that
/// every quorum of one configuration overlaps every quorum of the other.
///
/// ```
/// let replica = |id| schema::Replica { id, voter: true, ..Default::default() };
/// let two = schema::Configuration { replicas: vec![replica(1), replica(2)] };
/// let other = schema::Configuration { replicas: vec![replica(1), replica(3)] };
/// assert!(!consensus::voters_differ_by_at_most_one(&two, &other));
/// ```
pub fn voters_differ_by_at_most_one(old: &Configuration, new: &Configuration) -> bool {
    let old: BTreeSet<u64> = voters(old).map(|replica| replica.id).collect();
    let new: BTreeSet<u64> = voters(new).map(|replica| replica.id).collect();
    old.symmetric_difference(&new).count() <= 1
}

/// Returns the largest value that a majority of the voters has reached, or 0
/// without voters.
pub(crate) fn quorum_value(
    configuration: &Configuration,
    mut value_of: impl FnMut(u64) -> u64,
) -> u64 {
    let mut values: smallvec::SmallVec<[u64; 8]> =
        voters(configuration).map(|replica| value_of(replica.id)).collect();
    if values.is_empty() {
        return 0;
    }
    values.sort_unstable_by(|a, b| b.cmp(a));
    values[values.len() / 2]
}
