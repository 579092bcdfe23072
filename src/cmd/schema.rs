//! `shallottray schema`

use crate::error::CommandError;

const OBJECTS: &str = include_str!("../../components/schema/proto/objects.proto");
const ROUTES: &str = include_str!("../../components/schema/proto/routes.proto");
const SETTINGS: &str = include_str!("../../components/schema/proto/settings.proto");

/// Prints the protobuf schema of settings, objects or sets of routes.
pub fn run(name: &str) -> Result<(), CommandError> {
    match name {
        "objects" => print!("{OBJECTS}"),
        "routes" => print!("{ROUTES}"),
        "settings" => print!("{SETTINGS}"),
        _ => {
            let message = format!("there is no schema `{name}`; try objects, routes or settings");
            return Err(CommandError::Invalid(message));
        }
    }
    Ok(())
}
