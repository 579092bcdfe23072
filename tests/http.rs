//! Requests that are refused, one in each row of `tests/rows/http`: a clear
//! error that names the field, the verdict not-run, and nothing changed.

mod support;

use std::sync::{Arc, Mutex, OnceLock, mpsc};

use serde::Deserialize;
use support::deployment::Tune;
use support::{Caller, Deployment};

/// Text of a row that stands for more bytes than a body may hold.
const OVERSIZED: &str = "OVERSIZED";
const OVERSIZED_BYTES: usize = 70_000;

/// One refused request.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Row {
    method: String,
    path: String,
    #[serde(default)]
    headers: Vec<(String, String)>,
    #[serde(default)]
    body: String,
    #[serde(default = "known_workspace")]
    workspace: String,
    status: u16,
    code: String,
    /// Text that the message must hold.
    mentions: String,
}

fn known_workspace() -> String {
    "head-office".to_string()
}

type Job = (Row, mpsc::Sender<Result<(), String>>);

/// Sends rows to a deployment that all of them share.
fn deployment() -> &'static Arc<Mutex<mpsc::Sender<Job>>> {
    static JOBS: OnceLock<Arc<Mutex<mpsc::Sender<Job>>>> = OnceLock::new();
    JOBS.get_or_init(|| {
        let (jobs, queue) = mpsc::channel::<Job>();
        let queue = Arc::new(Mutex::new(queue));
        std::thread::spawn(move || support::run(serve(queue)));
        Arc::new(Mutex::new(jobs))
    })
}

async fn serve(queue: Arc<Mutex<mpsc::Receiver<Job>>>) {
    let mut deployment = Deployment::start(1, 1, Tune::default()).await;
    deployment.start_engine(0).await;
    deployment.start_service(0).await;
    loop {
        let queue = queue.clone();
        let next = actix_web::web::block(move || queue.lock().expect("one reader").recv().ok());
        let Ok(Some((row, result))) = next.await else { return };
        let _ = result.send(check(&deployment, row).await);
    }
}

async fn check(deployment: &Deployment, row: Row) -> Result<(), String> {
    let body = match row.body.as_str() {
        OVERSIZED => "x".repeat(OVERSIZED_BYTES),
        body => body.to_string(),
    };
    let headers: Vec<(&str, &str)> =
        row.headers.iter().map(|(name, value)| (name.as_str(), value.as_str())).collect();
    let caller = Caller::new(&row.workspace);
    let entry = deployment.entry_address(0);

    let reply = caller.send(&row.method, entry, &row.path, &headers, body).await;

    let reply = reply.ok_or("no answer")?;
    let message = reply.json()["error"]["message"].as_str().unwrap_or_default().to_string();
    let told = (reply.status, reply.verdict.as_str(), reply.code());
    if told != (row.status, "not-run", row.code.clone()) || !message.contains(&row.mentions) {
        return Err(format!("told {told:?}: {message}"));
    }
    let ran = deployment.services[0].runs.total();
    let started = deployment.engines[0].batch.counters().started;
    if ran + started > 0 {
        return Err(format!("{ran} calls and {started} generations ran"));
    }
    let alive = caller.send("GET", entry, "/healthz", &[], "").await;
    alive.filter(|reply| reply.status == 200).map(|_| ()).ok_or("the entry is down".to_string())
}

fn refused(path: &std::path::Path) -> datatest_stable::Result<()> {
    let row: Row = serde_json::from_str(&std::fs::read_to_string(path)?)?;
    let (result, outcome) = mpsc::channel();
    deployment().lock().expect("no panic holds the lock").send((row, result))?;
    outcome.recv()?.map_err(Into::into)
}

datatest_stable::harness! {
    { test = refused, root = "tests/rows/http", pattern = r"\.json$" },
}
