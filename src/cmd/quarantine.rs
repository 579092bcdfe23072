//! `shallottray quarantine`

use quarantine::{PartId, PartSet};
use schema::{
    GetQuarantineRequest, LiftQuarantine, QuarantineParts, QuarantinedParts, reply, request,
};

use crate::cli::{Operator, Quarantine};
use crate::connection::Connection;
use crate::error::CommandError;

/// Lists, adds or lifts the quarantine of prompt parts.
pub async fn run(operator: &Operator, quarantine: Quarantine) -> Result<(), CommandError> {
    let connection = Connection::open(&operator.settings)?;
    match quarantine {
        Quarantine::List => list(&connection).await,
        Quarantine::Add { parts } => {
            let parts = ids(&parts);
            let body = QuarantineParts { parts, operator: String::new() };
            connection
                .call(request::Body::QuarantineParts(body))
                .await
                .map_err(CommandError::Control)?;
            println!("quarantined; requests with all of these parts are rejected");
            Ok(())
        }
        Quarantine::Lift { parts } => {
            let body = LiftQuarantine { parts: ids(&parts) };
            connection
                .call(request::Body::LiftQuarantine(body))
                .await
                .map_err(CommandError::Control)?;
            println!("lifted");
            Ok(())
        }
    }
}

async fn list(connection: &Connection) -> Result<(), CommandError> {
    let body = request::Body::GetQuarantine(GetQuarantineRequest {});
    let reply = connection.call(body).await.map_err(CommandError::Control)?;
    let reply::Body::Quarantine(quarantine) = reply else {
        return Err(CommandError::Invalid("another kind of reply than expected".to_string()));
    };
    for set in &quarantine.sets {
        println!("{}", describe(set, quarantine.now_ms));
    }
    if quarantine.sets.is_empty() {
        println!("no prompt parts are quarantined");
    }
    Ok(())
}

/// Returns the line for one set at the time `now_ms` of the control process.
fn describe(set: &QuarantinedParts, now_ms: u64) -> String {
    let parts = PartSet::new(set.parts.iter().map(|part| PartId(*part)));
    let ends_in_s = set.until_ms.saturating_sub(now_ms).div_ceil(1_000);
    let state = if ends_in_s > 0 { "quarantined" } else { "ended" };
    let by = if set.operator.is_empty() { "crashes" } else { &set.operator };
    format!("parts={parts} {state} by={by} count={} ends_in_s={ends_in_s}", set.count)
}

fn ids(parts: &[PartId]) -> Vec<u64> {
    parts.iter().map(|part| part.0).collect()
}
