//! Differences between two sets.

use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::fmt;

use compact_str::CompactString;
use displaydoc::Display;
use objects::ChangeKind;
use serde_json::Value;

use crate::entries::Entry;

/// Field of an entry that differs; `None` stands for an absent value.
#[derive(Clone, Debug, PartialEq)]
pub struct FieldChange {
    /// Path of the field, such as `engine.slots`.
    pub field: CompactString,
    /// Value in force.
    pub old: Option<Value>,
    /// Value after a publication.
    pub new: Option<Value>,
}

/// What a change does to callers and upstreams.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum Effect {
    /// requests for it get 404
    RequestsUnrouted,
    /// its requests go to the route `{0}`
    RequestsGoTo(String),
    /// it takes requests from the route `{0}`
    TakesRequestsFrom(String),
    /// requests without a known API key are refused
    KeyNeeded,
    /// requests need no API key any more
    KeyNotNeeded,
    /// requests may run more than once
    MayRunAgain,
    /// requests run at most once
    RunsOnce,
    /// its upstreams get no more requests
    ServiceUnrouted,
    /// API keys revoked: {0}
    KeysRevoked(usize),
    /// API keys given to another workspace: {0}
    KeysMoved(usize),
    /// API keys added: {0}
    KeysAdded(usize),
}

/// Entry that differs between two sets.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// How it differs.
    pub kind: ChangeKind,
    /// Kind and name of the entry.
    pub entry: CompactString,
    /// JSON pointer to the entry in the new set; in the old set if it was removed.
    pub pointer: CompactString,
    /// Fields that differ; those of an added or removed entry are left out.
    pub fields: Vec<FieldChange>,
    /// What the change does.
    pub effects: Vec<Effect>,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.kind.sign(), self.entry)?;
        for FieldChange { field, old, new } in &self.fields {
            write!(f, "\n    {field}: {} -> {}", DisplayedValue(old), DisplayedValue(new))?;
        }
        for effect in &self.effects {
            write!(f, "\n    => {effect}")?;
        }
        Ok(())
    }
}

struct DisplayedValue<'a>(&'a Option<Value>);

impl fmt::Display for DisplayedValue<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            None => f.write_str("(default)"),
            Some(Value::String(text)) => f.write_str(text),
            Some(value) => write!(f, "{value}"),
        }
    }
}

/// Returns the entries that differ, those that were removed first. `effects` has what is
/// known of their effects, by the keys of the entries.
pub(crate) fn compare(
    old: &[Entry],
    new: &[Entry],
    effects: &BTreeMap<CompactString, Vec<Effect>>,
) -> Vec<Change> {
    let api_keys = ApiKeys { old: all_api_keys(old), new: all_api_keys(new) };
    let (old_by_id, new_by_id) = (by_id(old), by_id(new));
    let create = |kind, entry: &Entry, fields, keys: (&[String], &[String])| {
        let mut effects = effects.get(&entry.key).cloned().unwrap_or_default();
        effects.extend(api_keys.effects(keys.0, keys.1));
        let (label, pointer) = (entry.label.clone(), entry.pointer.clone());
        Change { kind, entry: label, pointer, fields, effects }
    };
    let removed = old_by_id.iter().filter(|(id, _)| !new_by_id.contains_key(*id));
    let mut changes: Vec<Change> = removed
        .map(|(_, entry)| create(ChangeKind::Removed, entry, Vec::new(), (&entry.api_keys, &[])))
        .collect();
    for (id, entry) in &new_by_id {
        let change = match old_by_id.get(id) {
            None => create(ChangeKind::Added, entry, Vec::new(), (&[], &entry.api_keys)),
            Some(before) => {
                let fields = changed_fields(before, entry);
                let keys = (before.api_keys.as_slice(), entry.api_keys.as_slice());
                let change = create(ChangeKind::Changed, entry, fields, keys);
                if change.fields.is_empty() && change.effects.is_empty() {
                    continue;
                }
                change
            }
        };
        changes.push(change);
    }
    changes
}

/// Returns the entries by their keys; further entries with the same key by their number, too.
fn by_id(entries: &[Entry]) -> BTreeMap<(&str, usize), &Entry> {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    let numbered = entries.iter().map(|entry| {
        let count = counts.entry(&entry.key).or_default();
        *count += 1;
        ((entry.key.as_str(), *count), entry)
    });
    numbered.collect()
}

fn changed_fields(old: &Entry, new: &Entry) -> Vec<FieldChange> {
    let names: BTreeSet<&CompactString> = old.fields.keys().chain(new.fields.keys()).collect();
    let change = |field: &CompactString| {
        let (old, new) = (old.fields.get(field), new.fields.get(field));
        (old != new).then(|| FieldChange {
            field: field.clone(),
            old: old.cloned(),
            new: new.cloned(),
        })
    };
    names.into_iter().filter_map(change).collect()
}

fn all_api_keys(entries: &[Entry]) -> HashSet<&str> {
    entries.iter().flat_map(|entry| &entry.api_keys).map(String::as_str).collect()
}

/// API keys of all workspaces of two sets.
struct ApiKeys<'a> {
    old: HashSet<&'a str>,
    new: HashSet<&'a str>,
}

impl ApiKeys<'_> {
    /// Returns what happens to the API keys of one workspace.
    fn effects(&self, old: &[String], new: &[String]) -> Vec<Effect> {
        let own_old: HashSet<&str> = old.iter().map(String::as_str).collect();
        let own_new: HashSet<&str> = new.iter().map(String::as_str).collect();
        let (moved, revoked): (Vec<&str>, Vec<&str>) =
            own_old.difference(&own_new).partition(|key| self.new.contains(*key));
        let added = own_new.difference(&own_old).filter(|key| !self.old.contains(*key)).count();
        let counted = [
            (revoked.len(), Effect::KeysRevoked(revoked.len())),
            (moved.len(), Effect::KeysMoved(moved.len())),
            (added, Effect::KeysAdded(added)),
        ];
        counted.into_iter().filter(|(count, _)| *count > 0).map(|(_, effect)| effect).collect()
    }
}
