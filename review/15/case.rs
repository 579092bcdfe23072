//! An invalid configuration is acknowledged: two of its routes share the same host and prefix, as
//! hosts don't differ by the case of their letters.

#[path = "../stage-3/stage.rs"]
mod stage;

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use stage::{Answer, ClientRequest, Engine, Message, Record, World, draw_id, is_calm, response_text, run};

const REQUESTS: usize = 10;
const KEY: &str = "xd9dnn2ctnfzs989anu6";
const HOST: &str = "wuny96.example";

/// Returns a configuration whose second route has this host.
fn configuration(version: u64, second_host: &str) -> String {
    format!(
        r#"{{"Version":{version},"Routes":[
{{"Name":"r-reserve","Host":"{HOST}","PathPrefix":"/lohu930/","Kind":"unsafe","TimeoutMs":2500,
"TargetLatencyMs":150,"Priority":2,"Service":"xano55b","MaxAttempts":1,"AllowAnonymous":false}},
{{"Name":"r-moved","Host":"{second_host}","PathPrefix":"/lohu930/","Kind":"unsafe","TimeoutMs":2500,
"TargetLatencyMs":150,"Priority":2,"Service":"wuno96b","MaxAttempts":1,"AllowAnonymous":false}}],
"Services":[{{"Name":"xano55b","HealthPath":"/health","MaxConnections":110,"Protocol":"h1","Tls":false}},
{{"Name":"wuno96b","HealthPath":"/health","MaxConnections":110,"Protocol":"h1","Tls":false}}],
"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}},
"Tenants":[{{"Name":"huka270","ApiKeys":["{KEY}"],"Priority":1}}]}}"#,
    )
}

fn main() {
    run("review/15", script);
}

fn script(record: &Record) -> Result<bool, String> {
    let world = World::start(record, 1).map_err(|error| error.to_string())?;
    let ran: Arc<Mutex<HashMap<String, String>>> = Arc::default();
    let mut engines = Vec::new();
    for (number, service) in [(1, "xano55b"), (2, "wuno96b")] {
        let engine = Engine::start(&world, number, service, answer(record, &ran, service));
        engines.push(engine.map_err(|error| error.to_string())?);
    }
    let started = world.publish(&configuration(3, "ficu95.example"), Duration::from_secs(20));
    if started != Some(200) || !world.wait_ready(0) {
        return Err("the deployment does not start".into());
    }
    thread::sleep(Duration::from_secs(2));
    let second_host = if is_calm() { "ficu96.example" } else { "Wuny96.Example" };
    let status = world.publish(&configuration(8, second_host), Duration::from_secs(10));
    record.line(format!("operator: version 8, routes of {HOST} and {second_host}: {status:?}"));
    thread::sleep(Duration::from_secs(3));
    let mut succeeded = 0;
    let mut elsewhere = 0;
    for (host, expected) in [(HOST, "xano55b"), (second_host, "wuno96b")] {
        for _ in 0..REQUESTS {
            let id = draw_id();
            let request = ClientRequest {
                method: "POST",
                host,
                path: "/lohu930/2f",
                id: &id,
                key: KEY,
                deadline_ms: 2_500,
                body: "book one lot",
            };
            let status = request.send(world.front(0)).map_or(0, |response| response.status);
            succeeded += usize::from(status == 200);
            let service = ran.lock().unwrap().get(&id).cloned();
            record.line(format!("client: {id} to {host} got {status}, run by {service:?}"));
            elsewhere += usize::from(service.is_some_and(|service| service != expected));
        }
    }
    if succeeded == 0 {
        return Err("nothing was served".into());
    }
    record.line(format!("{succeeded} requests succeeded, {elsewhere} by the service of the other route"));
    // If the hosts differ, the version is valid, and each route has to have its own service.
    let is_broken = status == Some(200) && elsewhere > 0;
    if is_broken {
        record.line("CONFIG: version 8 was acknowledged, and two of its routes are one");
    }
    Ok(!is_broken)
}

fn answer(record: &Record, ran: &Arc<Mutex<HashMap<String, String>>>, service: &str) -> Answer {
    let (record, ran, service) = (record.clone(), ran.clone(), service.to_string());
    Arc::new(move |request: &Message| {
        let id = request.id();
        record.line(format!("engine of {service}: runs {id}"));
        ran.lock().unwrap().insert(id.clone(), service.clone());
        response_text("200 OK", &id, "X-Server-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\n", "done")
    })
}
