//! Signals and changes of the settings file.

use std::path::PathBuf;
use std::time::{Duration, SystemTime};

use actix_rt::signal::unix::{Signal, SignalKind, signal};
use tokio::fs;
use tokio::time::sleep;

/// Interval at which the settings file is looked at: a change without a signal
/// may take a moment, and each look wakes the process.
const WATCH_INTERVAL: Duration = Duration::from_secs(2);

/// What a daemon is asked to do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// End without cutting off work.
    Stop,
    /// Read the settings again.
    Reload,
}

/// Signals that a daemon reacts to.
#[derive(Debug)]
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
    watched: Option<Watched>,
}

impl Signals {
    /// Starts to listen; needs a running runtime.
    pub fn listen() -> std::io::Result<Self> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
            watched: None,
        })
    }

    /// Also watches the settings file, which may change without a signal.
    pub async fn watching(mut self, path: PathBuf) -> Self {
        let seen = Stamp::read(&path).await;
        self.watched = Some(Watched { path, seen });
        self
    }

    /// Waits for the next SIGTERM, SIGINT or SIGHUP, or for a change of the
    /// settings file.
    pub async fn next(&mut self) -> Event {
        tokio::select! {
            _ = self.terminate.recv() => Event::Stop,
            _ = self.interrupt.recv() => Event::Stop,
            _ = self.hangup.recv() => Event::Reload,
            () = changed(&mut self.watched) => Event::Reload,
        }
    }

    /// Waits for SIGTERM or SIGINT, in daemons that read their settings at
    /// their start only.
    pub async fn stopped(&mut self) {
        while self.next().await == Event::Reload {
            log::warn!("settings are read at the start only; restart to take them over");
        }
    }
}

/// File and what it looked like when it was last read.
#[derive(Debug)]
struct Watched {
    path: PathBuf,
    seen: Option<Stamp>,
}

/// What tells two contents of a file apart.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Stamp {
    modified: SystemTime,
    bytes: u64,
}

impl Stamp {
    /// Returns `None` while there is no such file: it is being replaced.
    async fn read(path: &PathBuf) -> Option<Self> {
        let metadata = fs::metadata(path).await.ok()?;
        Some(Stamp { modified: metadata.modified().ok()?, bytes: metadata.len() })
    }
}

/// Waits for a change; never returns if nothing is watched.
async fn changed(watched: &mut Option<Watched>) {
    let Some(watched) = watched else { return std::future::pending().await };
    loop {
        sleep(WATCH_INTERVAL).await;
        let stamp = Stamp::read(&watched.path).await;
        if stamp.is_some() && stamp != watched.seen {
            watched.seen = stamp;
            return;
        }
    }
}
