//! Malformed sets and settings: each is refused with its place and reason.

use std::path::Path;

/// A file starts with a comment for each line that its error must hold.
const EXPECT: &str = "// expect: ";

fn expected(text: &str) -> Vec<&str> {
    text.lines().filter_map(|line| line.strip_prefix(EXPECT)).collect()
}

fn check(path: &Path, error: &str) -> datatest_stable::Result<()> {
    let text = std::fs::read_to_string(path)?;
    let expected = expected(&text);
    if expected.is_empty() {
        return Err("the file names no expected error".into());
    }
    for part in expected {
        if !error.contains(part) {
            return Err(format!("`{part}` is not in: {error}").into());
        }
    }
    Ok(())
}

fn set(path: &Path) -> datatest_stable::Result<()> {
    match objects::read_folder(path) {
        Ok(_) => Err("the set was accepted".into()),
        Err(error) => check(path, &error.to_string()),
    }
}

fn entry_settings(path: &Path) -> datatest_stable::Result<()> {
    match settings::load_entry(path) {
        Ok(_) => Err("the settings were accepted".into()),
        Err(error) => check(path, &error.to_string()),
    }
}

fn control_settings(path: &Path) -> datatest_stable::Result<()> {
    match settings::load_control(path) {
        Ok(_) => Err("the settings were accepted".into()),
        Err(error) => check(path, &error.to_string()),
    }
}

datatest_stable::harness! {
    { test = set, root = "tests/rows/sets", pattern = r"\.json$" },
    { test = entry_settings, root = "tests/rows/entry_settings", pattern = r"\.json$" },
    { test = control_settings, root = "tests/rows/control_settings", pattern = r"\.json$" },
}
