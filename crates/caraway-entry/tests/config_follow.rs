//! Tests that every instance gets the whole configuration and never an older one, while instances,
//! which are processes, are killed, frozen, cut off from the log or replaced during its outage.

mod testbed;

use std::{sync::Arc, thread};

use caraway_records::State;
use caraway_standin::{LogFaults, LogService, LogSettings, RelayFaults, RelayMode, Relays};
use caraway_wire::{
    list::{ListEntry, Role},
    log::CONFIG_STREAM,
};
use serde_json::{Value, json};
use testbed::{
    Testbed, TestbedConfig,
    caller::{eventually, get},
    entry_id,
    process::EntryProcess,
};

/// Number of records that the log in the retention test keeps.
const KEPT_RECORDS: usize = 80;
/// Number of kept records that a snapshot must cover, at least, so that appends in flight don't
/// push the log's oldest record beyond it.
const SNAPSHOT_MARGIN: u64 = 5;

fn plan(entries: usize) -> TestbedConfig {
    TestbedConfig {
        entries,
        zones: 3,
        engines: 3,
        ..TestbedConfig::default()
    }
}

/// Returns a configuration record for a client account.
fn account_record(key: &str, base: Option<u64>, id: &str, rate: usize) -> Arc<str> {
    let record = json!({
        "schema": 1, "kind": "account", "key": key, "base": base, "id": id,
        "body": {"rate": rate},
    });
    record.to_string().into()
}

/// Publishes `count` changes of one client account, each based on the previous one.
fn publish_changes(bed: &Testbed, key: &str, count: usize) {
    let mut base = None;
    for i in 0..count {
        let record = account_record(key, base, &format!("{key}-{i}"), i);
        bed.log.append(CONFIG_STREAM, &[record]);
        base = bed.log.page(CONFIG_STREAM).end.checked_sub(1);
    }
}

/// Returns the configuration's offset and digest on an instance.
fn status(entry: &EntryProcess) -> Option<(u64, String)> {
    let status: Value = get(entry.addr, "/admin/status")?.json();
    Some((
        status["offset"].as_u64()?,
        status["digest"].as_str()?.into(),
    ))
}

/// Waits until every instance has the configuration that results from the whole log.
fn wait_converged(bed: &Testbed) {
    let mut expected = State::default();
    for entry in bed.log.page(CONFIG_STREAM).records {
        expected.apply(entry.offset, &entry.data);
    }
    let expected_status = (expected.next(), format!("{:016x}", expected.digest()));
    for entry in &bed.entries {
        eventually("an instance has the whole configuration", || {
            status(entry).as_ref() == Some(&expected_status)
        });
    }
}

/// Starts an instance with the given settings and adds it to the instance list.
fn add_entry_with(bed: &mut Testbed, i: usize, settings: &Value) {
    let entry = EntryProcess::start(settings);
    bed.list.set(ListEntry {
        id: entry_id(i).into(),
        role: Role::Entry,
        zone: bed.zone(i).into(),
        addr: entry.addr,
        incarnation: 1,
        leaving: false,
    });
    bed.entries.push(entry);
}

/// Returns the offset up to which a snapshot covers the records, if `data` is a chunk of one.
fn snapshot_covered(data: &str) -> Option<u64> {
    let record: Value = serde_json::from_str(data).ok()?;
    record["body"]["snapshot"]["covered"].as_u64()
}

fn set_log_down(bed: &Testbed, down: bool) {
    bed.log.set_faults(LogFaults {
        down,
        ..LogFaults::default()
    });
}

#[test]
fn a_frozen_and_a_killed_instance_catch_up() {
    let mut bed = Testbed::start(plan(3));
    bed.entries[0].freeze();
    bed.entries[1].kill();
    publish_changes(&bed, "c", 50);
    bed.entries[0].thaw();
    bed.add_entry(1);
    wait_converged(&bed);
}

#[test]
fn a_zone_cut_off_from_the_log_keeps_up_through_peers() {
    let relays = Relays::start().unwrap();
    let mut bed = Testbed::start_standins(plan(0));
    bed.publish_records();
    bed.add_entry(0);
    bed.add_entry(1);
    let relay = relays.add(bed.log.addr(), 0).unwrap();
    let mut settings = bed.settings(2);
    settings["log"] = json!(relay.addr());
    add_entry_with(&mut bed, 2, &settings);
    wait_converged(&bed);
    for (i, mode) in [RelayMode::Closed, RelayMode::Cut].into_iter().enumerate() {
        relay.set_faults(RelayFaults {
            mode,
            ..RelayFaults::default()
        });
        publish_changes(&bed, &format!("c{i}"), 20);
        wait_converged(&bed);
    }
}

#[test]
fn instances_replaced_while_the_log_is_down_take_the_state_from_a_peer() {
    let mut bed = Testbed::start(plan(3));
    publish_changes(&bed, "c", 50);
    wait_converged(&bed);
    set_log_down(&bed, true);
    for i in 1..3 {
        bed.entries[i].kill();
    }
    for i in 1..3 {
        bed.add_entry(i);
    }
    wait_converged(&bed);
    set_log_down(&bed, false);
    publish_changes(&bed, "d", 5);
    wait_converged(&bed);
}

