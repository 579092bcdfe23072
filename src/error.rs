//! Errors of subcommands and their exit codes.

use std::process::ExitCode;

use displaydoc::Display;

const EXIT_FAILURE: u8 = 1;
const EXIT_INVALID: u8 = 2;
const EXIT_CONFLICT: u8 = 3;
const EXIT_UNAVAILABLE: u8 = 4;

/// Error of a subcommand; its text is printed for the operator.
#[derive(Debug, Display)]
pub enum CommandError {
    /// {0}
    Folder(objects::FolderError),
    /// {0}
    Settings(settings::SettingsError),
    /// {0}
    Credentials(credentials::CredentialError),
    /// {0}
    Invalid(String),
    /// another operator published first: {0}
    Conflict(String),
    /// {0}
    Control(client::ControlError),
    /// {0}
    Unavailable(String),
    /// {0}
    Io(std::io::Error),
}

impl std::error::Error for CommandError {}

impl CommandError {
    /// Returns the exit code: 2 for invalid input, settings or credentials and for
    /// refused requests, 3 for a conflict with another publication, 4 if the system
    /// cannot be reached, 1 for anything else. A check that could run has the exit code of its
    /// [`lint::Report`].
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            CommandError::Folder(_)
            | CommandError::Settings(_)
            | CommandError::Credentials(_)
            | CommandError::Invalid(_) => EXIT_INVALID,
            CommandError::Conflict(_) => EXIT_CONFLICT,
            CommandError::Control(client::ControlError::Refused(_)) => EXIT_INVALID,
            CommandError::Control(client::ControlError::Unavailable(_))
            | CommandError::Unavailable(_) => EXIT_UNAVAILABLE,
            CommandError::Io(_) => EXIT_FAILURE,
        })
    }
}
