//! Sets kept as files in a folder.

use std::fmt;
use std::path::{Path, PathBuf};

use jsonc::{Document, JsoncError, Position};
use schema::ObjectSet;

use crate::check::{Problem, check};

const EXTENSIONS: [&str; 2] = ["json", "jsonc"];

/// Why a folder holds no set that may be published.
#[derive(Debug)]
pub enum FolderError {
    /// A file or the folder cannot be read.
    Io(PathBuf, std::io::Error),
    /// The folder holds no file of objects.
    Empty(PathBuf),
    /// A file does not parse.
    Syntax(PathBuf, JsoncError),
    /// Two files hold weights.
    TwoWeights(PathBuf),
    /// The objects do not fit together.
    Inconsistent(Vec<(PathBuf, Position, Problem)>),
}

impl fmt::Display for FolderError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FolderError::Io(path, error) => write!(f, "{}: {error}", path.display()),
            FolderError::Empty(path) => {
                write!(f, "{}: holds no .json or .jsonc file", path.display())
            }
            FolderError::Syntax(path, error) => write!(f, "{}:{error}", path.display()),
            FolderError::TwoWeights(path) => {
                write!(f, "{}: weights: another file holds weights too", path.display())
            }
            FolderError::Inconsistent(problems) => {
                for (index, (path, position, problem)) in problems.iter().enumerate() {
                    let separator = if index == 0 { "" } else { "\n" };
                    write!(f, "{separator}{}:{position}: {problem}", path.display())?;
                }
                Ok(())
            }
        }
    }
}

impl std::error::Error for FolderError {}

/// One file, and where its objects start in the lists of the merged set.
struct Part {
    path: PathBuf,
    text: String,
    set: ObjectSet,
}

/// Reads all files of a folder, or one file, as one set and checks it.
pub fn read_folder(path: &Path) -> Result<ObjectSet, FolderError> {
    let mut parts = Vec::new();
    for path in files(path)? {
        let text =
            std::fs::read_to_string(&path).map_err(|error| FolderError::Io(path.clone(), error))?;
        let set = jsonc::from_str(&text).map_err(|e| FolderError::Syntax(path.clone(), e))?;
        parts.push(Part { path, text, set });
    }
    let merged = merge(&parts)?;
    let problems = check(&merged);
    if problems.is_empty() {
        return Ok(merged);
    }
    Err(FolderError::Inconsistent(problems.into_iter().map(|p| locate(&parts, p)).collect()))
}

fn files(path: &Path) -> Result<Vec<PathBuf>, FolderError> {
    let io = |error| FolderError::Io(path.to_path_buf(), error);
    if std::fs::metadata(path).map_err(io)?.is_file() {
        return Ok(vec![path.to_path_buf()]);
    }
    let mut files = Vec::new();
    for file in std::fs::read_dir(path).map_err(io)? {
        let file = file.map_err(io)?.path();
        let extension = file.extension().and_then(|extension| extension.to_str());
        if extension.is_some_and(|extension| EXTENSIONS.contains(&extension)) {
            files.push(file);
        }
    }
    files.sort();
    if files.is_empty() {
        return Err(FolderError::Empty(path.to_path_buf()));
    }
    Ok(files)
}

fn merge(parts: &[Part]) -> Result<ObjectSet, FolderError> {
    let mut merged = ObjectSet::default();
    for Part { path, set, .. } in parts {
        merged.priorities.extend(set.priorities.iter().cloned());
        merged.models.extend(set.models.iter().cloned());
        merged.versions.extend(set.versions.iter().cloned());
        merged.adapters.extend(set.adapters.iter().cloned());
        merged.services.extend(set.services.iter().cloned());
        merged.workspaces.extend(set.workspaces.iter().cloned());
        if let Some(weights) = set.weights
            && merged.weights.replace(weights).is_some()
        {
            return Err(FolderError::TwoWeights(path.clone()));
        }
    }
    Ok(merged)
}

/// Finds the file and position of a problem in the merged set.
fn locate(parts: &[Part], problem: Problem) -> (PathBuf, Position, Problem) {
    let mut pieces = problem.pointer.splitn(4, '/').skip(1);
    let list = pieces.next().unwrap_or_default();
    let index = pieces.next().unwrap_or_default();
    let rest = pieces.next().unwrap_or_default();
    let Ok(mut index) = index.parse::<usize>() else {
        let holds_weights = parts.iter().find(|part| part.set.weights.is_some());
        return position_in(holds_weights.unwrap_or(&parts[0]), problem.pointer.clone(), problem);
    };
    for part in parts {
        let length = list_length(&part.set, list);
        if index < length {
            return position_in(part, format!("/{list}/{index}/{rest}"), problem);
        }
        index -= length;
    }
    position_in(&parts[0], String::new(), problem)
}

fn position_in(part: &Part, pointer: String, problem: Problem) -> (PathBuf, Position, Problem) {
    let start = Position { line: 1, column: 1 };
    let position =
        Document::parse(&part.text).map_or(start, |document| document.position(&pointer));
    (part.path.clone(), position, problem)
}

fn list_length(set: &ObjectSet, list: &str) -> usize {
    match list {
        "priorities" => set.priorities.len(),
        "models" => set.models.len(),
        "versions" => set.versions.len(),
        "adapters" => set.adapters.len(),
        "services" => set.services.len(),
        "workspaces" => set.workspaces.len(),
        _ => 0,
    }
}
