//! `shallottray schema`

use crate::error::CommandError;

const OBJECTS: &str = include_str!("../../components/schema/proto/objects.proto");
const SETTINGS: &str = include_str!("../../components/schema/proto/settings.proto");

/// Prints the protobuf schema of settings or objects.
pub fn run(name: &str) -> Result<(), CommandError> {
    match name {
        "objects" => print!("{OBJECTS}"),
        "settings" => print!("{SETTINGS}"),
        _ => {
            let message = format!("there is no schema `{name}`; try objects or settings");
            return Err(CommandError::Invalid(message));
        }
    }
    Ok(())
}
