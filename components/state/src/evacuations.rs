//! Data centres whose upstreams get no new requests.

use std::collections::BTreeSet;

use compact_str::CompactString;
use schema::{EvacuateDataCentre, EvacuatedDataCentres};

/// Set of evacuated data centres.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    /// Number of changes so far.
    version: u64,
    data_centres: BTreeSet<CompactString>,
}

impl Evacuations {
    /// Returns the number of changes so far; a greater one is newer.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns whether a data centre is evacuated.
    pub fn contains(&self, data_centre: &str) -> bool {
        self.data_centres.contains(data_centre)
    }

    /// Returns the evacuated data centres in ascending order.
    pub fn iter(&self) -> impl ExactSizeIterator<Item = &str> {
        self.data_centres.iter().map(CompactString::as_str)
    }

    /// Returns the evacuated data centres for a process that knows those of `version`: none
    /// if that is the current one.
    pub fn names_after(&self, version: u64) -> Vec<String> {
        if version == self.version { Vec::new() } else { self.to_message().data_centres }
    }

    pub(crate) fn apply(&mut self, command: &EvacuateDataCentre) {
        let changed = if command.withdraw {
            self.data_centres.remove(command.data_centre.as_str())
        } else {
            self.data_centres.insert(command.data_centre.as_str().into())
        };
        self.version += u64::from(changed);
    }

    /// Returns the set with its version, as snapshots and replies have it.
    pub fn to_message(&self) -> EvacuatedDataCentres {
        let data_centres = self.iter().map(str::to_string).collect();
        EvacuatedDataCentres { version: self.version, data_centres }
    }

    pub(crate) fn from_image(image: EvacuatedDataCentres) -> Self {
        let data_centres = image.data_centres.into_iter().map(CompactString::from);
        Evacuations { version: image.version, data_centres: data_centres.collect() }
    }
}
