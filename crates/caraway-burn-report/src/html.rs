//! [`render_html`]: renders a report as a self-contained HTML page.

use anyhow::Result;
use caraway_burn::{Report, render_text};

use crate::plot;

/// Renders a report as an HTML page that loads no other resources.
///
/// # Errors
///
/// Returns an error if a plot can't be drawn.
pub fn render_html(report: &Report) -> Result<String> {
    let mut page = String::from(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>Service-level burn</title>\
         <style>body{font-family:sans-serif;margin:2em}pre{background:#f4f4f4;padding:1em}</style>\
         <h1>Service-level burn</h1>",
    );
    page.push_str("<pre>");
    page.push_str(&escape(&render_text(report)));
    page.push_str("</pre>");
    page.push_str("<p>Each plot shows the burn rate by minute; at a rate of 1 (red) the budget lasts exactly for its period.</p>");
    for row in &report.rows {
        page.push_str("<h2>");
        page.push_str(&escape(&row.name));
        page.push_str("</h2>");
        page.push_str(&plot::render_last_hour(row)?);
    }
    page.push_str("</html>\n");
    Ok(page)
}

/// Escapes the characters that are special in HTML text.
fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}
