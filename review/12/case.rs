//! A booking that an engine ran and failed is answered with a status that promises that it has
//! not run.

#[path = "../stage-3/stage.rs"]
mod stage;

use std::collections::HashSet;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use stage::{
    Answer, ClientRequest, Engine, Message, Record, World, draw_id, is_calm, response_text, run,
};

const BOOKINGS: usize = 60;
/// Share of its requests that the grey engine fails: 0.45, as in the site file.
const FAILED_OF_20: u64 = 9;
/// Statuses that promise that the request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

const CONFIGURATION: &str = r#"{"Version":3,"Routes":[
{"Name":"r-reserve","Host":"wuny96.example","PathPrefix":"/lohu930/","Kind":"unsafe","TimeoutMs":2500,
"TargetLatencyMs":150,"Priority":2,"Service":"xano55b","MaxAttempts":1,"AllowAnonymous":false}],
"Services":[{"Name":"xano55b","HealthPath":"/health","MaxConnections":110,"Protocol":"h1","Tls":false}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
"Tenants":[{"Name":"huka270","ApiKeys":["xd9dnn2ctnfzs989anu6"],"Priority":1}]}"#;

fn main() {
    run("review/12", script);
}

fn script(record: &Record) -> Result<bool, String> {
    let world = World::start(record, 1).map_err(|error| error.to_string())?;
    let ran: Arc<Mutex<HashSet<String>>> = Arc::default();
    let mut engines = Vec::new();
    for number in 1..=3 {
        let answer = answer(record, &ran, number == 1 && !is_calm());
        let engine = Engine::start(&world, number, "xano55b", answer);
        engines.push(engine.map_err(|error| error.to_string())?);
    }
    if world.publish(CONFIGURATION, Duration::from_secs(20)) != Some(200) || !world.wait_ready(0) {
        return Err("the deployment does not start".into());
    }
    thread::sleep(Duration::from_secs(2));
    let mut broken = 0;
    let mut succeeded = 0;
    let mut twice = 0;
    // Clients repeat such a request only after a promise, under a new id.
    let mut repeats = false;
    for _ in 0..BOOKINGS {
        let id = draw_id();
        let is_repeat = std::mem::take(&mut repeats);
        let request = ClientRequest {
            method: "POST",
            host: "wuny96.example",
            path: "/lohu930/2f",
            id: &id,
            key: "xd9dnn2ctnfzs989anu6",
            deadline_ms: 2_500,
            body: "book one lot",
        };
        match request.send(world.front(0)) {
            Ok(response) => {
                let has_run = ran.lock().unwrap().contains(&id);
                let stamp = response.header("x-server-stamp").unwrap_or_else(|| "none".into());
                record.line(format!(
                    "client: {id} got {} (stamp {stamp}), has run: {has_run}",
                    response.status
                ));
                succeeded += usize::from(response.status == 200);
                if is_repeat && has_run {
                    record.line("the client's booking has run twice");
                    twice += 1;
                }
                if PROMISES.contains(&response.status) && has_run {
                    record.line(format!(
                        "REFUSED: {id} was answered {} and has run",
                        response.status
                    ));
                    broken += 1;
                    repeats = !is_repeat;
                }
            }
            Err(error) => record.line(format!("client: {id}: {error}")),
        }
        thread::sleep(Duration::from_millis(100));
    }
    record.line(format!("{succeeded} of {BOOKINGS} requests succeeded, {broken} broke the rule"));
    record.line(format!(
        "{twice} bookings ran twice, as their clients repeated them after the promise"
    ));
    if succeeded == 0 {
        return Err("nothing was served".into());
    }
    Ok(broken == 0)
}

/// A grey engine fails a part of its requests after it has run them. Its 503 has no
/// `X-Not-Executed`, and so does not say that the request has not run.
fn answer(record: &Record, ran: &Arc<Mutex<HashSet<String>>>, is_grey: bool) -> Answer {
    let (record, ran, count) = (record.clone(), ran.clone(), AtomicU64::new(0));
    Arc::new(move |request: &Message| {
        let id = request.id();
        ran.lock().unwrap().insert(id.clone());
        thread::sleep(Duration::from_millis(30));
        let fails =
            is_grey && count.fetch_add(1, Ordering::Relaxed) * FAILED_OF_20 % 20 < FAILED_OF_20;
        let status = if fails { "503 Service Unavailable" } else { "200 OK" };
        record.line(format!("engine: ran {id}, answers {status}"));
        response_text(status, &id, "X-Server-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\n", "done")
    })
}
