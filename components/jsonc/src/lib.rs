//! Decodes JSON with comments into typed values and reports the position of errors.

mod error;
mod position;

use jsonc_parser::ast::{self, Value};
use jsonc_parser::common::Ranged as _;
use jsonc_parser::{CollectOptions, CommentCollectionStrategy, ParseOptions};
use serde::de::DeserializeOwned;

use crate::position::PositionIndex;

pub use error::{JsoncError, Position};

/// Parsed document with the position of each value.
#[derive(Debug)]
pub struct Document<'a> {
    text: &'a str,
    root: Value<'a>,
    json: String,
    positions: PositionIndex,
}

impl<'a> Document<'a> {
    /// Parses `text`. Comments are allowed; trailing commas and duplicate fields
    /// are errors. Some other extensions of JSON, such as single-quoted strings, are
    /// reported only by `decode`.
    ///
    /// ```
    /// let document = jsonc::Document::parse("{\n  // Port.\n  \"port\": 80\n}")?;
    /// let position = document.position("/port");
    /// assert_eq!((position.line, position.column), (3, 11));
    /// # Ok::<(), jsonc::JsoncError>(())
    /// ```
    pub fn parse(text: &'a str) -> Result<Self, JsoncError> {
        let collect =
            CollectOptions { comments: CommentCollectionStrategy::Separate, tokens: false };
        let options = ParseOptions {
            allow_comments: true,
            allow_loose_object_property_names: false,
            allow_trailing_commas: false,
            ..ParseOptions::default()
        };
        let parsed = jsonc_parser::parse_to_ast(text, &collect, &options).map_err(|error| {
            JsoncError::new(
                position::from_offset(text, error.range().start),
                error.kind().to_string(),
            )
        })?;
        let root = parsed.value.ok_or_else(|| {
            JsoncError::new(position::from_offset(text, 0), "the text holds no value")
        })?;
        reject_duplicate_fields(text, &root)?;
        let comments = parsed.comments.iter().flat_map(|comments| comments.values());
        let ranges = comments.flat_map(|group| group.iter().map(|comment| comment.range()));
        let json = blank_out(text, ranges.map(|range| range.start..range.end));
        Ok(Document { text, root, json, positions: PositionIndex::new(text) })
    }

    /// Decodes the document. Values of a wrong type are errors, and so are unknown
    /// fields if the `Deserialize` implementation of `T` rejects them.
    pub fn decode<T: DeserializeOwned>(&self) -> Result<T, JsoncError> {
        serde_json::from_str(&self.json).map_err(|error| {
            let position = Position { line: error.line().max(1), column: error.column().max(1) };
            JsoncError::new(position, without_position(&error.to_string()))
        })
    }

    /// Returns the position of the value at a JSON pointer or, if there is none, of
    /// its nearest existing parent. Escapes in the pointer are not decoded.
    pub fn position(&self, pointer: &str) -> Position {
        let mut value = &self.root;
        for segment in pointer.split('/').skip(1) {
            let Some(child) = child(value, segment) else { break };
            value = child;
        }
        self.positions.position(self.text, value.start())
    }
}

/// Parses and decodes `text`.
///
/// ```
/// let error = jsonc::from_str::<schema::TlsSettings>("{\"ca\": \"ca.pem\"}").unwrap_err();
/// assert_eq!(error.position.line, 1);
/// assert!(error.message.contains("unknown field `ca`"));
/// ```
pub fn from_str<T: DeserializeOwned>(text: &str) -> Result<T, JsoncError> {
    Document::parse(text)?.decode()
}

fn child<'v, 'a>(value: &'v Value<'a>, segment: &str) -> Option<&'v Value<'a>> {
    match value {
        Value::Object(object) => object.get(segment).map(|property| &property.value),
        Value::Array(array) => array.elements.get(segment.parse::<usize>().ok()?),
        Value::StringLit(_)
        | Value::NumberLit(_)
        | Value::BooleanLit(_)
        | Value::NullKeyword(_) => None,
    }
}

fn reject_duplicate_fields(text: &str, value: &Value<'_>) -> Result<(), JsoncError> {
    match value {
        Value::Object(object) => {
            for (index, property) in object.properties.iter().enumerate() {
                let name = property.name.as_str();
                let earlier = |p: &ast::ObjectProp<'_>| p.name.as_str() == name;
                if object.properties[..index].iter().any(earlier) {
                    let at = position::from_offset(text, property.start());
                    return Err(JsoncError::new(at, format!("duplicate field `{name}`")));
                }
                reject_duplicate_fields(text, &property.value)?;
            }
            Ok(())
        }
        Value::Array(array) => {
            array.elements.iter().try_for_each(|element| reject_duplicate_fields(text, element))
        }
        Value::StringLit(_)
        | Value::NumberLit(_)
        | Value::BooleanLit(_)
        | Value::NullKeyword(_) => Ok(()),
    }
}

/// Replaces every byte in `ranges` except line feeds by a space, which keeps the
/// positions of the remaining text.
fn blank_out(text: &str, ranges: impl Iterator<Item = std::ops::Range<usize>>) -> String {
    let mut bytes = text.as_bytes().to_vec();
    for range in ranges {
        for byte in &mut bytes[range] {
            if *byte != b'\n' {
                *byte = b' ';
            }
        }
    }
    String::from_utf8(bytes).unwrap_or_default()
}

/// Removes the position that `serde_json` appends to its messages.
fn without_position(message: &str) -> &str {
    message.rsplit_once(" at line ").map_or(message, |(message, _)| message)
}
