//! Tests that the findings on the files in `tests/settings` equal the golden files beside them, and
//! that the example settings have none.

use std::{fs, path::Path};

use caraway_entry::Settings;

datatest_stable::harness! {
    { test = findings, root = "tests/settings", pattern = r"\.json$" },
    { test = example, root = "../../examples", pattern = r"(cooperative|rodopa|entry-\d)\.json$" },
}

fn findings(path: &Path) -> datatest_stable::Result<()> {
    let text = fs::read_to_string(path)?;
    let found = match Settings::parse(&text) {
        Ok(_) => "good\n".to_owned(),
        Err(findings) => format!("{findings}\n"),
    };
    let golden = fs::read_to_string(path.with_extension("txt")).unwrap_or_default();
    if found == golden {
        return Ok(());
    }
    Err(format!("expected:\n{golden}\nfound:\n{found}").into())
}

fn example(path: &Path) -> datatest_stable::Result<()> {
    Settings::parse(&fs::read_to_string(path)?)?;
    Ok(())
}
