//! Renders a [`Report`] as text for a terminal.

use std::fmt::Write;

use caraway_types::Millis;

use crate::{Alarm, Report, Row};

/// Renders a report as a table followed by its notes.
#[must_use]
pub fn render_text(report: &Report) -> String {
    let mut text = String::new();
    let header = "objective                 target  requests     5m    30m     1h     6h     3d  budget  spent in  alarm";
    push_line(&mut text, format_args!("{header}"));
    for row in &report.rows {
        render_row(&mut text, row);
    }
    if report.rows.is_empty() {
        push_line(&mut text, format_args!("(no objective is in force)"));
    }
    for note in &report.notes {
        push_line(
            &mut text,
            format_args!("note: {}: {}", note.source, note.problem),
        );
    }
    text
}

fn render_row(text: &mut String, row: &Row) {
    // The windows are in ascending order, so the last one is the longest.
    let requests = row.windows.last().map_or(0, |w| w.counts.total());
    let rates: String = row.windows.iter().map(|w| format_cell(w.rate, 2)).collect();
    let budget = row
        .budget_left
        .map_or("-".to_owned(), |left| format!("{:.0}%", left * 100.0));
    let exhausted_in = row.exhausted_in.map_or("-".to_owned(), format_duration);
    let alarm = match row.alarm {
        None => "-",
        Some(Alarm::Page) => "PAGE",
        Some(Alarm::Urgent) => "URGENT",
        Some(Alarm::Ticket) => "TICKET",
    };
    let (name, target) = (&row.name, row.objective.target * 100.0);
    push_line(
        text,
        format_args!(
            "{name:<24} {target:>6.2}% {requests:>9}{rates} {budget:>7} {exhausted_in:>9}  {alarm}"
        ),
    );
}

fn format_cell(value: Option<f64>, digits: usize) -> String {
    let text = value.map_or("-".to_owned(), |v| format!("{v:.digits$}"));
    format!("{text:>7}")
}

fn format_duration(time: Millis) -> String {
    let minutes = time.get().as_secs() / 60;
    match minutes {
        0..120 => format!("{minutes} min"),
        120..2880 => format!("{} h", minutes / 60),
        _ => format!("{} d", minutes / 1440),
    }
}

fn push_line(text: &mut String, content: std::fmt::Arguments<'_>) {
    // Writing to a `String` never fails.
    let _ = writeln!(text, "{content}");
}
