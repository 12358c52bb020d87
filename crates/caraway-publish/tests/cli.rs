//! Runs the tool as a process against stand-ins for the log and the list, and against real
//! instances.

use std::{
    net::SocketAddr,
    path::PathBuf,
    process::Command,
    sync::atomic::{AtomicU32, Ordering},
};

use caraway_entry::{Entry, Settings};
use caraway_standin::{InstanceList, ListSettings, LogFaults, LogService, LogSettings};
use caraway_wire::{
    list::{ListEntry, Role},
    log::CONFIG_STREAM,
};
use serde_json::{Value, json};

/// Stand-ins for the platform's log and its list of instances.
struct Platform {
    log: LogService,
    list: InstanceList,
}

/// Exit code and JSON report of a command.
struct CommandResult {
    code: i32,
    report: Value,
}

impl Platform {
    fn start() -> Self {
        Self {
            log: LogService::start(LogSettings::default()).unwrap(),
            list: InstanceList::start(
                ListSettings {
                    lag: 0.into(),
                    ..ListSettings::default()
                },
                vec![],
            )
            .unwrap(),
        }
    }

    /// Runs the tool with the addresses of the stand-ins and further arguments.
    fn run(&self, args: &[&str]) -> CommandResult {
        let output = Command::new(env!("CARGO_BIN_EXE_caraway-publish"))
            .args(["--json", "--author", "ann"])
            .args(["--log", &self.log.addr().to_string()])
            .args(["--list", &self.list.addr().to_string()])
            .args(args)
            .output()
            .unwrap();
        let text = String::from_utf8(output.stdout).unwrap();
        CommandResult {
            code: output.status.code().unwrap(),
            report: serde_json::from_str(&text).unwrap_or_else(|e| panic!("{e}: {text}")),
        }
    }

    /// Writes records to a file and applies it.
    fn apply(&self, records: &Value) -> CommandResult {
        self.run(&["apply", write_file(records).to_str().unwrap()])
    }

    /// Like [`apply`](Self::apply), but waits up to 5 s until the records are in force.
    fn apply_and_wait(&self, records: &Value) -> CommandResult {
        let file = write_file(records);
        self.run(&["apply", file.to_str().unwrap(), "--wait", "--limit-s", "5"])
    }

    /// Returns the number of records in the configuration log.
    fn record_count(&self) -> usize {
        self.log.page(CONFIG_STREAM).records.len()
    }

    /// Starts an instance and adds it to the list.
    fn start_entry(&self, id: &str) -> Entry {
        let settings = json!({
            "instance": id, "zone": "a", "listen": "127.0.0.1:0",
            "log": self.log.addr(), "list": self.list.addr(),
            "endpoints": [{"id": "e", "kind": "engine", "zone": "a", "addr": "127.0.0.1:9", "slots": 1}],
            "store_rate": 1.0, "store_transit": 16, "instances": 8,
        });
        let settings = Settings::parse(&settings.to_string()).unwrap();
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let entry = Entry::start(settings, log).unwrap();
        self.add_to_list(id, entry.addr());
        entry
    }

    /// Adds an entry instance to the list.
    fn add_to_list(&self, id: &str, addr: SocketAddr) {
        self.list.set(ListEntry {
            id: id.into(),
            role: Role::Entry,
            zone: "a".into(),
            addr,
            incarnation: 1,
            leaving: false,
        });
    }
}

/// Writes records to a new file and returns its path.
fn write_file(records: &Value) -> PathBuf {
    static FILES: AtomicU32 = AtomicU32::new(0);
    let number = FILES.fetch_add(1, Ordering::Relaxed);
    let name = format!("records-{}-{number}.json", std::process::id());
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, records.to_string()).unwrap();
    path
}

/// Returns the records that add a version of an adapter and serve it.
fn version_records(adapter: &str, version: &str) -> Value {
    json!([
        {"schema": 1, "kind": "adapter_version", "key": format!("{adapter}@{version}"), "body": {}},
        {"schema": 2, "kind": "adapter", "key": adapter, "body": {"serve": version}},
    ])
}

#[test]
fn check_reports_every_finding_with_its_place_and_publishes_nothing() {
    let platform = Platform::start();
    let records = json!([
        {"schema": 0, "kind": "adapter", "key": "a/b", "colour": 1, "body": {}},
        {"schema": 2, "kind": "adapter", "key": "sign", "body": {"serve": "9", "warm": [1]}},
        {"schema": 2, "kind": "adapter", "key": "sign", "body": {"serve": "9"}},
        {"schema": 1, "kind": "tariff", "key": "night", "body": {}},
        {"schema": 1, "kind": "account", "key": "c"},
        7,
    ]);
    let file = write_file(&records);
    let result = platform.run(&["check", file.to_str().unwrap()]);
    assert_eq!((result.code, platform.record_count()), (2, 0));
    let records = json!(&records.as_array().unwrap()[..5]);
    let result = platform.apply(&records);
    assert_eq!((result.code, platform.record_count()), (2, 0));
    let findings = result.report["findings"].as_array().unwrap();
    let places: Vec<&str> = findings
        .iter()
        .map(|f| f["place"].as_str().unwrap())
        .collect();
    for place in [
        "/0/schema",
        "/0/key",
        "/0/colour",
        "/1/body/warm/0",
        "/2/body/serve",
        "/3/kind",
        "/4/body",
    ] {
        assert!(places.contains(&place), "{place} not in {places:?}");
    }
}

