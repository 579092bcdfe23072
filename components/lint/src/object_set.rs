//! Differences between two sets of objects.

use std::collections::BTreeMap;

use compact_str::format_compact;
use schema::ObjectSet;

use crate::changes::{Change, compare};
use crate::entries::Entry;

/// Returns what a set of objects changes in the one in force.
///
/// ```
/// let model = |context_tokens| schema::Model { name: "m".into(), context_tokens };
/// let old = schema::ObjectSet { models: vec![model(10)], ..Default::default() };
/// let new = schema::ObjectSet { models: vec![model(20)], ..Default::default() };
/// let changes = lint::compare_object_sets(&old, &new);
/// assert_eq!(changes[0].to_string(), "~ model m\n    context_tokens: 10 -> 20");
/// ```
pub fn compare_object_sets(old: &ObjectSet, new: &ObjectSet) -> Vec<Change> {
    compare(&entries(old), &entries(new), &BTreeMap::new())
}

fn entries(set: &ObjectSet) -> Vec<Entry> {
    let mut entries = Vec::new();
    macro_rules! add {
        ($list:ident, $kind:literal) => {
            for (index, object) in set.$list.iter().enumerate() {
                let label = format_compact!("{} {}", $kind, object.name);
                let pointer = format_compact!("/{}/{index}", stringify!($list));
                entries.push(Entry::new(label, &pointer, object));
            }
        };
    }
    objects::for_each_list!(add);
    if let Some(weights) = &set.weights {
        entries.push(Entry::new("weights".into(), "/weights", weights));
    }
    entries
}
