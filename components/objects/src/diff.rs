//! Differences between two object sets, for display.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use displaydoc::Display;
use schema::ObjectSet;

/// Kind of a change.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum ChangeKind {
    /// added
    Added,
    /// removed
    Removed,
    /// changed
    Changed,
}

impl ChangeKind {
    /// Returns the sign of the change in a list of differences.
    ///
    /// ```
    /// assert_eq!(objects::ChangeKind::Added.sign(), '+');
    /// ```
    pub fn sign(self) -> char {
        match self {
            ChangeKind::Added => '+',
            ChangeKind::Removed => '-',
            ChangeKind::Changed => '~',
        }
    }
}

/// One object that differs between two sets.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// Whether the object was added, removed or changed.
    pub kind: ChangeKind,
    /// Kind and name of the object, such as `model m`, or `weights`.
    pub object: String,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.kind.sign(), self.object)
    }
}

/// Returns the objects that differ, sorted by kind and name.
///
/// ```
/// let model = schema::Model { name: "m".into(), context_tokens: 10 };
/// let new = schema::ObjectSet { models: vec![model], ..Default::default() };
/// let changes = objects::diff(&Default::default(), &new);
/// assert_eq!(changes[0].to_string(), "+ model m");
/// ```
pub fn diff(old: &ObjectSet, new: &ObjectSet) -> Vec<Change> {
    let (old, new) = (rendered_objects(old), rendered_objects(new));
    let names: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
    let change = |name: &String| {
        let kind = match (old.get(name), new.get(name)) {
            (None, Some(_)) => ChangeKind::Added,
            (Some(_), None) => ChangeKind::Removed,
            (Some(old), Some(new)) if old != new => ChangeKind::Changed,
            _ => return None,
        };
        Some(Change { kind, object: name.clone() })
    };
    names.into_iter().filter_map(change).collect()
}

/// Returns the Debug output of each object by its kind and name, so that objects
/// of all types can be compared.
fn rendered_objects(set: &ObjectSet) -> BTreeMap<String, String> {
    let mut objects = BTreeMap::new();
    macro_rules! add {
        ($list:ident, $kind:literal) => {
            for object in &set.$list {
                objects.insert(format!("{} {}", $kind, object.name), render(object));
            }
        };
    }
    crate::for_each_list!(add);
    if let Some(weights) = &set.weights {
        objects.insert("weights".to_string(), render(weights));
    }
    objects
}

fn render(object: &impl fmt::Debug) -> String {
    format!("{object:?}")
}