#[test]
fn apply_waits_until_every_live_instance_has_the_records_in_force() {
    let platform = Platform::start();
    let entries = ["entry-1", "entry-2"].map(|id| platform.start_entry(id));
    let result = platform.apply_and_wait(&version_records("sign", "1"));
    assert_eq!(result.code, 0, "{}", result.report);
    for instance in result.report["instances"].as_array().unwrap() {
        assert!(instance["offset"].as_u64().unwrap() >= 2);
    }
    assert_eq!(platform.run(&["status"]).code, 0);
    for entry in entries {
        entry.stop();
    }
}

#[test]
fn apply_reports_the_lagging_instances() {
    let platform = Platform::start();
    let entry = platform.start_entry("entry-1");
    platform.add_to_list("entry-2", "127.0.0.1:9".parse().unwrap());
    let result = platform.apply_and_wait(&version_records("sign", "1"));
    assert_eq!(result.code, 5);
    let summary = result.report["summary"].as_str().unwrap();
    assert!(
        summary.ends_with("not in force yet on: entry-2"),
        "{summary}"
    );
    assert_eq!(platform.run(&["status"]).code, 5);
    entry.stop();
}

#[test]
fn an_append_whose_response_is_lost_is_published_once() {
    let platform = Platform::start();
    platform.log.set_faults(LogFaults {
        lose_answers: 1,
        ..LogFaults::default()
    });
    assert_eq!(platform.apply(&version_records("sign", "1")).code, 0);
    assert_eq!(platform.record_count(), 2);
    platform.log.set_faults(LogFaults {
        drop_appends: 2,
        ..LogFaults::default()
    });
    assert_eq!(platform.apply(&version_records("sign", "2")).code, 0);
    assert_eq!(platform.record_count(), 4);
}

#[test]
fn applying_a_file_twice_publishes_it_once() {
    let platform = Platform::start();
    assert_eq!(platform.apply(&version_records("sign", "1")).code, 0);
    assert_eq!(platform.apply(&version_records("sign", "1")).code, 0);
    assert_eq!(platform.record_count(), 2);
}

#[test]
fn a_conflict_lists_the_records_accepted_since_the_base() {
    let platform = Platform::start();
    let account = |base: Value, author: &str, rate: u32| {
        json!({
            "schema": 1, "kind": "account", "key": "c", "base": base, "author": author,
            "body": {"rate": rate},
        })
    };
    assert_eq!(platform.apply(&account(Value::Null, "ann", 1)).code, 0);
    assert_eq!(platform.apply(&account(json!(0), "ben", 2)).code, 0);
    let result = platform.apply(&account(json!(0), "ann", 3));
    assert_eq!((result.code, platform.record_count()), (3, 2));
    let conflict = &result.report["conflicts"][0];
    assert_eq!(conflict["name"], "account/c");
    assert_eq!(conflict["current"], 1);
    assert_eq!(conflict["since"][0]["author"], "ben");
    assert_eq!(conflict["since"][0]["body"]["rate"], 2);
}

#[test]
fn show_and_history_report_the_outcomes_of_records() {
    let platform = Platform::start();
    platform.apply(&version_records("sign", "1"));
    platform.apply(&version_records("sign", "2"));
    let late = json!({
        "schema": 2, "kind": "adapter", "key": "sign", "base": 1, "id": "late",
        "author": "ben", "body": {"serve": "1"},
    });
    platform
        .log
        .append(CONFIG_STREAM, &[late.to_string().into()]);
    let show = platform.run(&["show", "adapter/sign"]).report;
    assert_eq!(show["records"][0]["body"]["serve"], "2");
    let history = platform.run(&["history", "sign"]).report;
    let outcomes = history["records"].as_array().unwrap().iter();
    let outcomes: Vec<&str> = outcomes.map(|r| r["outcome"].as_str().unwrap()).collect();
    let refused = "refused: made against Some(1), the current revision is 3 by ann";
    assert_eq!(outcomes, ["applied", "applied", refused]);
}

#[test]
fn apply_fails_if_the_log_is_unreachable() {
    let platform = Platform::start();
    platform.log.set_faults(LogFaults {
        down: true,
        ..LogFaults::default()
    });
    assert_eq!(platform.apply(&version_records("sign", "1")).code, 4);
}
