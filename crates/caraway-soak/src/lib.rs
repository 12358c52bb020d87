//! Runs real gateway processes under injected faults and checks that the guarantees of the gateway
//! hold throughout.

mod accounts;
mod caller;
mod faults;
mod gateway;
mod plan;
mod run;
mod testbed;

pub use faults::{Fault, Timed, schedule};
pub use plan::Plan;
pub use run::{Report, run};
