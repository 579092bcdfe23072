//! Result of a check, as text and as JSON.

use std::fmt;

use compact_str::CompactString;
use jsonc::Position;
use serde_json::{Value, json};

use crate::changes::Change;
use crate::finding::{Finding, Severity};

/// Version of the JSON document.
const FORMAT: u32 = 1;

const EXIT_WARNINGS: u8 = 1;
const EXIT_ERRORS: u8 = 2;
const EXIT_UNREAD: u8 = 4;

/// Finding with its place in a file.
#[derive(Clone, Debug, PartialEq)]
pub struct LocatedFinding {
    /// File that has the entry.
    pub file: String,
    /// Line and column; `None` if the finding concerns the file as a whole.
    pub position: Option<Position>,
    /// The finding.
    pub finding: Finding,
}

/// Comparison with the version in force.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum Comparison {
    /// Not asked for, or the configuration has errors that keep it from being read.
    #[default]
    None,
    /// What differs.
    Read {
        /// Where the version in force was read.
        source: String,
        /// Its number or revision; 0 if nothing was published or a file has none.
        number: u64,
        /// Entries that differ.
        changes: Vec<Change>,
    },
    /// The version in force could not be read.
    Unread {
        /// Where it should have been read.
        source: String,
        /// Why not.
        reason: String,
    },
}

/// Result of a check.
///
/// ```
/// let report = lint::Report { file: "routes.json".into(), ..Default::default() };
/// assert_eq!(report.to_string(), "routes.json: no errors, no warnings");
/// assert_eq!(report.exit_code(), 0);
/// ```
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// File or folder that was checked.
    pub file: String,
    /// Findings in the order of the entries, errors first.
    pub findings: Vec<LocatedFinding>,
    /// Comparison with the version in force.
    pub comparison: Comparison,
}

impl Report {
    /// Returns the exit code: 2 if there are errors, 4 if the version in force could not be
    /// read, 1 if there are warnings only, else 0.
    pub fn exit_code(&self) -> u8 {
        match &self.comparison {
            _ if self.count(Severity::Error) > 0 => EXIT_ERRORS,
            Comparison::Unread { .. } => EXIT_UNREAD,
            Comparison::None | Comparison::Read { .. } => match self.findings.is_empty() {
                true => 0,
                false => EXIT_WARNINGS,
            },
        }
    }

    /// Returns the report as JSON; `format` changes if a field changes its meaning.
    ///
    /// ```
    /// let report = lint::Report { file: "routes.json".into(), ..Default::default() };
    /// assert_eq!(report.to_json()["errors"], 0);
    /// ```
    pub fn to_json(&self) -> Value {
        json!({
            "format": FORMAT,
            "file": self.file,
            "errors": self.count(Severity::Error),
            "warnings": self.count(Severity::Warning),
            "findings": self.findings.iter().map(finding_to_json).collect::<Vec<_>>(),
            "against": comparison_to_json(&self.comparison),
        })
    }

    fn count(&self, severity: Severity) -> usize {
        self.findings.iter().filter(|located| located.finding.severity() == severity).count()
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for LocatedFinding { file, position, finding } in &self.findings {
            write!(f, "{file}:")?;
            if let Some(position) = position {
                write!(f, "{position}:")?;
            }
            writeln!(f, " {}: {finding} [{}]", finding.severity(), finding.kind.category())?;
        }
        match &self.comparison {
            Comparison::None => {}
            Comparison::Unread { source, reason } => {
                writeln!(f, "{source}: the version in force cannot be read: {reason}")?;
            }
            Comparison::Read { source, number, changes } => {
                writeln!(f, "against {source}, number {number}: {} changes", changes.len())?;
                for change in changes {
                    writeln!(f, "{change}")?;
                }
            }
        }
        let errors = Count(self.count(Severity::Error), "error");
        let warnings = Count(self.count(Severity::Warning), "warning");
        write!(f, "{}: {errors}, {warnings}", self.file)
    }
}

struct Count(usize, &'static str);

impl fmt::Display for Count {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match *self {
            Count(0, noun) => write!(f, "no {noun}s"),
            Count(1, noun) => write!(f, "1 {noun}"),
            Count(count, noun) => write!(f, "{count} {noun}s"),
        }
    }
}

fn finding_to_json(located: &LocatedFinding) -> Value {
    let LocatedFinding { file, position, finding } = located;
    json!({
        "severity": finding.severity(),
        "category": finding.kind.category(),
        "file": file,
        "line": position.map(|position| position.line),
        "column": position.map(|position| position.column),
        "entry": finding.entry,
        "message": finding.kind.to_string(),
    })
}

fn comparison_to_json(comparison: &Comparison) -> Value {
    match comparison {
        Comparison::None => Value::Null,
        Comparison::Unread { source, reason } => json!({ "source": source, "error": reason }),
        Comparison::Read { source, number, changes } => {
            let changes: Vec<Value> = changes.iter().map(change_to_json).collect();
            json!({ "source": source, "number": number, "changes": changes })
        }
    }
}

fn change_to_json(change: &Change) -> Value {
    let fields = change
        .fields
        .iter()
        .map(|field| json!({ "field": field.field, "old": field.old, "new": field.new }));
    let effects: Vec<CompactString> =
        change.effects.iter().map(|effect| effect.to_string().into()).collect();
    json!({
        "change": change.kind.to_string(),
        "entry": change.entry,
        "fields": fields.collect::<Vec<_>>(),
        "effects": effects,
    })
}
