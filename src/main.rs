//! `shallottray`: command line for operators.

mod cli;
mod cmd;
mod connection;
mod error;

use std::process::ExitCode;

fn main() -> ExitCode {
    let command = cli::command().run();
    match cmd::run(command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            error.exit_code()
        }
    }
}
