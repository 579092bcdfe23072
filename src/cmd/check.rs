//! `shallottray check`

use std::path::Path;

use crate::error::CommandError;

/// Validates a file or folder of objects without connecting to the deployment.
pub fn run(path: &Path) -> Result<(), CommandError> {
    let set = objects::read_folder(path).map_err(CommandError::Folder)?;
    let objects = objects::diff(&Default::default(), &set).len();
    println!("{}: {objects} objects are consistent", path.display());
    Ok(())
}
