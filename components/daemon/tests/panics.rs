//! What a daemon writes before it ends by a panic.

use std::io::{BufRead as _, BufReader, Read};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::Path;
use std::process::{Command, Stdio};
use std::time::Duration;

/// Set in the process that runs the daemon.
const RUN_DAEMON: &str = "RUN_PANICKING_DAEMON";
const LINES: usize = 150;
/// Makes the lines together longer than what a pipe holds.
const PADDING_BYTES: usize = 1_000;
const READ_INTERVAL: Duration = Duration::from_millis(4);

/// Logs that the task which holds it was dropped, as streams in progress do.
struct LogOnDrop;

impl Drop for LogOnDrop {
    fn drop(&mut self) {
        log::warn!("task dropped");
    }
}

async fn wait_forever(_held: LogOnDrop) {
    std::future::pending().await
}

/// Ends the process as soon as the panic has left the daemon, as the end of `main` does.
fn run_panicking_daemon() -> ! {
    let padding = "x".repeat(PADDING_BYTES);
    let run = || {
        daemon::run(
            Path::new("settings.jsonc"),
            false,
            Ok(()),
            |()| "",
            |()| async {
                actix_rt::spawn(wait_forever(LogOnDrop));
                for _ in 0..LINES {
                    log::warn!(padding = padding.as_str(); "queued line");
                }
                panic!("out of order");
            },
        )
    };
    let panicked = catch_unwind(AssertUnwindSafe(run)).is_err();
    std::process::exit(i32::from(panicked));
}

/// Reads so slowly that a process which does not wait for its reader ends before.
fn read_slowly(mut output: impl Read) -> Vec<u8> {
    let (mut bytes, mut buffer) = (Vec::new(), [0; 16 << 10]);
    loop {
        match output.read(&mut buffer).expect("a readable pipe") {
            0 => return bytes,
            count => bytes.extend_from_slice(&buffer[..count]),
        }
        std::thread::sleep(READ_INTERVAL);
    }
}

/// Guards against lines that are queued when a daemon panics, and are never written.
#[test]
fn queued_lines_and_the_panic_are_written_before_the_process_ends() {
    if std::env::var_os(RUN_DAEMON).is_some() {
        run_panicking_daemon();
    }
    let name = "queued_lines_and_the_panic_are_written_before_the_process_ends";
    let program = std::env::current_exe().expect("the program of the test");
    let child = Command::new(program)
        .args(["--exact", name, "--nocapture"])
        .env(RUN_DAEMON, "1")
        // Writing a backtrace takes longer than writing the lines.
        .env("RUST_BACKTRACE", "0")
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn();
    let mut child = child.expect("the process starts");

    // Until it panics, all but what its pipe holds stays queued.
    let mut errors = BufReader::new(child.stderr.take().expect("a pipe")).lines();
    let reported = errors.any(|line| line.expect("text").contains("panicked at"));
    let output = read_slowly(child.stdout.take().expect("a pipe"));
    child.wait().expect("the process ends");

    assert!(reported);
    let output = String::from_utf8(output).expect("text");
    let queued = output.lines().filter(|line| line.contains("event=\"queued line\"")).count();
    let panics: Vec<&str> = output.lines().filter(|line| line.contains("event=panic ")).collect();
    let dropped = output.lines().filter(|line| line.contains("event=\"task dropped\"")).count();
    assert_eq!((queued, panics.len(), dropped), (LINES, 1, 1));
    assert!(panics[0].contains("message=\"out of order\""), "{}", panics[0]);
    assert!(panics[0].contains("location=components/daemon/tests/panics.rs:"), "{}", panics[0]);
}
