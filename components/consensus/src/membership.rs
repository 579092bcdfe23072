//! Configurations and the rule for changing them.

use std::collections::BTreeSet;

use schema::{Configuration, Replica};

/// History of configurations in the log; the last one is in force.
#[derive(Debug, Default)]
pub(crate) struct Memberships {
    history: Vec<(u64, Configuration)>,
}

impl Memberships {
    pub(crate) fn new(index: u64, configuration: Configuration) -> Self {
        Memberships { history: vec![(index, configuration)] }
    }

    pub(crate) fn current(&self) -> &Configuration {
        static EMPTY: Configuration = Configuration { replicas: Vec::new() };
        self.history.last().map_or(&EMPTY, |(_, configuration)| configuration)
    }

    /// Returns the index of the entry that set the current configuration.
    pub(crate) fn index(&self) -> u64 {
        self.history.last().map_or(0, |(index, _)| *index)
    }

    pub(crate) fn push(&mut self, index: u64, configuration: Configuration) {
        self.history.push((index, configuration));
    }

    /// Forgets configurations of entries from `index` on.
    pub(crate) fn truncate(&mut self, index: u64) {
        self.history.retain(|(at, _)| *at < index);
    }

    /// Returns the configuration in force at `index`.
    pub(crate) fn at(&self, index: u64) -> Configuration {
        let found = self.history.iter().rev().find(|(at, _)| *at <= index);
        found.map(|(_, configuration)| configuration.clone()).unwrap_or_default()
    }

    /// Forgets what no truncation can bring back.
    pub(crate) fn compact(&mut self, index: u64) {
        let keep_from = self.history.iter().rposition(|(at, _)| *at <= index).unwrap_or(0);
        self.history.drain(..keep_from);
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

/// Returns whether quorums of both configurations always overlap.
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

/// Returns the largest value that a majority of the voters has reached.
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
