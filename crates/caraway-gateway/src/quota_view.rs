//! [`QuotaView`]: what an instance logs of the quotas of accounts. Changes are logged, and few of the
//! refused requests, so that a flood of them costs little.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    time::{Duration, Instant},
};

use caraway_accounts::{Account, AccountId, AllowanceStatus, QuotaUnit};

use crate::{event::emit, executor::millis, shared::Shared};

/// Time without a refusal after which an account counts as having allowance again. At the limit of
/// its quota, refusals and admissions alternate.
const QUIET_TIME: Duration = Duration::from_secs(1);

/// What was logged of the quotas of accounts.
#[derive(Debug, Default)]
pub(crate) struct QuotaView {
    /// The accounts that are exhausted, and when each was refused last.
    exhausted: RefCell<HashMap<AccountId, Instant>>,
    /// Whether no holder could be asked for allowance.
    is_solo: Cell<bool>,
}

impl QuotaView {
    /// Records that a request of an account was refused; logs that the account is exhausted.
    pub(crate) fn on_refused(&self, shared: &Shared, account: &Account) {
        let former = {
            let mut exhausted = self.exhausted.borrow_mut();
            exhausted.insert(account.name.clone(), Shared::now())
        };
        if former.is_none() {
            log_account(shared, account, true);
        }
    }

    /// Logs a refused request.
    pub(crate) fn log_refused(
        shared: &Shared,
        account: &Account,
        cost: f64,
        request: &str,
        retry_after: Duration,
    ) {
        let quota = QuotaFields::of(shared, account);
        emit!(shared, info, RequestDenied; "request" => request, "status" => 429,
            "account" => &*account.name, "cost" => cost, "rate" => quota.rate,
            "burst" => quota.burst, "unit" => quota.unit, "spent" => quota.status.spent,
            "drawn" => quota.status.drawn, "refused" => quota.status.refused,
            "allowance" => quota.status.available.abs(), "allowance_age_ms" => quota.drawn_ms,
            "alone" => quota.status.is_solo, "version" => quota.version,
            "config_age_ms" => shared.config_age().map(millis),
            "retry_after_ms" => millis(retry_after));
    }

    /// Logs the changes since the last call, and is called every second.
    pub(crate) fn update(&self, shared: &Shared) {
        let Some(routing) = shared.routing() else {
            return;
        };
        let accounts = routing.accounts();
        if accounts.is_empty() && self.exhausted.borrow().is_empty() {
            return;
        }
        let now = Shared::now();
        let mut quiet = Vec::new();
        self.exhausted.borrow_mut().retain(|name, refused_at| {
            let is_quiet = now.saturating_duration_since(*refused_at) >= QUIET_TIME;
            if is_quiet {
                quiet.push(name.clone());
            }
            !is_quiet
        });
        for account in quiet.iter().filter_map(|name| accounts.get(name)) {
            log_account(shared, account, false);
        }
        let mut statuses = accounts.accounts().filter(|a| a.quota.is_some());
        let is_alone = |a: &Account| shared.quotas.status(&a.name).is_some_and(|s| s.is_solo);
        let is_solo = statuses.any(|a| is_alone(a));
        if self.is_solo.replace(is_solo) != is_solo {
            emit!(shared, warn, QuotaPoolsLost; "reachable" => !is_solo,
                "instances" => shared.estimated_instances());
        }
    }

    /// Returns the number of accounts that are exhausted.
    pub(crate) fn exhausted(&self) -> usize {
        self.exhausted.borrow().len()
    }
}

fn log_account(shared: &Shared, account: &Account, is_exhausted: bool) {
    let quota = QuotaFields::of(shared, account);
    emit!(shared, info, QuotaExhausted; "account" => &*account.name, "exhausted" => is_exhausted,
        "rate" => quota.rate, "burst" => quota.burst, "unit" => quota.unit,
        "spent" => quota.status.spent, "drawn" => quota.status.drawn,
        "refused" => quota.status.refused, "allowance_age_ms" => quota.drawn_ms,
        "alone" => quota.status.is_solo, "version" => quota.version,
        "config_age_ms" => shared.config_age().map(millis));
}

/// What log lines say of an account's quota.
struct QuotaFields {
    rate: f64,
    burst: f64,
    unit: &'static str,
    status: AllowanceStatus,
    drawn_ms: Option<u64>,
    version: u64,
}

impl QuotaFields {
    fn of(shared: &Shared, account: &Account) -> Self {
        let quota = account.quota;
        let status = shared.quotas.status(&account.name);
        let status = status.unwrap_or_default();
        let age = |at| Shared::now().saturating_duration_since(at);
        Self {
            rate: quota.map_or(0.0, |q| q.rate),
            burst: quota.map_or(0.0, |q| q.burst),
            unit: match quota.map(|q| q.unit) {
                Some(QuotaUnit::Tokens { .. }) => "tokens",
                _ => "requests",
            },
            drawn_ms: status.drawn_at.map(|at| millis(age(at))),
            status,
            version: shared.routing().map_or(0, |r| r.version),
        }
    }
}
