//! Sessions of a few nodes, compared with golden files.
//!
//! A golden file lists the nodes and the engines in its first lines; each further line is a command
//! or, indented, an event that it caused. `GOLDEN=write` regenerates the files.

mod session;

use std::path::Path;

use session::Session;

fn replay(path: &Path) -> datatest_stable::Result<()> {
    let text = std::fs::read_to_string(path)?;
    let script: Vec<&str> = text.lines().filter(|l| !l.starts_with("  ")).collect();
    let mut session: Option<Session> = None;
    let mut nodes = "";
    let mut actual = String::new();
    for line in script {
        actual += line;
        actual += "\n";
        if let Some(list) = line.strip_prefix("nodes ") {
            nodes = list;
        } else if let Some(list) = line.strip_prefix("engines ") {
            session = Some(Session::new(nodes, list));
        } else if !line.starts_with('#') && !line.is_empty() {
            let session = session.as_mut().ok_or("commands before engines")?;
            actual += &session.command(line);
        }
    }
    if std::env::var("GOLDEN").is_ok_and(|v| v == "write") {
        std::fs::write(path, &actual)?;
    } else if actual != text {
        return Err(
            format!("the session differs from the golden file; it is now:\n{actual}").into(),
        );
    }
    Ok(())
}

datatest_stable::harness! {
    { test = replay, root = "tests/golden", pattern = r"\.txt$" },
}
