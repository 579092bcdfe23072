//! `shallottray publish`

use std::path::Path;
use std::time::Duration;

use schema::{Publish, PublishOutcome, StatusReply, reply, request};
use tokio::time::{Instant, sleep};
use units::Millis;

use super::get::fetch;
use crate::cli::Operator;
use crate::connection::Connection;
use crate::error::CommandError;

const POLL_INTERVAL: Duration = Duration::from_millis(100);
const PUBLICATION_ID_BYTES: usize = 16;

/// Options of a publication.
pub struct PublishOptions {
    /// Revision that the set replaces.
    pub expect: Option<u64>,
    /// Id under which the publication may be sent again.
    pub publication_id: Option<String>,
    /// Wait until every entry serves the revision.
    pub wait: bool,
    /// Longest wait.
    pub timeout: Millis,
}

/// Publishes a folder of objects.
pub async fn run(
    operator: &Operator,
    options: PublishOptions,
    path: &Path,
) -> Result<(), CommandError> {
    let set = objects::read_folder(path).map_err(CommandError::Folder)?;
    let connection = Connection::open(&operator.settings)?;
    let expected_revision = match options.expect {
        Some(revision) => revision,
        None => fetch(&connection, 0).await?.revision,
    };
    let publish = Publish {
        publication_id: options.publication_id.unwrap_or_else(new_id),
        expected_revision,
        author: String::new(),
        set: Some(set),
    };
    let id = publish.publication_id.clone();
    println!("publication {id}: sending, in place of revision {expected_revision}");
    let reply = connection.call(request::Body::Publish(publish)).await;
    let outcome = match reply.map_err(CommandError::Control)? {
        reply::Body::Publish(outcome) => outcome,
        _ => {
            let message = "control gave another kind of reply".to_string();
            return Err(CommandError::Unavailable(message));
        }
    };
    let PublishOutcome { accepted, revision, author, publication_id } = outcome;
    if !accepted {
        let message = format!(
            "revision {revision} is in force; revision {} went to publication \
             {publication_id} by {author}",
            expected_revision + 1
        );
        return Err(CommandError::Conflict(message));
    }
    println!("revision {revision}: accepted");
    if options.wait {
        wait_in_force(&connection, revision, Duration::from_millis(options.timeout.0)).await?;
        println!("revision {revision}: in force at every entry");
    }
    Ok(())
}

/// Waits until every member of the membership serves the revision.
async fn wait_in_force(
    connection: &Connection,
    revision: u64,
    limit: Duration,
) -> Result<(), CommandError> {
    let deadline = Instant::now() + limit;
    loop {
        let status = connection.leader_status().await;
        let behind = status.as_ref().map(|status| entries_behind(status, revision));
        if behind.as_ref().is_some_and(Vec::is_empty) {
            return Ok(());
        }
        if Instant::now() >= deadline {
            let behind = behind.map_or("no leader answers".to_string(), |b| b.join(", "));
            let message = format!("revision {revision} is accepted but not in force at: {behind}");
            return Err(CommandError::Unavailable(message));
        }
        sleep(POLL_INTERVAL).await;
    }
}

fn entries_behind(status: &StatusReply, revision: u64) -> Vec<String> {
    let behind = status.entries.iter().filter(|entry| entry.revision < revision);
    behind.map(|entry| entry.member.clone().unwrap_or_default().vm).collect()
}

fn new_id() -> String {
    hex::encode(rand::random::<[u8; PUBLICATION_ID_BYTES]>())
}
