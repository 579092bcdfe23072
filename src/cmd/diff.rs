//! `shallottray diff`

use std::path::Path;

use super::get::fetch_set;
use crate::cli::Operator;
use crate::connection::Connection;
use crate::error::CommandError;

/// Prints the changes from the published set to a file or folder of objects.
pub async fn run(operator: &Operator, path: &Path) -> Result<(), CommandError> {
    let set = objects::read_folder(path).map_err(CommandError::Folder)?;
    let connection = Connection::open(&operator.settings)?;
    let published = fetch_set(&connection, 0).await?;
    let changes = objects::diff(&published.set.unwrap_or_default(), &set);
    println!("revision {}: {} changes", published.revision, changes.len());
    for change in changes {
        println!("{change}");
    }
    Ok(())
}
