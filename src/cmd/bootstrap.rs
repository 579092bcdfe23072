//! `shallottray bootstrap`

use std::net::SocketAddr;
use std::time::Duration;

use schema::{BootstrapRequest, request};
use wire::CallError;

use crate::cli::Operator;
use crate::connection::Connection;
use crate::error::CommandError;

const LIMIT: Duration = Duration::from_secs(5);

/// Creates the control group on one VM; the others join it by themselves.
pub async fn run(operator: &Operator, address: SocketAddr) -> Result<(), CommandError> {
    let connection = Connection::open(&operator.settings)?;
    // A second group would split the deployment.
    for (other, status) in connection.statuses().await {
        if status.is_ok_and(|status| status.last_index > 0) {
            let message = format!("the control process at {other} belongs to a group already");
            return Err(CommandError::Invalid(message));
        }
    }
    let body = request::Body::Bootstrap(BootstrapRequest {});
    match connection.call_one(address, body, LIMIT).await {
        Ok(_) => {
            println!("group created on {address}; the other control VMs join it now");
            Ok(())
        }
        Err(CallError::Refused(refusal)) => Err(CommandError::Invalid(refusal.message)),
        Err(error) => Err(CommandError::Unavailable(error.to_string())),
    }
}
