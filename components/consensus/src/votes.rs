//! Vote count of one election or pre-vote.

use std::collections::BTreeSet;

use schema::Configuration;

use crate::membership;

/// Replicas that granted their vote to a candidate.
#[derive(Debug, Default)]
pub(crate) struct Votes {
    granted: BTreeSet<u64>,
}

impl Votes {
    pub(crate) fn record_grant(&mut self, id: u64) {
        self.granted.insert(id);
    }

    pub(crate) fn has_majority(&self, configuration: &Configuration) -> bool {
        let granted = membership::voters(configuration)
            .filter(|replica| self.granted.contains(&replica.id))
            .count();
        granted > membership::voter_count(configuration) / 2
    }
}
