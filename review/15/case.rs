//! A server withdraws, which is acknowledged; right after that all processes of the system are
//! killed, and a heartbeat from before arrives seconds late. Does the server get requests again?

#[path = "../stage-3/stage.rs"]
mod stage;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use stage::{
    Answer, ClientRequest, Engine, Message, Record, World, delete, draw_id, is_calm, put,
    response_text, run, wait_for,
};

const KEY: &str = "xd9dnn2ctnfzs989anu6";
const DRAIN: Duration = Duration::from_millis(2_000);
/// Twice `ConnectivityWindowMs`, as a final fault took most of the core.
const OUT_OF_TOUCH: Duration = Duration::from_millis(6_000);
const DOWN: Duration = Duration::from_millis(1_000);
/// How late the heartbeat arrives, and how long the server serves on, after the acknowledgement.
const LATE: Duration = Duration::from_millis(4_500);
const SERVES_ON: Duration = Duration::from_millis(9_800);

const CONFIGURATION: &str = r#"{"Version":3,"Routes":[
{"Name":"r-reserve","Host":"wuny96.example","PathPrefix":"/lohu930/","Kind":"unsafe","TimeoutMs":2500,
"TargetLatencyMs":150,"Priority":2,"Service":"xano55b","MaxAttempts":1,"AllowAnonymous":false}],
"Services":[{"Name":"xano55b","HealthPath":"/health","MaxConnections":110,"Protocol":"h1","Tls":false}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
"Tenants":[{"Name":"huka270","ApiKeys":["xd9dnn2ctnfzs989anu6"],"Priority":1}]}"#;

fn main() {
    run("review/15", script);
}

/// Requests that one server ran: id and time.
type Runs = Arc<Mutex<Vec<(String, Instant)>>>;

fn script(record: &Record) -> Result<bool, String> {
    let text = |error: std::io::Error| error.to_string();
    let mut world = World::start(record, 3).map_err(text)?;
    let runs: Runs = Arc::default();
    let mut engines = Vec::new();
    for number in 1..=3 {
        let answer = answer(record, (number == 1).then(|| runs.clone()));
        engines.push(Engine::start(&world, number, "xano55b", answer).map_err(text)?);
    }
    let started = world.publish(CONFIGURATION, Duration::from_secs(20));
    if started != Some(200) || !(0..3).all(|index| world.wait_ready(index)) {
        return Err("the deployment does not start".into());
    }
    world.write_settings(false).map_err(text)?;
    let sends = Arc::new(AtomicBool::new(true));
    let clients: Vec<_> = (0..3).map(|index| spawn_client(&world, index, &sends)).collect();
    thread::sleep(Duration::from_secs(6));
    // The server's last heartbeat is on its way while it withdraws.
    let leaving = engines.remove(0);
    let (path, late_beat) = (format!("/v1/instances/{}", leaving.id), leaving.next_beat());
    leaving.stop_beats();
    thread::sleep(Duration::from_millis(300));
    let controls = world.control_addresses();
    let acknowledged = wait_for(Duration::from_secs(5), || {
        delete(controls[0], &path).is_ok_and(|response| response.status == 200)
    });
    if !acknowledged {
        return Err("the withdrawal is not acknowledged".into());
    }
    let at = Instant::now();
    record.line(format!("{} has withdrawn, and serves on", leaving.id));
    let mut in_touch = at;
    if !is_calm() {
        for process in world.controls.iter_mut().chain(&mut world.gateways) {
            process.kill();
        }
        record.line("all processes are killed");
        thread::sleep(DOWN);
        for process in world.controls.iter_mut().chain(&mut world.gateways) {
            process.start().map_err(text)?;
        }
        record.line("all processes are started");
        in_touch = Instant::now() + OUT_OF_TOUCH;
    }
    thread::sleep(LATE.saturating_sub(at.elapsed()));
    let status = controls.iter().find_map(|control| put(*control, &path, &late_beat).ok());
    record.line(format!(
        "its late heartbeat is answered {:?}",
        status.map(|response| response.status)
    ));
    thread::sleep(SERVES_ON.saturating_sub(at.elapsed()));
    sends.store(false, Ordering::Relaxed);
    drop(leaving);
    let sent: Vec<_> =
        clients.into_iter().flat_map(|client| client.join().unwrap_or_default()).collect();
    let sent_at = |id: &str| sent.iter().find(|(sent, ..)| sent == id).map(|(_, at, _)| *at);
    let runs = runs.lock().unwrap();
    let late = runs.iter().filter(|(_, ran)| *ran > at + DRAIN);
    let late: Vec<_> =
        late.filter(|(id, _)| sent_at(id).is_some_and(|sent| sent > in_touch)).collect();
    for (id, ran) in late.iter().take(5) {
        record.line(format!(
            "DRAIN: {id} reached it {} ms after the acknowledgement",
            (*ran - at).as_millis()
        ));
    }
    let succeeded = sent.iter().filter(|(.., status)| *status == 200).count();
    record.line(format!(
        "{succeeded} of {} requests succeeded; {} reached the server too late",
        sent.len(),
        late.len()
    ));
    if succeeded == 0 {
        return Err("nothing was served".into());
    }
    Ok(late.is_empty())
}

type Sent = Vec<(String, Instant, u16)>;

/// Sends requests to one gateway, one after another.
fn spawn_client(world: &World, index: usize, sends: &Arc<AtomicBool>) -> thread::JoinHandle<Sent> {
    let (front, sends, record) = (world.front(index), sends.clone(), world.record.clone());
    thread::spawn(move || {
        let mut sent = Vec::new();
        while sends.load(Ordering::Relaxed) {
            let (id, at) = (draw_id(), Instant::now());
            let request = ClientRequest {
                method: "POST",
                host: "wuny96.example",
                path: "/lohu930/2f",
                id: &id,
                key: KEY,
                deadline_ms: 2_500,
                body: "book one lot",
            };
            let status = request.send(front).map_or(0, |response| response.status);
            record.line(format!("client: {id} got {status}"));
            sent.push((id, at, status));
            thread::sleep(Duration::from_millis(30));
        }
        sent
    })
}

fn answer(record: &Record, runs: Option<Runs>) -> Answer {
    let record = record.clone();
    Arc::new(move |request: &Message| {
        let id = request.id();
        if let Some(runs) = &runs {
            runs.lock().unwrap().push((id.clone(), Instant::now()));
            record.line(format!("the server that leaves runs {id}"));
        }
        response_text("200 OK", &id, "X-Server-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\n", "done")
    })
}
