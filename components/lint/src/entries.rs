//! Entries of a set as fields and values.

use std::collections::BTreeMap;

use compact_str::{CompactString, ToCompactString as _, format_compact};
use serde::Serialize;
use serde_json::Value;

/// Fields with API keys or their hashes, which are counted and never shown.
const KEY_FIELDS: [&str; 2] = ["api_keys", "api_key_sha256"];

/// One entry of a set.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    /// Identifies the entry in both sets.
    pub(crate) key: CompactString,
    /// Kind and name, as operators see them.
    pub(crate) label: CompactString,
    /// JSON pointer to the entry.
    pub(crate) pointer: CompactString,
    /// Values by the path of their field, such as `engine.slots`.
    pub(crate) fields: BTreeMap<CompactString, Value>,
    /// API keys or their hashes.
    pub(crate) api_keys: Vec<String>,
}

impl Entry {
    /// Creates an entry that is identified by its label.
    pub(crate) fn new(label: CompactString, pointer: &str, message: &impl Serialize) -> Self {
        let mut fields = BTreeMap::new();
        // Messages serialize to JSON objects.
        let value = serde_json::to_value(message).unwrap_or_default();
        flatten("", value, &mut fields);
        let keys = KEY_FIELDS.iter().filter_map(|field| fields.remove(*field));
        let keys: Vec<Value> = keys.filter_map(|keys| keys.as_array().cloned()).flatten().collect();
        let api_keys = keys.iter().filter_map(Value::as_str).map(str::to_string).collect();
        Entry { key: label.clone(), label, pointer: pointer.into(), fields, api_keys }
    }

    /// Identifies the entry by `key` instead.
    pub(crate) fn with_key(self, key: CompactString) -> Self {
        Entry { key, ..self }
    }
}

/// Collects the values of an object and of the objects in it.
fn flatten(path: &str, value: Value, fields: &mut BTreeMap<CompactString, Value>) {
    match value {
        Value::Object(object) => {
            for (name, value) in object {
                let path = match path {
                    "" => name.to_compact_string(),
                    path => format_compact!("{path}.{name}"),
                };
                flatten(&path, value, fields);
            }
        }
        value => {
            fields.insert(path.into(), value);
        }
    }
}
