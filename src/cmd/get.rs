//! `shallottray get`

use schema::{GetSetReply, GetSetRequest, reply, request};

use crate::cli::Operator;
use crate::connection::Connection;
use crate::error::CommandError;

/// Prints a published set as JSON, after a comment line with its revision.
pub async fn run(operator: &Operator, revision: u64) -> Result<(), CommandError> {
    let connection = Connection::open(&operator.settings)?;
    let reply = fetch_set(&connection, revision).await?;
    if reply.revision == 0 {
        println!("nothing is published yet");
        return Ok(());
    }
    let GetSetReply { revision, author, publication_id, set } = reply;
    println!("// revision {revision} by {author}, publication {publication_id}");
    let text = serde_json::to_string_pretty(&set.unwrap_or_default());
    println!("{}", text.map_err(|error| CommandError::Invalid(error.to_string()))?);
    Ok(())
}

/// Fetches the set of a revision; revision 0 selects the current one.
pub async fn fetch_set(
    connection: &Connection,
    revision: u64,
) -> Result<GetSetReply, CommandError> {
    let body = request::Body::GetSet(GetSetRequest { revision });
    match connection.call(body).await.map_err(CommandError::Control)? {
        reply::Body::GetSet(reply) => Ok(reply),
        _ => Err(CommandError::Unavailable(
            "the control process sent a reply of an unexpected type".to_string(),
        )),
    }
}
