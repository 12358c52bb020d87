//! Real gateways under injected faults, and the promises that must hold all the while.

mod caller;
mod faults;
mod gateway;
mod plan;
mod run;
mod world;

pub use faults::{Fault, Timed, schedule};
pub use plan::Plan;
pub use run::{Report, run};
