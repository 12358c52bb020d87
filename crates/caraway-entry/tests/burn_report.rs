//! Tests the report on service-level objectives with daemons as separate processes.

mod testbed;

use std::time::Duration;

use caraway_burn::{Alarm, Report};
use caraway_burn_report::{CollectOptions, collect, render_html, unix_now};
use caraway_standin::EngineFaults;
use caraway_types::Millis;
use caraway_wire::log::CONFIG_STREAM;
use serde_json::json;
use testbed::{
    Testbed, TestbedConfig,
    caller::{block_on_thread, complete, eventually, get},
    record,
};

/// Starts two instances with three objectives.
fn start_testbed() -> Testbed {
    let bed = Testbed::start(TestbedConfig::default());
    let objective = |name: &str, body| record("objective", name, &body);
    let records = [
        objective("answered", json!({ "measure": "answered", "target": 0.99 })),
        objective(
            "first-token",
            json!({ "measure": "first_token", "threshold_ms": 300, "target": 0.95 }),
        ),
        objective(
            "whole",
            json!({ "measure": "whole_answer", "threshold_ms": 60_000, "target": 0.95 }),
        ),
    ];
    bed.log.append(CONFIG_STREAM, &records);
    for entry in &bed.entries {
        eventually("the objectives are in force", || {
            get(entry.addr, "/admin/burn").is_some_and(|a| {
                a.json()["objectives"]
                    .as_object()
                    .is_some_and(|o| o.len() == 3)
            })
        });
    }
    bed
}

fn collect_report(bed: &Testbed) -> Report {
    let options = CollectOptions {
        list: bed.list.addr(),
        log: bed.log.addr(),
        timeout: Duration::from_secs(5),
    };
    let sources = block_on_thread(move || collect(options)).expect("the list answers");
    Report::new(unix_now(), &sources)
}

#[test]
fn an_injected_fault_burns_its_objective_and_no_other() {
    let bed = start_testbed();
    for engine in &bed.engines {
        engine.set_faults(EngineFaults {
            slow_step: Millis::new(600),
            ..EngineFaults::default()
        });
    }
    for n in 0..4 {
        let addr = bed.entries[n % 2].addr;
        let answer = complete(addr, "adapter-0@v1", "banner", 1).expect("an answer");
        assert_eq!(answer.status, 200, "{}", answer.body);
    }
    let report = collect_report(&bed);
    assert_eq!(report.notes, []);
    let alarms: Vec<_> = report.rows.iter().map(|r| (&*r.name, r.alarm)).collect();
    let expected = [
        ("answered", None),
        ("first-token", Some(Alarm::Page)),
        ("whole", None),
    ];
    assert_eq!(alarms, expected);
    let html = render_html(&report).expect("the plots are drawn");
    assert_eq!(html.matches("<svg").count(), 3);
    assert!(
        !html.contains("http://") || !html.contains("src="),
        "nothing is fetched"
    );
}

#[test]
fn a_drained_instance_is_counted_from_the_log_and_noted_as_unreachable() {
    let mut bed = start_testbed();
    for n in 0..6 {
        let addr = bed.entries[n % 2].addr;
        let answer = complete(addr, "adapter-0@v1", "banner", 1).expect("an answer");
        assert_eq!(answer.status, 200, "{}", answer.body);
    }
    bed.entries[0].terminate();
    assert!(bed.entries[0].wait());
    let report = collect_report(&bed);
    // Each instance answered three requests. The drained one's counts come from the log.
    let counts: Vec<_> = report
        .rows
        .iter()
        .map(|r| r.windows[4].counts.total())
        .collect();
    assert_eq!(counts, [6, 6, 6]);
    let places: Vec<_> = report.notes.iter().map(|n| &*n.source).collect();
    assert_eq!(places, ["entry-0"]);
}
