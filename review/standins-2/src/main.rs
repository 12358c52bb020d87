//! `standins-2 CASE RECORD`: plays a case with the project's gateway as a process. Exit status: 1 if the
//! rule was broken, 0 if it held, 2 if the case could not run.

mod cases;
mod http;
mod site;
mod store;

use std::{path::PathBuf, process::ExitCode};

use site::Record;

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(path)) = (args.next(), args.next().map(PathBuf::from)) else {
        eprintln!("standins-2 CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let record = match Record::new(&path) {
        Ok(record) => record,
        Err(e) => {
            eprintln!("{e}");
            return ExitCode::from(2);
        }
    };
    record.line(format!(
        "case {case}, {} the disruption",
        if trouble { "with" } else { "without" }
    ));
    let result = match &*case {
        "slow-read" => cases::slow_read(&record, trouble),
        "memory" => cases::memory(&record, trouble),
        "leaving" => cases::leaving(&record, trouble),
        "brittle" => cases::brittle(&record, trouble),
        "keep-alive" => cases::keep_alive(&record, trouble),
        _ => Err(std::io::Error::other("no such case")),
    };
    match result {
        Ok(true) => {
            record.line("the rule was broken");
            ExitCode::from(1)
        }
        Ok(false) => {
            record.line("the rule held");
            ExitCode::SUCCESS
        }
        Err(e) => {
            record.line(format!("the case could not run: {e}"));
            ExitCode::from(2)
        }
    }
}
