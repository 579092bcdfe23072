//! `shallottray evacuate` and `shallottray withdraw`

use schema::{EvacuateDataCentre, EvacuatedDataCentres, EvacuationsRequest, reply, request};

use crate::cli::Operator;
use crate::connection::Connection;
use crate::error::CommandError;

/// Orders the evacuation of a data centre, or withdraws it.
pub async fn run(
    operator: &Operator,
    data_centre: String,
    withdraw: bool,
) -> Result<(), CommandError> {
    let connection = Connection::open(&operator.settings)?;
    let order = Some(EvacuateDataCentre { data_centre, withdraw });
    let evacuated = call(&connection, EvacuationsRequest { order }).await?;
    println!("{}", describe(&evacuated));
    Ok(())
}

/// Reads the evacuated data centres.
pub async fn fetch(connection: &Connection) -> Result<EvacuatedDataCentres, CommandError> {
    call(connection, EvacuationsRequest::default()).await
}

async fn call(
    connection: &Connection,
    request: EvacuationsRequest,
) -> Result<EvacuatedDataCentres, CommandError> {
    let reply = connection.call(request::Body::Evacuations(request)).await;
    match reply.map_err(CommandError::Control)? {
        reply::Body::Evacuations(evacuated) => Ok(evacuated),
        _ => Err(CommandError::Invalid("another kind of reply than expected".to_string())),
    }
}

/// Returns the line for the evacuated data centres.
pub fn describe(evacuated: &EvacuatedDataCentres) -> String {
    let EvacuatedDataCentres { version, data_centres } = evacuated;
    let names = if data_centres.is_empty() { "none".to_string() } else { data_centres.join(",") };
    format!("evacuated={names} version={version}")
}
