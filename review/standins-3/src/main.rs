//! Stand-ins and scripts of the review's cases: `standins-3 CASE RECORD`.

use std::{
    path::{Path, PathBuf},
    process::exit,
    time::Duration,
};

use record::Record;

mod engine;
mod gateway;
mod http;
mod inplace;
mod late;
mod record;
mod rollback;
mod store;

/// How a case ended; the exit status of its script.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Held = 0,
    Broken = 1,
    CouldNotRun = 2,
}

/// A temporary folder that is removed at the end.
struct Folder(PathBuf);

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            std::fs::remove_dir_all(&self.0).ok();
        }
    }
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, record] = &args[..] else {
        eprintln!("usage: standins-3 CASE RECORD");
        exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let verdict = match run(case, Path::new(record), has_trouble) {
        Ok(verdict) => verdict,
        Err(error) => {
            eprintln!("{case}: {error}");
            Verdict::CouldNotRun
        }
    };
    println!("{case}: {verdict:?}");
    exit(verdict as i32);
}

fn run(case: &str, record: &Path, has_trouble: bool) -> std::io::Result<Verdict> {
    let record = Record::create(record)?;
    let name = format!("caraway-review-{}", std::process::id());
    let folder = Folder(std::env::temp_dir().join(name));
    std::fs::create_dir_all(&folder.0)?;
    record.line(&format!("case {case}, trouble {has_trouble}"));
    let verdict = match case {
        "late" => late::run(&record, &folder.0, has_trouble)?,
        "rollback" => rollback::run(&record, &folder.0, has_trouble)?,
        "inplace" => inplace::run(&record, &folder.0, has_trouble)?,
        _ => Verdict::CouldNotRun,
    };
    record.line(&format!("verdict {verdict:?}"));
    std::thread::sleep(Duration::from_millis(50));
    Ok(verdict)
}
