//! One request's story from the logs of several gateways: its own lines, and what the instances
//! that served it knew at that time. The daemon's catalogue of events is docs/GATEWAY-EVENTS.md.

mod line;
mod logs;
mod story;

pub use line::Line;
pub use logs::Logs;
pub use story::{Note, Story};
