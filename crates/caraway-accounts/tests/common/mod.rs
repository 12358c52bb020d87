//! Accounts and bounds that the tests share.

use std::time::Duration;

use caraway_accounts::{Account, AccountDirectory, Quota, QuotaBounds, QuotaUnit};

/// Bounds of the label printing deployment.
pub(crate) const BOUNDS: QuotaBounds = QuotaBounds {
    window: Duration::from_secs(8),
    excess: 0.1,
    slack: 72_000.0,
};

/// Returns an account whose quota counts tokens; no limit if `rate` is 0.
pub(crate) fn account(name: &str, rate: f64, burst: f64) -> Account {
    let quota = Quota {
        rate,
        burst,
        unit: QuotaUnit::Tokens { plain: 200 },
    };
    Account {
        name: name.into(),
        priority: None,
        quota: (rate > 0.0).then_some(quota),
    }
}

/// Returns a directory of accounts without keys.
pub(crate) fn directory(accounts: &[Account]) -> AccountDirectory {
    let entries = accounts.iter().map(|a| (a.clone(), Vec::new()));
    AccountDirectory::new(entries.collect()).0
}
