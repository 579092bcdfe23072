//! Test programs of the review: each case starts the project's own programs as
//! processes on loopback addresses, between stand-in engines and clients.
//!
//! usage: review CASE RECORD-FILE, from the repository's root, after the build of
//! the deploy file. Exit code 1: the rule was broken; 0: it held; 2: the case could
//! not run. With TROUBLE=0 in the environment the disruption is left out.

mod announcer;
mod attempts;
mod bodies;
mod client;
mod draining;
mod http;
mod moves;
mod record;
mod world;

use std::process::exit;
use std::time::Duration;

/// The run is ended after this time, whatever it does.
const LIMIT: Duration = Duration::from_secs(115);

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, file] = arguments.as_slice() else {
        eprintln!("usage: review CASE RECORD-FILE");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = record::Record::create(file, trouble);
    std::thread::spawn(|| {
        std::thread::sleep(LIMIT);
        eprintln!("the case took too long");
        world::end_all();
        exit(2);
    });
    let result = std::panic::catch_unwind(|| match case.as_str() {
        "bodies" => bodies::run(&record, trouble),
        "draining" => draining::run(&record, trouble),
        "moves-twice" => moves::run_twice(&record, trouble),
        "moves-mixed" => moves::run_mixed(&record, trouble),
        "attempts" => attempts::run(&record, trouble),
        _ => Err(format!("unknown case {case}")),
    });
    world::end_all();
    let code = match result {
        Ok(Ok(breaks)) => {
            record.line(&format!("result: {} breaks of the rule", breaks));
            i32::from(breaks > 0)
        }
        Ok(Err(error)) => {
            record.line(&format!("result: the case could not run: {error}"));
            2
        }
        Err(_) => {
            record.line("result: the case could not run: panic");
            2
        }
    };
    record.close();
    exit(code);
}
