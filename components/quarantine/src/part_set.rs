//! Sets of prompt parts.

use std::fmt;

use smallvec::SmallVec;

use crate::part::PartId;

/// Set of prompt parts.
///
/// ```
/// use quarantine::{PartId, PartSet};
/// let set = PartSet::new([PartId(0xb), PartId(0xa), PartId(0xb)]);
/// assert_eq!(set.to_string(), "a,b");
/// assert!(set.is_subset_of(&[PartId(0xa), PartId(0xb), PartId(0xc)]));
/// assert!(!set.is_subset_of(&[PartId(0xa)]));
/// ```
#[derive(Clone, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct PartSet(SmallVec<[PartId; 4]>);

impl PartSet {
    /// Creates a set; parts may come in any order and more than once.
    pub fn new(parts: impl IntoIterator<Item = PartId>) -> Self {
        let mut parts: SmallVec<[PartId; 4]> = parts.into_iter().collect();
        parts.sort_unstable();
        parts.dedup();
        PartSet(parts)
    }

    /// Iterates over the parts in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = PartId> {
        self.0.iter().copied()
    }

    /// Returns the number of parts.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether the set has no parts.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns whether the part belongs to the set.
    pub fn contains(&self, part: PartId) -> bool {
        self.0.binary_search(&part).is_ok()
    }

    /// Returns whether all parts of the set are among `parts`.
    pub fn is_subset_of(&self, parts: &[PartId]) -> bool {
        self.iter().all(|part| parts.contains(&part))
    }

    /// Returns the parts that both sets have.
    pub fn intersection(&self, other: &PartSet) -> PartSet {
        PartSet(self.iter().filter(|part| other.contains(*part)).collect())
    }

    /// Returns the set without a part.
    pub fn without(&self, part: PartId) -> PartSet {
        PartSet(self.iter().filter(|other| *other != part).collect())
    }
}

impl fmt::Display for PartSet {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, part) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { "," };
            write!(f, "{separator}{part}")?;
        }
        Ok(())
    }
}
