//! `shallottray publish`

use std::path::Path;
use std::time::Duration;

use schema::{Publish, PublishOutcome, StatusReply, reply, request};
use tokio::time::{Instant, sleep};
use units::Millis;

use super::get::fetch_set;
use crate::cli::Operator;
use crate::connection::Connection;
use crate::error::CommandError;

const POLL_INTERVAL: Duration = Duration::from_millis(100);
const PUBLICATION_ID_BYTES: usize = 16;

/// Options of a publication.
pub struct PublishOptions {
    /// Revision that the set replaces; the current one if `None`.
    pub expect: Option<u64>,
    /// Id that makes a retry of the publication idempotent; random if `None`.
    pub publication_id: Option<String>,
    /// Whether to wait until every entry serves the revision.
    pub wait: bool,
    /// Timeout of that wait.
    pub timeout: Millis,
}

/// Publishes a file or folder of objects as one set.
pub async fn run(
    operator: &Operator,
    options: PublishOptions,
    path: &Path,
) -> Result<(), CommandError> {
    let set = objects::read_folder(path).map_err(CommandError::Folder)?;
    let connection = Connection::open(&operator.settings)?;
    let expected_revision = match options.expect {
        Some(revision) => revision,
        None => fetch_set(&connection, 0).await?.revision,
    };
    let publish = Publish {
        publication_id: options.publication_id.unwrap_or_else(new_publication_id),
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
            let message = "the control process sent a reply of an unexpected type".to_string();
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
        wait_until_served(&connection, revision, Duration::from_millis(options.timeout.0)).await?;
        println!("revision {revision}: in force at every entry");
    }
    Ok(())
}

/// Waits until every entry in the membership serves the revision or a newer one.
async fn wait_until_served(
    connection: &Connection,
    revision: u64,
    timeout: Duration,
) -> Result<(), CommandError> {
    let deadline = Instant::now() + timeout;
    loop {
        let status = connection.fetch_leader_status().await;
        let outdated = status.as_ref().map(|status| outdated_entries(status, revision));
        if outdated.as_ref().is_some_and(Vec::is_empty) {
            return Ok(());
        }
        if Instant::now() >= deadline {
            let outdated = outdated.map_or("no leader answers".to_string(), |vms| vms.join(", "));
            let message =
                format!("revision {revision} is accepted but not in force at: {outdated}");
            return Err(CommandError::Unavailable(message));
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Returns the VMs of entries whose revision is older than `revision`.
fn outdated_entries(status: &StatusReply, revision: u64) -> Vec<String> {
    let outdated = status.entries.iter().filter(|entry| entry.revision < revision);
    outdated.map(|entry| entry.member.clone().unwrap_or_default().vm).collect()
}

fn new_publication_id() -> String {
    hex::encode(rand::random::<[u8; PUBLICATION_ID_BYTES]>())
}
