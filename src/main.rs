//! `shallottray`: command line for operators.

mod cli;
mod cmd;
mod connection;
mod error;
mod in_force;

use std::process::ExitCode;

fn main() -> ExitCode {
    let command = cli::command().run();
    match cmd::run(command) {
        Ok(exit_code) => exit_code,
        Err(error) => {
            eprintln!("error: {error}");
            error.exit_code()
        }
    }
}
