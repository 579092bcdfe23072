//! Process signals and changes to the settings file.

use std::path::PathBuf;
use std::time::{Duration, SystemTime};

use actix_rt::signal::unix::{Signal, SignalKind, signal};
use tokio::fs;
use tokio::time::sleep;

/// Interval at which the settings file is polled for changes. It may be long, as a
/// change without SIGHUP need not be applied at once, and each poll wakes the
/// process.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Action requested of a daemon.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// Shut down gracefully.
    Stop,
    /// Reload the settings.
    Reload,
}

/// Handlers of the signals that stop a daemon or reload its settings.
#[derive(Debug)]
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
    watched: Option<WatchedFile>,
}

impl Signals {
    /// Installs the signal handlers; must be called within a Tokio runtime.
    pub fn listen() -> std::io::Result<Self> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
            watched: None,
        })
    }

    /// Also polls the settings file at `path` for changes made without a signal.
    pub async fn watch_settings_file(mut self, path: PathBuf) -> Self {
        let last_version = FileVersion::read(&path).await;
        self.watched = Some(WatchedFile { path, last_version });
        self
    }

    /// Waits for the next SIGTERM, SIGINT or SIGHUP, or for a change to the
    /// watched settings file.
    pub async fn next(&mut self) -> Event {
        tokio::select! {
            _ = self.terminate.recv() => Event::Stop,
            _ = self.interrupt.recv() => Event::Stop,
            _ = self.hangup.recv() => Event::Reload,
            () = wait_for_change(&mut self.watched) => Event::Reload,
        }
    }

    /// Waits for SIGTERM or SIGINT, in daemons that read their settings only at
    /// startup.
    pub async fn stop_requested(&mut self) {
        while self.next().await == Event::Reload {
            log::warn!("settings are read only at startup; restart to apply them");
        }
    }

    /// Waits for `future`, such as a start that depends on something else; `None` if
    /// SIGTERM or SIGINT comes first.
    pub async fn unless_stopped<T>(&mut self, future: impl Future<Output = T>) -> Option<T> {
        tokio::select! {
            result = future => Some(result),
            () = self.stop_requested() => None,
        }
    }
}

/// Polled file and its version at the start or the last change.
#[derive(Debug)]
struct WatchedFile {
    path: PathBuf,
    last_version: Option<FileVersion>,
}

/// Metadata by which a change of a file is detected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct FileVersion {
    modified: SystemTime,
    bytes: u64,
}

impl FileVersion {
    /// Returns `None` while the file cannot be read, as while it is being
    /// replaced.
    async fn read(path: &PathBuf) -> Option<Self> {
        let metadata = fs::metadata(path).await.ok()?;
        Some(FileVersion { modified: metadata.modified().ok()?, bytes: metadata.len() })
    }
}

/// Waits for a change to the watched file; never returns if no file is watched.
async fn wait_for_change(watched: &mut Option<WatchedFile>) {
    let Some(watched) = watched else { return std::future::pending().await };
    loop {
        sleep(POLL_INTERVAL).await;
        let version = FileVersion::read(&watched.path).await;
        if version.is_some() && version != watched.last_version {
            watched.last_version = version;
            return;
        }
    }
}
