//! The report on how fast the error budgets of the service-level objectives are spent.
//!
//! - [`collect()`] gathers the data from the listed instances and the log.
//! - [`render_html`] renders a report as a self-contained HTML page with plots.

mod collect;
mod html;
mod plot;

pub use collect::{CollectOptions, collect, unix_now};
pub use html::render_html;
