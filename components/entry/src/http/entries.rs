//! `GET /v1/entries`: addresses of entries for callers to use.

use actix_web::{HttpResponse, web};
use rand::seq::SliceRandom as _;
use schema::EntryMember;
use serde::{Deserialize, Serialize};
use verdict::{Code, Failure};

use super::failure::CallerError;
use crate::shared::Shared;

/// Maximum addresses per response; more would only enlarge it.
const MAX_ADDRESSES: usize = 16;
const MS_PER_S: u64 = 1_000;

/// Query of `GET /v1/entries`.
#[derive(Debug, Deserialize)]
pub(crate) struct EntriesQuery {
    /// Data centre whose entries come first: the caller's, or the one of this
    /// entry if empty.
    #[serde(default)]
    data_centre: String,
}

#[derive(Debug, Serialize)]
struct EntryList<'a> {
    entries: Vec<EntryAddress<'a>>,
    /// Time for which the caller may cache the response.
    max_age_s: u64,
}

#[derive(Debug, Serialize)]
struct EntryAddress<'a> {
    vm: &'a str,
    data_centre: &'a str,
    region: &'a str,
    address: &'a str,
}

/// Lists entries that are not leaving: those in the caller's data centre first,
/// then those in its region, then all others, each group in random order. Without
/// an entry in the data centre, its region is unknown and all are in random order.
pub(crate) async fn list(
    query: web::Query<EntriesQuery>,
    shared: web::Data<Shared>,
) -> Result<HttpResponse, CallerError> {
    let view = shared.view();
    let mut members: Vec<&EntryMember> = view.members.iter().filter(|m| !m.leaving).collect();
    if members.is_empty() {
        let failure = Failure::not_run(Code::Unavailable, "the membership is not known yet");
        return Err(failure.retry_after_ms(500).into());
    }
    members.shuffle(&mut rand::rng());
    let caller_data_centre = match query.data_centre.as_str() {
        "" => shared.config.data_centre.as_str(),
        data_centre => data_centre,
    };
    let region =
        members.iter().find(|m| m.data_centre == caller_data_centre).map(|m| m.region.as_str());
    members.sort_by_key(|member| {
        (member.data_centre != caller_data_centre, Some(member.region.as_str()) != region)
    });
    let entries = members.into_iter().take(MAX_ADDRESSES).map(|member| EntryAddress {
        vm: &member.vm,
        data_centre: &member.data_centre,
        region: &member.region,
        address: &member.http_address,
    });
    let max_age_s = (shared.config.timers.address_max_age_ms / MS_PER_S).max(1);
    let list = EntryList { entries: entries.collect(), max_age_s };
    Ok(HttpResponse::Ok()
        .insert_header(("cache-control", format!("max-age={max_age_s}")))
        .json(list))
}
