//! Bookings under faults: each row of `tests/rows/booking` names a fault and
//! the moment at which it strikes, and what callers may be told.

mod support;

use std::path::Path;
use std::time::Duration;

use futures::future::join;
use serde::Deserialize;
use standin::service::Faults;
use support::caller::Reply;
use support::deployment::Tune;
use support::{Caller, Deployment, eventually};
use tokio::time::sleep;

const BODY: &str = r#"{"member": "m-1", "trainer": "t-1", "slot": "s-1"}"#;
const KEY: &str = "key-1";
/// Size that the stand-in pads an answer to when a row asks for a large one.
const LARGE_ANSWER_BYTES: usize = 100_000;

/// One row of the fault table.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Row {
    /// Line of "what must always hold" that the row proves.
    holds: String,
    fault: Vec<Fault>,
    strikes: Moment,
    /// Runs that the stand-in may count for the key in the end.
    runs: Vec<u64>,
    /// What the first device may be told; `lost` stands for no answer.
    first: Vec<String>,
    /// What a second device may be told that asks at another entry afterwards.
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
    DropAnswer,
    LargeAnswer,
    SameMoment,
    OtherBody,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Moment {
    BeforeIntent,
    WhileSending,
    BeforeAnswer,
    AfterAnswer,
}

fn run_row(path: &Path) -> datatest_stable::Result<()> {
    let text = std::fs::read_to_string(path)?;
    let row: Row = serde_json::from_str(&text)?;
    support::run(check(row));
    Ok(())
}

async fn check(row: Row) {
    let tune = Tune { max_answer_bytes: 10_000, ..Tune::default() };
    let mut deployment = Deployment::start(3, 3, tune).await;
    deployment.start_service(0).await;
    let service = deployment.services[0].runs.clone();
    service.set_faults(service_faults(&row));
    let caller = Caller::new("head-office");
    let entry = deployment.entry_address(0);
    if matches!(row.strikes, Moment::BeforeIntent) {
        strike(&mut deployment, &row).await;
    }

    let first = caller.book(entry, KEY, BODY);
    let during = async {
        match row.strikes {
            Moment::BeforeIntent | Moment::AfterAnswer => {}
            Moment::WhileSending => sleep(Duration::from_millis(300)).await,
            Moment::BeforeAnswer => {
                let ran = || async { service.total() > 0 };
                eventually("the call runs", ran).await;
            }
        }
        if matches!(row.strikes, Moment::WhileSending | Moment::BeforeAnswer) {
            strike(&mut deployment, &row).await;
        }
        simultaneous(&deployment, &row).await
    };
    let (first, same_moment) = join(first, during).await;
    if matches!(row.strikes, Moment::AfterAnswer) {
        strike(&mut deployment, &row).await;
    }
    service.set_faults(Faults::default());
    let body = match row.fault.first() {
        Some(Fault::OtherBody) => r#"{"member": "m-2", "trainer": "t-1", "slot": "s-1"}"#,
        _ => BODY,
    };
    let second = caller.book(deployment.entry_address(1), KEY, body).await;

    let runs = service.by_key().get(KEY).copied().unwrap_or_default();
    let told = (tell(&first), tell(&second));
    assert!(row.runs.contains(&runs), "{runs} runs; told {told:?}; {row:?}");
    assert!(row.first.contains(&told.0), "first was told {told:?}, {first:?}; {row:?}");
    assert!(row.second.contains(&told.1), "second was told {told:?}, {second:?}; {row:?}");
    if let Some(same_moment) = same_moment {
        assert_eq!(same_moment.body, first.clone().expect("an answer").body);
    }
    for reply in [&first, &second].into_iter().flatten() {
        assert!(
            reply.verdict != "not-run"
                || runs == 0
                || told.0 == "200"
                || told.1 == "200"
                || reply.code() == "key_conflict",
            "told not-run, but it ran: {reply:?}; {row:?}"
        );
    }
    assert!(!row.holds.is_empty());
}

fn service_faults(row: &Row) -> Faults {
    let mut faults = match row.strikes {
        Moment::WhileSending => Faults { delay_ms: 1_000, ..Faults::default() },
        Moment::BeforeAnswer => Faults { answer_delay_ms: 1_000, ..Faults::default() },
        Moment::BeforeIntent | Moment::AfterAnswer => Faults::default(),
    };
    for fault in &row.fault {
        match fault {
            Fault::DropAnswer => faults.drop_answers = true,
            Fault::LargeAnswer => faults.answer_bytes = LARGE_ANSWER_BYTES,
            Fault::SameMoment => faults.answer_delay_ms = 300,
            _ => {}
        }
    }
    faults
}

async fn strike(deployment: &mut Deployment, row: &Row) {
    for fault in &row.fault {
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
                deployment.isolate_control(leader, true);
            }
            Fault::IsolateEntry => deployment.isolate_entry(0, true),
            Fault::None
            | Fault::DropAnswer
            | Fault::LargeAnswer
            | Fault::SameMoment
            | Fault::OtherBody => {}
        }
    }
}

/// Books from a second device at the same moment, if the row asks for it.
async fn simultaneous(deployment: &Deployment, row: &Row) -> Option<Reply> {
    if !matches!(row.fault.first(), Some(Fault::SameMoment)) {
        return None;
    }
    Caller::new("head-office").book(deployment.entry_address(2), KEY, BODY).await
}

/// Returns what a device was told: a status, or a verdict with its code.
fn tell(reply: &Option<Reply>) -> String {
    match reply {
        None => "lost".to_string(),
        Some(reply) if reply.status == 200 => "200".to_string(),
        Some(reply) => format!("{} {}", reply.verdict, reply.code()),
    }
}

datatest_stable::harness! {
    { test = run_row, root = "tests/rows/booking", pattern = r"\.json$" },
}
