//! What a gateway knows of upstreams, requests and streams, without I/O.

mod buffers;
mod cold;
mod copies;
mod departures;
mod evacuations;
mod gateway_counts;
mod health;
mod held;
mod leaving;
mod limits;
mod member_lists;
mod offers;
mod quarantine;
mod reach;
mod registries;
mod speed_log;
mod vm_load;

pub(crate) use buffers::{BufferBudget, BufferReservation, BufferUse};
pub(crate) use cold::{ColdUpstreams, cold_limit};
pub(crate) use copies::KnownCopies;
pub(crate) use departures::Departures;
pub(crate) use evacuations::Evacuations;
pub(crate) use gateway_counts::GatewayCounts;
pub(crate) use health::{DueFindings, Subject, UpstreamHealth};
pub(crate) use held::{HeldId, HeldLimits, HeldStreams, Room};
pub(crate) use leaving::LeavingUpstreams;
pub(crate) use limits::KnownLimits;
pub(crate) use member_lists::MemberLists;
pub(crate) use offers::{NextFetch, RouteOffers};
pub(crate) use quarantine::{AnsweredFeatures, MAX_HOLD, Quarantine};
pub(crate) use reach::Reachability;
pub(crate) use registries::{AppliedRegistries, RegistryPosition};
pub(crate) use speed_log::SpeedLog;
pub(crate) use vm_load::BusyShare;
