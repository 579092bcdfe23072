//! A stream without a length moves from an engine that leaves, and the engine's answer to the
//! command to stop it is lost. Does the client get a part of the stream as if it were complete?

#[path = "../stage/engine.rs"]
mod engine;
#[path = "../stage/stage.rs"]
mod stage;

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

use engine::*;
use stage::*;

/// Events of a whole stream.
const EVENTS: u64 = 100;

fn main() {
    run(case)
}

fn case(record: &Record, trouble: bool) -> Result<Verdict, Error> {
    let mut stage = Deployment::new(1)?;
    stage.start()?;
    let net = stage.net.clone();
    let engines = Engines::default();
    let daemons: Vec<_> = (0..3).map(|index| stage.control_address(index)).collect();
    stage.publish(0, &configuration(false), record)?;
    stage.wait_ready()?;
    let port = net.ports.server;
    let sound = Habits { events: EVENTS, is_unframed: true, ..Habits::default() };
    let leaving = Habits {
        loses_first_stop: trouble,
        last_copy: ms(1_500),
        closes_after: ms(300),
        ..sound.clone()
    };
    let leaving = engines.start(
        "i-leaving",
        net.at(101, port),
        ZONES[0],
        daemons.clone(),
        leaving,
        record,
    )?;
    thread::sleep(ms(1_500));
    let id = random_id();
    let (address, log, request) = (stage.front_address(0), record.clone(), stream_request(&id));
    let result: Arc<Mutex<Option<(u16, u64, bool)>>> = Arc::default();
    let got = result.clone();
    let client = thread::spawn(move || {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(ms(10_000))).unwrap();
        let mut reader = BufReader::new(stream);
        reader.get_mut().write_all(&request.encode()).unwrap();
        let response = read_response(&mut reader, |_| {});
        let seen = response.map_or((0, 0, false), |r| {
            (r.status, r.text().matches("data: ").count() as u64, r.whole)
        });
        log.line(&format!(
            "client gets {}, {} pieces of {EVENTS}, whole: {}",
            seen.0, seen.1, seen.2
        ));
        *got.lock().unwrap() = Some(seen);
    });
    thread::sleep(ms(600));
    let _near = engines.start(
        "i-near",
        net.at(102, port),
        ZONES[0],
        daemons.clone(),
        sound.clone(),
        record,
    )?;
    let _far =
        engines.start("i-far", net.at(103, port), ZONES[1], daemons.clone(), sound, record)?;
    thread::sleep(ms(700));
    record.line("i-leaving says that it drains");
    leaving.heart.drain();
    let until = Instant::now() + ms(12_000);
    while !client.is_finished() && Instant::now() < until {
        thread::sleep(ms(50));
    }
    for span in &engines.spans() {
        record.line(&format!("{span:?}"));
    }
    let result = *result.lock().unwrap();
    match result {
        Some((200, pieces, true)) if pieces < EVENTS => Ok(Verdict::Broken(format!(
            "the client got {pieces} of {EVENTS} pieces, and the response looks complete"
        ))),
        Some((200, EVENTS, true)) => Ok(Verdict::Held),
        // A stream that is cut, and looks so, breaks no rule here.
        _ if trouble => Ok(Verdict::Held),
        other => Err(format!("the stream is not whole: {other:?}").into()),
    }
}
