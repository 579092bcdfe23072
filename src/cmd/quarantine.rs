//! `shallottray quarantine`

use quarantine::{Feature, FeatureSet};
use schema::{
    GetQuarantineRequest, LiftQuarantine, QuarantineParts, QuarantinedParts, reply, request,
};

use crate::cli::{Operator, Quarantine};
use crate::connection::Connection;
use crate::error::CommandError;

/// Lists, adds or lifts the quarantine of prompt parts and requests.
pub async fn run(operator: &Operator, quarantine: Quarantine) -> Result<(), CommandError> {
    let connection = Connection::open(&operator.settings)?;
    match quarantine {
        Quarantine::List => list(&connection).await,
        Quarantine::Add { features } => {
            let (parts, request) = to_ids(features)?;
            let body = QuarantineParts { parts, request, operator: String::new() };
            connection
                .call(request::Body::QuarantineParts(body))
                .await
                .map_err(CommandError::Control)?;
            println!("quarantined; requests with all of these features are rejected");
            Ok(())
        }
        Quarantine::Lift { features } => {
            let (parts, request) = to_ids(features)?;
            let body = LiftQuarantine { parts, request };
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
        println!("nothing is quarantined");
    }
    Ok(())
}

/// Returns the line for one set at the time `now_ms` of the control process.
fn describe(set: &QuarantinedParts, now_ms: u64) -> String {
    let features = FeatureSet::from_ids(&set.parts, set.request);
    let ends_in_s = set.until_ms.saturating_sub(now_ms).div_ceil(1_000);
    let state = if ends_in_s > 0 { "quarantined" } else { "ended" };
    let by = if set.operator.is_empty() { "crashes" } else { &set.operator };
    format!("features={features} {state} by={by} count={} ends_in_s={ends_in_s}", set.count)
}

/// Returns the ids of the prompt parts, and the fingerprint of the request or 0.
fn to_ids(features: Vec<Feature>) -> Result<(Vec<u64>, u64), CommandError> {
    let is_request = |feature: &&Feature| matches!(feature, Feature::Request(_));
    if features.iter().filter(is_request).count() > 1 {
        return Err(CommandError::Invalid("name one request at most".to_string()));
    }
    let set = FeatureSet::new(features);
    Ok((set.part_ids(), set.request_id()))
}
