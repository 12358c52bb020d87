//! Client accounts, their keys, and quotas that hold over all instances together. This crate does
//! no I/O.

mod account;
mod allowance;
mod allowances;
mod bounds;
mod bucket;
mod directory;
mod draw;
mod key;
mod lots;
mod pool;
mod pool_share;
mod solo;
mod spending;

pub use account::{Account, Quota, QuotaUnit};
pub use allowance::AllowanceStatus;
pub use allowances::{Admission, AllowanceAction, AllowanceSettings, Allowances};
pub use bounds::QuotaBounds;
pub use caraway_types::AccountId;
pub use directory::{AccountDirectory, DirectoryProblem};
pub use draw::{Draw, DrawReply};
pub use key::{KeyHash, MAX_KEY_BYTES};
pub use pool::QuotaPool;
pub use pool_share::PoolShare;

/// Compiles and runs the example of the README.
#[cfg(doctest)]
#[doc = include_str!("../README.md")]
struct Readme;
