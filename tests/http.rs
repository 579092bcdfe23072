//! Rejected requests, one per file in `tests/rows/http`: each must be answered with
//! an error that names the cause and the verdict not-run, and must not reach an
//! upstream.

mod support;

use std::sync::{Arc, Mutex, OnceLock, mpsc};

use serde::Deserialize;
use support::deployment::DeploymentOptions;
use support::{Caller, Deployment};

/// Placeholder in a file for a body above `limits.max_body_bytes`.
const OVERSIZED_PLACEHOLDER: &str = "OVERSIZED";
const OVERSIZED_BODY_BYTES: usize = 70_000;

/// One rejected request and the expected response.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct TestCase {
    method: String,
    path: String,
    #[serde(default)]
    headers: Vec<(String, String)>,
    #[serde(default)]
    body: String,
    #[serde(default = "default_workspace")]
    workspace: String,
    status: u16,
    code: String,
    /// Text that the error message must contain.
    mentions: String,
}

fn default_workspace() -> String {
    "head-office".to_string()
}

type Job = (TestCase, mpsc::Sender<Result<(), String>>);

/// Returns the queue of cases for the one deployment that all of them share. It
/// starts on first use, in its own thread and actix system.
fn job_queue() -> &'static Arc<Mutex<mpsc::Sender<Job>>> {
    static JOBS: OnceLock<Arc<Mutex<mpsc::Sender<Job>>>> = OnceLock::new();
    JOBS.get_or_init(|| {
        let (jobs, queue) = mpsc::channel::<Job>();
        let queue = Arc::new(Mutex::new(queue));
        std::thread::spawn(move || support::run_async(run_jobs(queue)));
        Arc::new(Mutex::new(jobs))
    })
}

async fn run_jobs(queue: Arc<Mutex<mpsc::Receiver<Job>>>) {
    let mut deployment = Deployment::start(1, 1, DeploymentOptions::default()).await;
    deployment.start_engine(0).await;
    deployment.start_service(0).await;
    loop {
        let queue = queue.clone();
        let next = actix_web::web::block(move || queue.lock().expect("not poisoned").recv().ok());
        let Ok(Some((case, result))) = next.await else { return };
        let _ = result.send(check_case(&deployment, case).await);
    }
}

async fn check_case(deployment: &Deployment, case: TestCase) -> Result<(), String> {
    let body = match case.body.as_str() {
        OVERSIZED_PLACEHOLDER => "x".repeat(OVERSIZED_BODY_BYTES),
        body => body.to_string(),
    };
    let headers: Vec<(&str, &str)> =
        case.headers.iter().map(|(name, value)| (name.as_str(), value.as_str())).collect();
    let caller = Caller::new(&case.workspace);
    let entry = deployment.entry_address(0);

    let response = caller.send(&case.method, entry, &case.path, &headers, body).await;

    let response = response.ok_or("no response")?;
    let message = response.json()["error"]["message"].as_str().unwrap_or_default().to_string();
    let actual = (response.status, response.verdict.as_str(), response.code());
    if actual != (case.status, "not-run", case.code.clone()) || !message.contains(&case.mentions) {
        return Err(format!("unexpected response {actual:?}: {message}"));
    }
    let ran = deployment.services[0].call_counter.total();
    let started = deployment.engines[0].batch.counters().started;
    if ran + started > 0 {
        return Err(format!(
            "upstreams ran {ran} calls and {started} generations of a rejected request"
        ));
    }
    let health = caller.send("GET", entry, "/healthz", &[], "").await;
    health
        .filter(|response| response.status == 200)
        .map(|_| ())
        .ok_or("the entry does not answer /healthz".to_string())
}

fn request_is_rejected(path: &std::path::Path) -> datatest_stable::Result<()> {
    let case: TestCase = serde_json::from_str(&std::fs::read_to_string(path)?)?;
    let (result, outcome) = mpsc::channel();
    job_queue().lock().expect("not poisoned").send((case, result))?;
    outcome.recv()?.map_err(Into::into)
}

datatest_stable::harness! {
    { test = request_is_rejected, root = "tests/rows/http", pattern = r"\.json$" },
}
