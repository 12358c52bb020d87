//! Whole sessions of a few nodes, compared with their golden files.
//!
//! A golden file starts with a line of nodes and a line of engines; each further line is a command
//! or, indented, what it brought about. `GOLDEN=write` writes the files anew.

mod session;

use std::path::Path;

use session::Session;

fn replay(path: &Path) -> datatest_stable::Result<()> {
    let text = std::fs::read_to_string(path)?;
    let told: Vec<&str> = text.lines().filter(|l| !l.starts_with("  ")).collect();
    let mut session: Option<Session> = None;
    let mut nodes = "";
    let mut written = String::new();
    for line in told {
        written += line;
        written += "\n";
        if let Some(list) = line.strip_prefix("nodes ") {
            nodes = list;
        } else if let Some(list) = line.strip_prefix("engines ") {
            session = Some(Session::new(nodes, list));
        } else if !line.starts_with('#') && !line.is_empty() {
            let session = session.as_mut().ok_or("commands before engines")?;
            written += &session.command(line);
        }
    }
    if std::env::var("GOLDEN").is_ok_and(|v| v == "write") {
        std::fs::write(path, &written)?;
    } else if written != text {
        return Err(format!("the session differs; it is now:\n{written}").into());
    }
    Ok(())
}

datatest_stable::harness! {
    { test = replay, root = "tests/golden", pattern = r"\.txt$" },
}
