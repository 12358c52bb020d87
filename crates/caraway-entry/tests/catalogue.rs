//! Tests that the docs list exactly the events and metrics of the code.

use std::{fs, path::Path};

use caraway_entry::{Event, METRICS};

#[test]
fn events_page_lists_exactly_the_events() {
    let code = Event::ALL.iter();
    let code: Vec<_> = code
        .map(|e| (e.code().to_string(), e.text().to_owned()))
        .collect();
    let page = table_rows("EVENTS.md").into_iter();
    let page: Vec<_> = page.map(|row| (row[0].clone(), row[1].clone())).collect();
    assert_eq!(page, code);
}

#[test]
fn metrics_page_lists_exactly_the_metrics() {
    let code = METRICS.iter();
    let code: Vec<_> = code
        .map(|m| [m.name.to_owned(), m.unit.to_owned(), m.labels.join(", ")])
        .collect();
    let page = table_rows("METRICS.md").into_iter();
    let page: Vec<_> = page
        .map(|row| [row[0].clone(), row[1].clone(), row[2].clone()])
        .collect();
    assert_eq!(page, code);
}

/// Returns the cells of the page's table by row, without the header.
fn table_rows(page: &str) -> Vec<Vec<String>> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../docs")
        .join(page);
    let text = fs::read_to_string(path).expect("the page exists");
    let rows = text.lines().filter(|line| line.starts_with('|')).skip(2);
    rows.map(|line| {
        let cells = line.trim_matches('|').split('|');
        cells.map(|cell| cell.trim().to_owned()).collect()
    })
    .collect()
}
