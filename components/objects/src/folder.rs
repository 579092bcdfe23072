//! Object sets stored as files in a folder.

use std::fmt;
use std::path::{Path, PathBuf};

use jsonc::{Document, JsoncError, Position};
use schema::ObjectSet;

use crate::check::{Problem, check};

const EXTENSIONS: [&str; 2] = ["json", "jsonc"];

/// Error from reading an object set that is to be published.
#[derive(Debug)]
pub enum FolderError {
    /// A file or the folder cannot be read.
    Io(PathBuf, std::io::Error),
    /// The folder contains no `.json` or `.jsonc` file.
    Empty(PathBuf),
    /// A file is not valid JSON with comments, or has an unknown field or a
    /// value of a wrong type.
    Syntax(PathBuf, JsoncError),
    /// Two files contain weights.
    TwoWeights(PathBuf),
    /// The merged set is inconsistent.
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

/// One file and the objects in it.
struct SourceFile {
    path: PathBuf,
    text: String,
    set: ObjectSet,
}

/// Reads one file, or all `.json` and `.jsonc` files of a folder, as one set and
/// validates it.
pub fn read_folder(path: &Path) -> Result<ObjectSet, FolderError> {
    let mut sources = Vec::new();
    for path in list_files(path)? {
        let text =
            std::fs::read_to_string(&path).map_err(|error| FolderError::Io(path.clone(), error))?;
        let set = jsonc::from_str(&text).map_err(|e| FolderError::Syntax(path.clone(), e))?;
        sources.push(SourceFile { path, text, set });
    }
    let merged = merge(&sources)?;
    let problems = check(&merged);
    if problems.is_empty() {
        return Ok(merged);
    }
    Err(FolderError::Inconsistent(problems.into_iter().map(|p| locate(&sources, p)).collect()))
}

fn list_files(path: &Path) -> Result<Vec<PathBuf>, FolderError> {
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

fn merge(sources: &[SourceFile]) -> Result<ObjectSet, FolderError> {
    let mut merged = ObjectSet::default();
    for SourceFile { path, set, .. } in sources {
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

/// Maps a problem in the merged set to its file and position. `merge` appends the
/// lists of the files in their order, so an index in a merged list is reduced by
/// the lengths of the lists in the files before.
fn locate(sources: &[SourceFile], problem: Problem) -> (PathBuf, Position, Problem) {
    let mut segments = problem.pointer.splitn(4, '/').skip(1);
    let list = segments.next().unwrap_or_default();
    let index = segments.next().unwrap_or_default();
    let rest = segments.next().unwrap_or_default();
    let Ok(mut index) = index.parse::<usize>() else {
        let with_weights = sources.iter().find(|source| source.set.weights.is_some());
        return position_in(with_weights.unwrap_or(&sources[0]), problem.pointer.clone(), problem);
    };
    for source in sources {
        let length = list_length(&source.set, list);
        if index < length {
            return position_in(source, format!("/{list}/{index}/{rest}"), problem);
        }
        index -= length;
    }
    position_in(&sources[0], String::new(), problem)
}

fn position_in(
    source: &SourceFile,
    pointer: String,
    problem: Problem,
) -> (PathBuf, Position, Problem) {
    let start = Position { line: 1, column: 1 };
    let position =
        Document::parse(&source.text).map_or(start, |document| document.position(&pointer));
    (source.path.clone(), position, problem)
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
