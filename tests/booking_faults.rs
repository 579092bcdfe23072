//! Bookings under faults: each file in `tests/rows/booking` names faults, the phase
//! of the request in which they are injected, and the responses and number of runs
//! that are allowed. Guards against bookings that run twice and against responses
//! with a wrong verdict.

mod support;

use std::path::Path;
use std::time::Duration;

use futures::future::join;
use serde::Deserialize;
use standin::service::Faults;
use support::caller::Response;
use support::deployment::DeploymentOptions;
use support::{Caller, Deployment, eventually};
use tokio::time::sleep;

const BOOKING_BODY: &str = r#"{"member": "m-1", "trainer": "t-1", "slot": "s-1"}"#;
const IDEMPOTENCY_KEY: &str = "key-1";
/// Response size for `large_answer`; above `max_answer_bytes`, so that the response
/// is not stored in the record.
const LARGE_RESPONSE_BYTES: usize = 100_000;

/// One combination of faults and the expected results.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct TestCase {
    /// Guarantee that the case checks, quoted from the project's list "what must
    /// always hold".
    holds: String,
    fault: Vec<Fault>,
    #[serde(rename = "strikes")]
    injected_at: Phase,
    /// Allowed numbers of runs of the booking at the stand-in.
    runs: Vec<u64>,
    /// Allowed responses to the first device; `lost` means no response.
    first: Vec<String>,
    /// Allowed responses to a second device that sends the same key to another
    /// entry afterwards.
    second: Vec<String>,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Fault {
    None,
    KillEntry,
    KillLeader,
    KillTwoControls,
    KillUpstream,
    IsolateLeader,
    IsolateEntry,
    /// The stand-in closes the connection in the middle of its response.
    DropAnswer,
    /// The response is larger than `max_answer_bytes`.
    LargeAnswer,
    /// A second device sends the same booking while the first is in flight.
    SameMoment,
    /// The second device reuses the idempotency key with another body.
    OtherBody,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Phase {
    /// Before the first request is sent.
    BeforeIntent,
    /// While the stand-in delays the call, before it runs.
    WhileSending,
    /// After the call ran, while the stand-in delays its response.
    BeforeAnswer,
    /// After the first request ended, with a response or without.
    AfterAnswer,
}

fn booking_keeps_guarantees_under_faults(path: &Path) -> datatest_stable::Result<()> {
    let text = std::fs::read_to_string(path)?;
    let case: TestCase = serde_json::from_str(&text)?;
    support::run_async(check_case(case));
    Ok(())
}

async fn check_case(case: TestCase) {
    let options = DeploymentOptions { max_answer_bytes: 10_000, ..DeploymentOptions::default() };
    let mut deployment = Deployment::start(3, 3, options).await;
    deployment.start_service(0).await;
    let service = deployment.services[0].call_counter.clone();
    service.set_faults(stand_in_faults(&case));
    let caller = Caller::new("head-office");
    let entry = deployment.entry_address(0);
    if matches!(case.injected_at, Phase::BeforeIntent) {
        inject_faults(&mut deployment, &case).await;
    }

    let first = caller.book(entry, IDEMPOTENCY_KEY, BOOKING_BODY);
    let during = async {
        match case.injected_at {
            Phase::BeforeIntent | Phase::AfterAnswer => {}
            Phase::WhileSending => sleep(Duration::from_millis(300)).await,
            Phase::BeforeAnswer => {
                let call_ran = || async { service.total() > 0 };
                eventually("the call runs", call_ran).await;
            }
        }
        if matches!(case.injected_at, Phase::WhileSending | Phase::BeforeAnswer) {
            inject_faults(&mut deployment, &case).await;
        }
        book_concurrently(&deployment, &case).await
    };
    let (first, concurrent) = join(first, during).await;
    if matches!(case.injected_at, Phase::AfterAnswer) {
        inject_faults(&mut deployment, &case).await;
    }
    service.set_faults(Faults::default());
    let body = match case.fault.first() {
        Some(Fault::OtherBody) => r#"{"member": "m-2", "trainer": "t-1", "slot": "s-1"}"#,
        _ => BOOKING_BODY,
    };
    let second = caller.book(deployment.entry_address(1), IDEMPOTENCY_KEY, body).await;

    let runs = service.by_key().get(IDEMPOTENCY_KEY).copied().unwrap_or_default();
    let responses = (summarize(&first), summarize(&second));
    assert!(
        case.runs.contains(&runs),
        "unexpected number of runs: {runs}; responses {responses:?}; {case:?}"
    );
    assert!(
        case.first.contains(&responses.0),
        "unexpected first response in {responses:?}: {first:?}; {case:?}"
    );
    assert!(
        case.second.contains(&responses.1),
        "unexpected second response in {responses:?}: {second:?}; {case:?}"
    );
    if let Some(concurrent) = concurrent {
        assert_eq!(concurrent.body, first.clone().expect("a response").body);
    }
    for response in [&first, &second].into_iter().flatten() {
        assert!(
            response.verdict != "not-run"
                || runs == 0
                || responses.0 == "200"
                || responses.1 == "200"
                || response.code() == "key_conflict",
            "verdict not-run, but the booking ran: {response:?}; {case:?}"
        );
    }
    assert!(!case.holds.is_empty());
}

fn stand_in_faults(case: &TestCase) -> Faults {
    let mut faults = match case.injected_at {
        Phase::WhileSending => Faults { delay_ms: 1_000, ..Faults::default() },
        Phase::BeforeAnswer => Faults { answer_delay_ms: 1_000, ..Faults::default() },
        Phase::BeforeIntent | Phase::AfterAnswer => Faults::default(),
    };
    for fault in &case.fault {
        match fault {
            Fault::DropAnswer => faults.drop_answers = true,
            Fault::LargeAnswer => faults.answer_bytes = LARGE_RESPONSE_BYTES,
            Fault::SameMoment => faults.answer_delay_ms = 300,
            _ => {}
        }
    }
    faults
}

async fn inject_faults(deployment: &mut Deployment, case: &TestCase) {
    for fault in &case.fault {
        match fault {
            Fault::KillEntry => deployment.kill_entry(0).await,
            Fault::KillLeader => {
                let leader = deployment.leader().await;
                deployment.kill_control(leader).await;
            }
            Fault::KillTwoControls => {
                deployment.kill_control(0).await;
                deployment.kill_control(1).await;
            }
            Fault::KillUpstream => deployment.services[0].kill().await,
            Fault::IsolateLeader => {
                let leader = deployment.leader().await;
                deployment.set_control_isolated(leader, true);
            }
            Fault::IsolateEntry => deployment.set_entry_isolated(0, true),
            Fault::None
            | Fault::DropAnswer
            | Fault::LargeAnswer
            | Fault::SameMoment
            | Fault::OtherBody => {}
        }
    }
}

/// Sends the booking from a second device concurrently with the first, if the
/// fault is `same_moment`.
async fn book_concurrently(deployment: &Deployment, case: &TestCase) -> Option<Response> {
    if !matches!(case.fault.first(), Some(Fault::SameMoment)) {
        return None;
    }
    Caller::new("head-office")
        .book(deployment.entry_address(2), IDEMPOTENCY_KEY, BOOKING_BODY)
        .await
}

/// Returns `lost`, `200`, or the verdict and code of an error response.
fn summarize(response: &Option<Response>) -> String {
    match response {
        None => "lost".to_string(),
        Some(response) if response.status == 200 => "200".to_string(),
        Some(response) => format!("{} {}", response.verdict, response.code()),
    }
}

datatest_stable::harness! {
    { test = booking_keeps_guarantees_under_faults, root = "tests/rows/booking", pattern = r"\.json$" },
}
