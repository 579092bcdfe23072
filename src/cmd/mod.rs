//! Subcommands, one per file.

mod bench;
mod bootstrap;
mod check;
mod diff;
mod evacuation;
mod get;
mod keys;
mod publish;
mod quarantine;
mod replace;
mod schema;
mod status;

use std::process::ExitCode;

use crate::cli::Command;
use crate::error::CommandError;

/// Runs a subcommand to its end and returns its exit code.
pub fn run(command: Command) -> Result<ExitCode, CommandError> {
    let system = actix_rt::System::new();
    system.block_on(dispatch(command))
}

async fn dispatch(command: Command) -> Result<ExitCode, CommandError> {
    let done = match command {
        Command::Check { operator, against, json, path } => {
            let report = check::run(&operator, against.as_ref(), &path).await?;
            return Ok(check::print(&report, json));
        }
        Command::Diff { operator, path } => diff::run(&operator, &path).await,
        Command::Publish { operator, expect, publication_id, wait, timeout, path } => {
            let options = publish::PublishOptions { expect, publication_id, wait, timeout };
            publish::run(&operator, options, &path).await
        }
        Command::Get { operator, revision } => get::run(&operator, revision).await,
        Command::Status { operator, json } => status::run(&operator, json).await,
        Command::Bootstrap { operator, address } => bootstrap::run(&operator, address).await,
        Command::Replace { operator, replica_id } => replace::run(&operator, replica_id).await,
        Command::Quarantine { operator, quarantine } => {
            quarantine::run(&operator, quarantine).await
        }
        Command::Evacuate { operator, data_centre } => {
            evacuation::run(&operator, data_centre, false).await
        }
        Command::Withdraw { operator, data_centre } => {
            evacuation::run(&operator, data_centre, true).await
        }
        Command::Bench { bench } => bench::run(bench).await,
        Command::Keys { keys } => keys::run(keys),
        Command::Schema { name } => schema::run(&name),
    };
    done.map(|()| ExitCode::SUCCESS)
}
