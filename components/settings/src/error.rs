//! Errors in settings files.

use std::fmt;
use std::path::PathBuf;

use jsonc::{JsoncError, Position};

/// One invalid setting.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SettingsProblem {
    /// Position of the setting in the file or, if it is absent, of its nearest
    /// existing parent.
    pub position: Position,
    /// Path of the setting, such as `timers.heartbeat_ms`.
    pub field: String,
    /// What is wrong and how to correct it.
    pub message: String,
}

/// Error from loading or validating settings.
#[derive(Debug)]
pub enum SettingsError {
    /// The file cannot be read.
    Io(PathBuf, std::io::Error),
    /// The file is not valid JSON with comments, or has an unknown field or a
    /// value of a wrong type.
    Syntax(PathBuf, JsoncError),
    /// Settings are invalid.
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
