//! Malformed object sets and settings files: each must be rejected with an error
//! that contains the texts that the file lists, such as position and reason.

use std::path::Path;

/// Prefix of the comments at the start of each file, one for each text that the
/// error message must contain.
const EXPECT_PREFIX: &str = "// expect: ";

fn expected_texts(text: &str) -> Vec<&str> {
    text.lines().filter_map(|line| line.strip_prefix(EXPECT_PREFIX)).collect()
}

fn check_error(path: &Path, error: &str) -> datatest_stable::Result<()> {
    let text = std::fs::read_to_string(path)?;
    let expected = expected_texts(&text);
    if expected.is_empty() {
        return Err("the file has no `// expect: ` comment".into());
    }
    for text in expected {
        if !error.contains(text) {
            return Err(format!("`{text}` is missing in the error: {error}").into());
        }
    }
    Ok(())
}

fn malformed_set_is_rejected(path: &Path) -> datatest_stable::Result<()> {
    match objects::read_folder(path) {
        Ok(_) => Err("the set was accepted".into()),
        Err(error) => check_error(path, &error.to_string()),
    }
}

fn malformed_entry_settings_are_rejected(path: &Path) -> datatest_stable::Result<()> {
    match settings::load_entry(path) {
        Ok(_) => Err("the settings were accepted".into()),
        Err(error) => check_error(path, &error.to_string()),
    }
}

fn malformed_control_settings_are_rejected(path: &Path) -> datatest_stable::Result<()> {
    match settings::load_control(path) {
        Ok(_) => Err("the settings were accepted".into()),
        Err(error) => check_error(path, &error.to_string()),
    }
}

datatest_stable::harness! {
    { test = malformed_set_is_rejected, root = "tests/rows/sets", pattern = r"\.json$" },
    { test = malformed_entry_settings_are_rejected, root = "tests/rows/entry_settings", pattern = r"\.json$" },
    { test = malformed_control_settings_are_rejected, root = "tests/rows/control_settings", pattern = r"\.json$" },
}
