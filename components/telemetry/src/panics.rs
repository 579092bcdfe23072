//! Panics: one log line and one count for each.

use std::any::Any;
use std::panic::{set_hook, take_hook};
use std::sync::Once;
use std::sync::atomic::{AtomicU64, Ordering};

static PANICS: AtomicU64 = AtomicU64::new(0);

/// Logs and counts each panic from now on, before it is reported on standard error.
pub fn install_panic_hook() {
    static INSTALL: Once = Once::new();
    INSTALL.call_once(|| {
        let report = take_hook();
        set_hook(Box::new(move |info| {
            PANICS.fetch_add(1, Ordering::Relaxed);
            let location = info.location().map(ToString::to_string).unwrap_or_default();
            let thread = std::thread::current();
            log::error!(location = location.as_str(), thread = thread.name().unwrap_or_default(), message = message(info.payload()); "panic");
            report(info);
        }));
    });
}

/// Returns the number of panics since the hook was installed.
pub fn panics() -> u64 {
    PANICS.load(Ordering::Relaxed)
}

/// Returns the text of a panic; empty if its payload is none.
fn message(payload: &(dyn Any + Send)) -> &str {
    let text = payload.downcast_ref::<&str>().copied();
    text.or_else(|| payload.downcast_ref::<String>().map(String::as_str)).unwrap_or_default()
}
