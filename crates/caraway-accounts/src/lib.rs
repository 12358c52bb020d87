//! Client accounts, their keys, and quotas that hold over all instances together. This crate does
//! no I/O.

mod account;
mod allowances;
mod bounds;
mod directory;
mod draw;
mod key;
mod pool;

pub use account::{Account, Quota, QuotaUnit};
pub use allowances::{Admission, AllowanceAction, AllowanceSettings, Allowances};
pub use bounds::QuotaBounds;
pub use caraway_types::AccountId;
pub use directory::{AccountDirectory, DirectoryProblem};
pub use draw::{Draw, DrawReply};
pub use key::{KeyHash, MAX_KEY_BYTES};
pub use pool::QuotaPool;
