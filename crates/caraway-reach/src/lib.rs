//! Whether an instance reaches the endpoints, and which instances help one that does not.
//!
//! - [`Reachability`] tells an instance that is cut off from endpoints that are down.
//! - [`Helpers`] chooses the instance that serves a request for one that is cut off.

mod helpers;
mod reachability;

pub use helpers::Helpers;
pub use reachability::{Reach, ReachSettings, Reachability, Trouble};
