//! `shallottray replace`

use schema::{ReplaceRequest, request};

use crate::cli::Operator;
use crate::connection::Connection;
use crate::error::CommandError;

/// Removes a lost replica from the control group; a standby takes its place.
pub async fn run(operator: &Operator, replica_id: u64) -> Result<(), CommandError> {
    let connection = Connection::open(&operator.settings)?;
    let body = request::Body::Replace(ReplaceRequest { replica_id });
    connection.call(body).await.map_err(CommandError::Control)?;
    println!("replica {replica_id} leaves the group; see `shallottray status`");
    Ok(())
}
