//! `shallottray status`

use schema::{EntryStatus, StatusReply};
use serde::Serialize;

use super::evacuation;
use crate::cli::Operator;
use crate::connection::Connection;
use crate::error::CommandError;

/// Status of one control process, as printed in JSON.
#[derive(Serialize)]
struct ProcessStatus {
    address: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    status: Option<StatusReply>,
    #[serde(skip_serializing_if = "Option::is_none")]
    error: Option<String>,
}

/// Prints the status of the control processes, the replicas and the entries.
pub async fn run(operator: &Operator, json: bool) -> Result<(), CommandError> {
    let connection = Connection::open(&operator.settings)?;
    let statuses: Vec<ProcessStatus> = connection
        .fetch_statuses()
        .await
        .into_iter()
        .map(|(address, status)| ProcessStatus {
            address: address.to_string(),
            error: status.as_ref().err().cloned(),
            status: status.ok(),
        })
        .collect();
    if json {
        let text = serde_json::to_string_pretty(&statuses);
        println!("{}", text.map_err(|error| CommandError::Invalid(error.to_string()))?);
    } else {
        statuses.iter().for_each(print_process);
    }
    let leader = statuses.iter().filter_map(|s| s.status.as_ref()).find(|s| s.role == "leader");
    let Some(leader) = leader else {
        return Err(CommandError::Unavailable("no control process leads".to_string()));
    };
    if !json {
        print_entries(leader);
        println!("{}", evacuation::describe(&evacuation::fetch(&connection).await?));
    }
    Ok(())
}

fn print_process(process: &ProcessStatus) {
    let Some(status) = &process.status else {
        let error = process.error.as_deref().unwrap_or("unknown");
        println!("control {}  unreachable: {error}", process.address);
        return;
    };
    println!(
        "control {}  vm={} replica={} role={} term={} commit={} applied={} revision={} records={}",
        process.address,
        status.vm,
        status.replica_id,
        status.role,
        status.term,
        status.commit,
        status.applied,
        status.revision,
        status.records
    );
    for limit in &status.limits {
        println!(
            "limit {}  per_second={} granted={} refused={}",
            limit.upstream, limit.per_second, limit.granted, limit.refused
        );
    }
    if !status.disk_error.is_empty() {
        println!("control {}  disk refuses writes: {}", process.address, status.disk_error);
    }
}

fn print_entries(leader: &StatusReply) {
    for replica in leader.configuration.iter().flat_map(|c| &c.replicas) {
        let kind = if replica.voter { "voter" } else { "learner" };
        println!("replica {} vm={} {kind} {}", replica.id, replica.vm, replica.peer_address);
    }
    for EntryStatus { member, revision, heartbeat_age_ms } in &leader.entries {
        let member = member.clone().unwrap_or_default();
        let state = if member.leaving { "leaving" } else { "serving" };
        println!(
            "entry {}  vm={} data_centre={} {state} revision={revision} heartbeat_age_ms={heartbeat_age_ms}",
            member.http_address, member.vm, member.data_centre
        );
    }
}
