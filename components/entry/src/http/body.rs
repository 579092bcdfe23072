//! Request bodies.

use actix_web::web::{Bytes, Payload};
use verdict::{Code, Failure};

use crate::shared::Shared;

/// Reads a body of at most `limits.max_body_bytes`.
pub(crate) async fn read(shared: &Shared, payload: Payload) -> Result<Bytes, Failure> {
    let max_bytes = shared.config.limits.max_body_bytes;
    let limit = usize::try_from(max_bytes).unwrap_or(usize::MAX);
    match payload.to_bytes_limited(limit).await {
        Ok(Ok(bytes)) => Ok(bytes),
        Ok(Err(error)) => {
            let message = format!("the body cannot be read: {error}");
            Err(Failure::not_run(Code::InvalidRequest, message))
        }
        Err(_) => {
            let message = format!("the body is larger than {max_bytes} bytes");
            Err(Failure::not_run(Code::TooLarge, message))
        }
    }
}
