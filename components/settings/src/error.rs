//! Errors of settings.

use std::fmt;
use std::path::PathBuf;

use jsonc::{JsoncError, Position};

/// One wrong setting.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SettingsProblem {
    /// Where the setting stands.
    pub position: Position,
    /// Name of the setting.
    pub field: String,
    /// What is wrong and what to do.
    pub message: String,
}

/// Why settings cannot be used.
#[derive(Debug)]
pub enum SettingsError {
    /// The file cannot be read.
    Io(PathBuf, std::io::Error),
    /// The file does not parse.
    Syntax(PathBuf, JsoncError),
    /// Settings are wrong.
    Invalid(PathBuf, Vec<SettingsProblem>),
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SettingsError::Io(path, error) => write!(f, "{}: {error}", path.display()),
            SettingsError::Syntax(path, error) => write!(f, "{}:{error}", path.display()),
            SettingsError::Invalid(path, problems) => {
                for (index, problem) in problems.iter().enumerate() {
                    let separator = if index == 0 { "" } else { "\n" };
                    let SettingsProblem { position, field, message } = problem;
                    write!(f, "{separator}{}:{position}: {field}: {message}", path.display())?;
                }
                Ok(())
            }
        }
    }
}

impl std::error::Error for SettingsError {}
