//! The pages for engineers list what the daemon logs and measures.

use std::{fs, path::Path};

use caraway_gateway::{Event, METRICS};

fn page(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../docs")
        .join(name);
    fs::read_to_string(path).expect("the page is there")
}

#[test]
fn every_event_stands_on_its_page() {
    let page = page("GATEWAY-EVENTS.md");
    for event in Event::ALL {
        let row = format!("| {} | {} |", event.code(), event.text());
        assert!(page.contains(&row), "docs/GATEWAY-EVENTS.md lacks {row}");
    }
}

#[test]
fn event_numbers_differ() {
    let mut codes: Vec<u16> = Event::ALL.iter().map(|e| e.code()).collect();
    codes.sort_unstable();
    codes.dedup();
    assert_eq!(codes.len(), Event::ALL.len());
}

#[test]
fn every_metric_stands_on_its_page() {
    let page = page("GATEWAY-METRICS.md");
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
