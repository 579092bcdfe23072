//! `shallottray check`

use std::path::Path;
use std::process::ExitCode;

use jsonc::{Document, Position};
use lint::{Against, Change, Comparison, Finding, FindingKind, LocatedFinding, Report};
use objects::FolderError;
use schema::{ObjectSet, RouteSet};
use serde_json::Value;

use super::get::fetch_set;
use crate::cli::Operator;
use crate::connection::Connection;
use crate::error::CommandError;
use crate::in_force::fetch_routes;

/// Checks objects or a set of routes, and compares them with the version in force if `against`
/// says where that is.
pub async fn run(
    operator: &Operator,
    against: Option<&Against>,
    path: &Path,
) -> Result<Report, CommandError> {
    match read_route_set_text(path) {
        Some(text) => Ok(check_route_set(operator, against, path, &text).await),
        None => check_objects(operator, against, path).await,
    }
}

/// Prints a report and returns the exit code.
pub fn print(report: &Report, json: bool) -> ExitCode {
    match json {
        true => println!("{:#}", report.to_json()),
        false => println!("{report}"),
    }
    ExitCode::from(report.exit_code())
}

/// Returns the text of a file that holds a set of routes rather than objects: only these have
/// routes and a number.
fn read_route_set_text(path: &Path) -> Option<String> {
    let text = std::fs::read_to_string(path).ok()?;
    let value: Value = jsonc::from_str(&text).ok()?;
    let is_route_set = value.get("routes").is_some() || value.get("number").is_some();
    is_route_set.then_some(text)
}

async fn check_route_set(
    operator: &Operator,
    against: Option<&Against>,
    path: &Path,
    text: &str,
) -> Report {
    let file = path.display().to_string();
    let mut report = Report { file: file.clone(), ..Report::default() };
    let read = Document::parse(text).and_then(|document| Ok((document.decode()?, document)));
    let (set, document): (RouteSet, _) = match read {
        Ok(read) => read,
        Err(error) => {
            report.findings.push(invalid(file, Some(error.position), "file", error.message));
            return report;
        }
    };
    let mut findings = lint::check_route_set(&set);
    if let Some(against) = against {
        let in_force = read_route_set(operator, against).await;
        if let Ok(in_force) = &in_force {
            findings.extend(lint::find_outdated_number(&set, in_force.number));
        }
        report.comparison = compare(against, in_force, |in_force| {
            (in_force.number, lint::compare_route_sets(in_force, &set))
        });
    }
    let locate = |finding: Finding| {
        let position = Some(document.position(&finding.pointer));
        LocatedFinding { file: file.clone(), position, finding }
    };
    report.findings = findings.into_iter().map(locate).collect();
    report
}

async fn check_objects(
    operator: &Operator,
    against: Option<&Against>,
    path: &Path,
) -> Result<Report, CommandError> {
    let mut report = Report { file: path.display().to_string(), ..Report::default() };
    let set = match objects::read_folder(path) {
        Ok(set) => set,
        Err(error) => {
            report.findings = folder_findings(error)?;
            return Ok(report);
        }
    };
    if let Some(against) = against {
        let in_force = read_objects(operator, against).await;
        report.comparison = compare(against, in_force, |(revision, in_force)| {
            (*revision, lint::compare_object_sets(in_force, &set))
        });
    }
    Ok(report)
}

/// Returns the findings for which objects cannot be published; an error if they cannot be read.
fn folder_findings(error: FolderError) -> Result<Vec<LocatedFinding>, CommandError> {
    let name = |path: &Path| path.display().to_string();
    match error {
        FolderError::Io(..) | FolderError::Empty(_) => Err(CommandError::Folder(error)),
        FolderError::Syntax(path, error) => {
            Ok(vec![invalid(name(&path), Some(error.position), "file", error.message)])
        }
        FolderError::TwoWeights(path) => {
            let message = "another file holds weights too".to_string();
            Ok(vec![invalid(name(&path), None, "weights", message)])
        }
        FolderError::Inconsistent(problems) => {
            let findings = problems.into_iter().map(|(path, position, problem)| {
                let message = format!("{}: {}", problem.field, problem.message);
                invalid(name(&path), Some(position), &problem.object, message)
            });
            Ok(findings.collect())
        }
    }
}

fn invalid(
    file: String,
    position: Option<Position>,
    entry: &str,
    message: String,
) -> LocatedFinding {
    let kind = FindingKind::Invalid(message);
    let finding = Finding { pointer: "".into(), entry: entry.into(), kind };
    LocatedFinding { file, position, finding }
}

/// Returns the comparison with a version in force, of which `changes` returns the number and
/// what differs.
fn compare<T>(
    against: &Against,
    in_force: Result<T, CommandError>,
    changes: impl FnOnce(&T) -> (u64, Vec<Change>),
) -> Comparison {
    let source = against.to_string();
    match in_force {
        Ok(in_force) => {
            let (number, changes) = changes(&in_force);
            Comparison::Read { source, number, changes }
        }
        Err(error) => Comparison::Unread { source, reason: error.to_string() },
    }
}

async fn read_route_set(operator: &Operator, against: &Against) -> Result<RouteSet, CommandError> {
    match against {
        Against::Process(address) => {
            fetch_routes(&Connection::open_at(&operator.settings, *address)?).await
        }
        Against::File(path) => {
            let text = std::fs::read_to_string(path).map_err(CommandError::Io)?;
            jsonc::from_str(&text).map_err(|error| CommandError::Invalid(error.to_string()))
        }
    }
}

/// Reads the objects in force with their revision; 0 for those of a file.
async fn read_objects(
    operator: &Operator,
    against: &Against,
) -> Result<(u64, ObjectSet), CommandError> {
    match against {
        Against::Process(address) => {
            let connection = Connection::open_at(&operator.settings, *address)?;
            let published = fetch_set(&connection, 0).await?;
            Ok((published.revision, published.set.unwrap_or_default()))
        }
        Against::File(path) => Ok((0, objects::read_folder(path).map_err(CommandError::Folder)?)),
    }
}
