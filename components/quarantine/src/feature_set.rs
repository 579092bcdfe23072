//! Sets of features.

use std::fmt;

use smallvec::SmallVec;

use crate::feature::Feature;
use crate::fingerprint::Fingerprint;
use crate::part::PartId;

/// Set of features of requests.
///
/// ```
/// use quarantine::{Feature, FeatureSet, Fingerprint, PartId};
/// let part = |id| Feature::Part(PartId(id));
/// let set = FeatureSet::new([part(0xb), part(0xa), part(0xb)]);
/// assert_eq!(set.to_string(), "a,b");
/// assert!(set.is_subset_of(&[part(0xa), part(0xb), Feature::Request(Fingerprint(1))]));
/// assert!(!set.is_subset_of(&[part(0xa)]));
/// ```
#[derive(Clone, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct FeatureSet(SmallVec<[Feature; 4]>);

impl FeatureSet {
    /// Creates a set; features may come in any order and more than once.
    pub fn new(features: impl IntoIterator<Item = Feature>) -> Self {
        let mut features: SmallVec<[Feature; 4]> = features.into_iter().collect();
        features.sort_unstable();
        features.dedup();
        FeatureSet(features)
    }

    /// Creates a set of prompt parts and, unless `request` is 0, of the fingerprint of a
    /// request.
    pub fn from_ids(parts: &[u64], request: u64) -> Self {
        let parts = parts.iter().map(|part| Feature::Part(PartId(*part)));
        let request = (request != 0).then_some(Feature::Request(Fingerprint(request)));
        FeatureSet::new(parts.chain(request))
    }

    /// Returns the ids of the prompt parts, in ascending order.
    pub fn part_ids(&self) -> Vec<u64> {
        let ids = self.iter().filter_map(|feature| match feature {
            Feature::Part(part) => Some(part.0),
            Feature::Request(_) => None,
        });
        ids.collect()
    }

    /// Returns the fingerprint of the request; 0 if the set has none.
    pub fn request_id(&self) -> u64 {
        let id = self.iter().find_map(|feature| match feature {
            Feature::Part(_) => None,
            Feature::Request(fingerprint) => Some(fingerprint.0),
        });
        id.unwrap_or_default()
    }

    /// Returns the features in ascending order.
    pub fn as_slice(&self) -> &[Feature] {
        &self.0
    }

    /// Iterates over the features in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = Feature> {
        self.0.iter().copied()
    }

    /// Returns the number of features.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether the set has no features.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns whether the feature belongs to the set.
    pub fn contains(&self, feature: Feature) -> bool {
        self.0.binary_search(&feature).is_ok()
    }

    /// Returns whether all features of the set are among `features`.
    pub fn is_subset_of(&self, features: &[Feature]) -> bool {
        self.iter().all(|feature| features.contains(&feature))
    }

    /// Returns the request of the set without the prompt parts, which it has anyway; the
    /// set itself if it has no request.
    pub fn narrowest(&self) -> FeatureSet {
        let request = self.iter().find(|feature| matches!(feature, Feature::Request(_)));
        request.map_or_else(|| self.clone(), |request| FeatureSet::new([request]))
    }

    /// Returns the features that both sets have.
    pub fn intersection(&self, other: &FeatureSet) -> FeatureSet {
        FeatureSet(self.iter().filter(|feature| other.contains(*feature)).collect())
    }

    /// Returns the set without a feature.
    pub fn without(&self, feature: Feature) -> FeatureSet {
        FeatureSet(self.iter().filter(|other| *other != feature).collect())
    }
}

impl fmt::Display for FeatureSet {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, feature) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { "," };
            write!(f, "{separator}{feature}")?;
        }
        Ok(())
    }
}
