//! The report on service-level burn.
//!
//! - [`collect`] asks the listed instances and the log for what a report needs.
//! - [`render_html`] makes one self-contained page with plots.

mod collect;
mod html;
mod plot;

pub use collect::{Places, collect, unix_now};
pub use html::render_html;
