//! Deltas that turn one published set into another.
//!
//! If one object among thousands changes, only that object is sent instead of the
//! complete set. The checksum verifies that sender and receiver end with the same
//! set.

use std::collections::{BTreeMap, BTreeSet};

use prost::Message as _;
use schema::{ObjectSet, SetDelta};
use sha2::{Digest as _, Sha256};

/// Returns the delta that turns `old`, published as `base_revision`, into `new`.
///
/// ```
/// let model = |name: &str| schema::Model { name: name.into(), context_tokens: 1 };
/// let old = schema::ObjectSet { models: vec![model("a"), model("b")], ..Default::default() };
/// let new = schema::ObjectSet { models: vec![model("c"), model("b")], ..Default::default() };
/// let delta = objects::compute_delta(7, &old, &new);
/// assert_eq!(delta.removed, ["model a"]);
/// assert_eq!(objects::apply_delta(&old, delta).unwrap().models, [model("b"), model("c")]);
/// ```
pub fn compute_delta(base_revision: u64, old: &ObjectSet, new: &ObjectSet) -> SetDelta {
    let mut delta = SetDelta {
        base_revision,
        changed: Some(ObjectSet { weights: new.weights, ..ObjectSet::default() }),
        removed: Vec::new(),
        checksum: checksum(&sorted_by_name(new.clone())),
    };
    let changed = delta.changed.get_or_insert_default();
    macro_rules! compare {
        ($list:ident, $kind:literal) => {{
            let old_objects: BTreeMap<&str, _> =
                old.$list.iter().map(|object| (object.name.as_str(), object)).collect();
            let new_names: BTreeSet<&str> =
                new.$list.iter().map(|object| object.name.as_str()).collect();
            let differs = |name: &str, object| old_objects.get(name) != Some(&object);
            let changed_objects = new.$list.iter().filter(|object| differs(&object.name, *object));
            changed.$list = changed_objects.cloned().collect();
            let removed = old_objects.keys().filter(|name| !new_names.contains(**name));
            delta.removed.extend(removed.map(|name| format!("{} {name}", $kind)));
        }};
    }
    crate::for_each_list!(compare);
    delta
}

/// Applies a delta to the set from which it was computed. Returns `None` if the
/// checksum of the result differs, as when `old` is another set. The lists of the
/// result are sorted by name.
pub fn apply_delta(old: &ObjectSet, delta: SetDelta) -> Option<ObjectSet> {
    let mut set = old.clone();
    let changed = delta.changed.unwrap_or_default();
    let removed: BTreeSet<&str> = delta.removed.iter().map(String::as_str).collect();
    set.weights = changed.weights;
    macro_rules! merge {
        ($list:ident, $kind:literal) => {{
            let replaced: BTreeSet<&str> =
                changed.$list.iter().map(|object| object.name.as_str()).collect();
            set.$list.retain(|object| {
                let is_removed = removed.contains(format!("{} {}", $kind, object.name).as_str());
                !is_removed && !replaced.contains(object.name.as_str())
            });
            set.$list.extend(changed.$list.iter().cloned());
        }};
    }
    crate::for_each_list!(merge);
    let set = sorted_by_name(set);
    (checksum(&set) == delta.checksum).then_some(set)
}

/// Sorts each list of a set by name.
fn sorted_by_name(mut set: ObjectSet) -> ObjectSet {
    macro_rules! sort {
        ($list:ident, $kind:literal) => {
            set.$list.sort_by(|a, b| a.name.cmp(&b.name));
        };
    }
    crate::for_each_list!(sort);
    set
}

fn checksum(set: &ObjectSet) -> prost::bytes::Bytes {
    prost::bytes::Bytes::copy_from_slice(&Sha256::digest(set.encode_to_vec()))
}
