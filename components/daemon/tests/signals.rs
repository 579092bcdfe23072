//! Changes to the settings file without a signal.

use daemon::{Event, Signals};
use tempfile::TempDir;

fn settings_file() -> (TempDir, std::path::PathBuf) {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let path = folder.path().join("settings.jsonc");
    std::fs::write(&path, "{}").expect("writable");
    (folder, path)
}

#[test]
fn changed_or_replaced_settings_file_triggers_reload() {
    actix_rt::System::new().block_on(async {
        let (folder, path) = settings_file();
        let mut signals =
            Signals::listen().expect("signals").watch_settings_file(path.clone()).await;

        std::fs::write(&path, "{ }").expect("writable");
        let changed = signals.next().await;
        std::fs::remove_file(&path).expect("removable");
        let replacement = folder.path().join("other");
        std::fs::write(&replacement, "{  }").expect("writable");
        std::fs::rename(&replacement, &path).expect("renamable");
        let replaced = signals.next().await;

        assert_eq!((changed, replaced), (Event::Reload, Event::Reload));
    });
}

#[test]
fn unchanged_settings_file_triggers_no_reload() {
    actix_rt::System::new().block_on(async {
        let (_folder, path) = settings_file();
        let mut signals = Signals::listen().expect("signals").watch_settings_file(path).await;
        tokio::time::pause();

        let no_event = tokio::time::timeout(std::time::Duration::from_secs(60), signals.next());

        assert!(no_event.await.is_err());
    });
}