#[test]
fn a_history_longer_than_the_retention_survives_in_snapshots() {
    let mut bed = Testbed::start_standins(plan(0));
    bed.log = LogService::start(LogSettings {
        keep_records: KEPT_RECORDS,
        ..LogSettings::default()
    })
    .unwrap();
    let config = json!({ "snapshot_every": 20, "snapshot_spread_ms": 100 });
    let start = |bed: &mut Testbed, i| {
        let mut settings = bed.settings(i);
        settings["config"] = config.clone();
        add_entry_with(bed, i, &settings);
    };
    for i in 0..3 {
        start(&mut bed, i);
    }
    let mut expected = State::default();
    for key in 0..15 {
        publish_changes(&bed, &format!("c{key}"), 20);
        for entry in bed.log.page(CONFIG_STREAM).records {
            expected.apply(entry.offset, &entry.data);
        }
        for entry in &bed.entries {
            eventually("an instance has kept up", || {
                status(entry).is_some_and(|s| s.0 >= expected.next())
            });
        }
        eventually(
            "a snapshot that a new instance can use is in the log",
            || {
                let page = bed.log.page(CONFIG_STREAM);
                let covered = page
                    .records
                    .iter()
                    .filter_map(|r| snapshot_covered(&r.data))
                    .max();
                covered.is_some_and(|covered| covered >= page.oldest + SNAPSHOT_MARGIN)
            },
        );
        for entry in bed.log.page(CONFIG_STREAM).records {
            expected.apply(entry.offset, &entry.data);
        }
    }
    assert!(bed.log.page(CONFIG_STREAM).oldest > 2 * KEPT_RECORDS as u64);
    bed.entries.clear();
    start(&mut bed, 0);
    eventually("the new instance has the configuration", || {
        let digest = format!("{:016x}", expected.digest());
        status(&bed.entries[0]).is_some_and(|s| s.1 == digest)
    });
}

/// Every third record is appended twice, as an operator does when the answer to an append is lost.
#[test]
fn two_operators_race_on_200_keys_while_answers_are_lost() {
    let bed = Testbed::start(plan(3));
    thread::scope(|scope| {
        for operator in 0..2 {
            let log = &bed.log;
            scope.spawn(move || {
                for key in 0..200 {
                    let name = format!("k{key}");
                    let id = format!("{operator}-{key}");
                    let record = account_record(&name, None, &id, operator + 1);
                    log.append(CONFIG_STREAM, std::slice::from_ref(&record));
                    if key % 3 == 0 {
                        log.append(CONFIG_STREAM, &[record]);
                    }
                }
            });
        }
    });
    wait_converged(&bed);
}

#[test]
fn corrupt_records_are_refused_alike_and_logged_by_every_instance() {
    let mut bed = Testbed::start_standins(plan(0));
    bed.publish_records();
    for i in 0..3 {
        let mut settings = bed.settings(i);
        settings["instance"] = json!(format!("{}-corrupt", entry_id(i)));
        add_entry_with(&mut bed, i, &settings);
    }
    let first = bed.log.page(CONFIG_STREAM).end;
    let unknown_version = json!({
        "schema": 1, "kind": "adapter", "key": "adapter-9", "id": "dangling",
        "body": {"version": "v9"},
    });
    let corrupt: [Arc<str>; 4] = [
        "{".into(),
        "x".repeat(300_000).into(),
        account_record("co-op", Some(7), "wrong-base", 1),
        unknown_version.to_string().into(),
    ];
    bed.log.append(CONFIG_STREAM, &corrupt);
    wait_converged(&bed);
    for i in 0..3 {
        let name = format!(r#""instance":"{}-corrupt""#, entry_id(i));
        eventually("an instance has logged every refusal", || {
            let lines = log_lines(&name);
            (first..first + 4).all(|offset| {
                let offset_field = format!(r#""offset":{offset},"#);
                let event_field = r#""event":201"#;
                lines
                    .iter()
                    .any(|l| l.contains(&offset_field) && l.contains(event_field))
            })
        });
    }
}

/// Returns the log lines that contain `part`, from all instances that this test process started.
fn log_lines(part: &str) -> Vec<String> {
    let dir = std::fs::read_dir(env!("CARGO_TARGET_TMPDIR")).unwrap();
    let own = format!("{}-", std::process::id());
    let is_own = |name: &str| name.starts_with(&own) && name.contains(".log");
    let files = dir
        .filter_map(Result::ok)
        .filter(|f| is_own(&f.file_name().to_string_lossy()));
    let texts = files.filter_map(|f| std::fs::read_to_string(f.path()).ok());
    let lines = texts.flat_map(|t| t.lines().map(str::to_owned).collect::<Vec<_>>());
    lines.filter(|l| l.contains(part)).collect()
}
