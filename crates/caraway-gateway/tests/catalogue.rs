//! The pages in `docs/` list every log event and metric of the daemon.

use std::{fs, path::Path};

use caraway_gateway::{Event, METRICS};

/// Returns the text of a page in `docs/`.
fn read_page(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../docs")
        .join(name);
    fs::read_to_string(path).expect("the page exists")
}

#[test]
fn every_event_is_documented() {
    let page = read_page("GATEWAY-EVENTS.md");
    for event in Event::ALL {
        let row = format!("| {} | {} |", event.code(), event.text());
        assert!(page.contains(&row), "docs/GATEWAY-EVENTS.md lacks {row}");
    }
}

#[test]
fn event_numbers_are_unique() {
    let mut codes: Vec<u16> = Event::ALL.iter().map(|e| e.code()).collect();
    codes.sort_unstable();
    codes.dedup();
    assert_eq!(codes.len(), Event::ALL.len());
}

#[test]
fn every_metric_is_documented() {
    let page = read_page("GATEWAY-METRICS.md");
    for metric in METRICS {
        let row = format!(
            "| {} | {} | {} |",
            metric.name,
            metric.unit,
            metric.labels.join(", ")
        );
        assert!(page.contains(&row), "docs/GATEWAY-METRICS.md lacks {row}");
    }
}
