//! Quotas of client accounts: admits requests, and draws allowance from the pools at the holders.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    pin::pin,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use caraway_accounts::{
    Account, AccountDirectory, AccountId, Admission, AllowanceAction, AllowanceSettings,
    Allowances, Draw, DrawReply,
};
use caraway_types::{Reason, ZoneId};
use tokio::{
    sync::Notify,
    time::{Instant, timeout_at},
};

use crate::{
    frame::ToHolder, quota_frame::round_up, quota_view::QuotaView, request::RefusalResponse,
    shared::Shared,
};

/// Time within which a holder answers a draw, several round trips between zones.
const REPLY_TIMEOUT: Duration = Duration::from_millis(100);

/// Time for which requests wait for the next holder: a holder that was killed is replaced within
/// 400 ms, and the record of the next one is read within 200 ms.
const NEXT_HOLDER_TIMEOUT: Duration = Duration::from_millis(600);

/// What this instance may admit for each account.
#[derive(Debug)]
pub(crate) struct QuotaState {
    allowances: RefCell<Allowances>,
    /// Notified of each reply, for the accounts of which requests have waited.
    replies: RefCell<HashMap<AccountId, Rc<Notify>>>,
    /// Since when no holder can be asked; `None` while one can.
    unreachable_since: Cell<Option<Instant>>,
    /// What was logged of the accounts.
    pub(crate) view: QuotaView,
}

impl QuotaState {
    /// Creates the state of a starting instance.
    pub(crate) fn new(own_zone: ZoneId, settings: AllowanceSettings) -> Self {
        Self {
            allowances: RefCell::new(Allowances::new(own_zone, settings)),
            replies: RefCell::default(),
            unreachable_since: Cell::default(),
            view: QuotaView::default(),
        }
    }

    /// Applies the accounts of a new configuration.
    pub(crate) fn set_accounts(&self, accounts: &AccountDirectory) {
        let now = Shared::now();
        self.allowances.borrow_mut().set_accounts(now, accounts);
        let mut replies = self.replies.borrow_mut();
        // Requests that wait keep their own reference.
        replies.retain(|name, _| accounts.get(name).is_some());
    }

    /// Returns the state of an account, `None` if no request of it had a cost yet.
    pub(crate) fn status(&self, account: &AccountId) -> Option<caraway_accounts::AllowanceStatus> {
        self.allowances.borrow().status(Shared::now(), account)
    }

    fn reply_to(&self, account: &AccountId) -> Rc<Notify> {
        let mut replies = self.replies.borrow_mut();
        replies.entry(account.clone()).or_default().clone()
    }

    fn notify(&self, account: &AccountId) {
        if let Some(reply) = self.replies.borrow().get(account) {
            reply.notify_waiters();
        }
    }
}

/// The cost of a request that was admitted. It is refunded when this is dropped, unless the request
/// may have run.
#[derive(Debug)]
pub(crate) struct Charge {
    shared: Rc<Shared>,
    account: AccountId,
    cost: f64,
    admitted_at: std::time::Instant,
    may_have_run: Cell<bool>,
}

impl Charge {
    /// Records whether the request may have run.
    pub(crate) fn set_may_have_run(&self, may_have_run: bool) {
        self.may_have_run.set(may_have_run);
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        if self.may_have_run.get() {
            return;
        }
        let (shared, account) = (&self.shared, &self.account);
        {
            let mut allowances = shared.quotas.allowances.borrow_mut();
            allowances.refund(Shared::now(), account, self.cost, self.admitted_at);
        }
        shared.metrics.record_quota(account, "refunded", self.cost);
        run_actions(shared);
    }
}

/// Admits a request of an account at this cost, and waits for allowance if there is none ahead.
/// Returns the charge; `None` if the account has no quota.
///
/// # Errors
///
/// Returns the refusal of a request that exceeds the quota.
pub(crate) async fn admit(
    shared: &Rc<Shared>,
    account: &Arc<Account>,
    cost: f64,
    request: &str,
    deadline: Instant,
) -> Result<Option<Charge>, RefusalResponse> {
    if account.quota.is_none() {
        return Ok(None);
    }
    let zones = u32::try_from(shared.site.zones.len()).unwrap_or(u32::MAX);
    let until = deadline.min(Instant::now() + REPLY_TIMEOUT.saturating_mul(zones.max(1)));
    loop {
        wait_for_pool(shared).await;
        match decide(shared, account, cost) {
            Admission::Admitted => {
                run_actions(shared);
                shared.metrics.record_quota(&account.name, "spent", cost);
                return Ok(Some(Charge {
                    shared: shared.clone(),
                    account: account.name.clone(),
                    cost,
                    admitted_at: Shared::now(),
                    may_have_run: Cell::new(false),
                }));
            }
            Admission::Refused { retry_after } => {
                run_actions(shared);
                return Err(refuse(shared, account, cost, request, retry_after));
            }
            Admission::Pending if Instant::now() >= until => {
                return Err(refuse(shared, account, cost, request, REPLY_TIMEOUT));
            }
            Admission::Pending => {
                let reply = shared.quotas.reply_to(&account.name);
                let mut replied = pin!(reply.notified());
                // The pool of a zone that this instance holds replies within the next call.
                replied.as_mut().enable();
                run_actions(shared);
                let wait_until = until.min(Instant::now() + REPLY_TIMEOUT);
                // A holder that does not reply in time is found when the request asks again.
                timeout_at(wait_until, replied).await.ok();
            }
        }
    }
}

/// Waits a short time while no holder can be asked, as after the start of this instance or the loss of a
/// holder. Later, the instance uses its own share at once.
async fn wait_for_pool(shared: &Shared) {
    let quotas = &shared.quotas;
    loop {
        let mut reachable = pin!(shared.holder_reachable.notified());
        reachable.as_mut().enable();
        if shared.site.zones.iter().any(|z| shared.is_reachable(z)) {
            quotas.unreachable_since.set(None);
            return;
        }
        let now = Instant::now();
        let since = quotas.unreachable_since.get().unwrap_or(now);
        quotas.unreachable_since.set(Some(since));
        let until = since + NEXT_HOLDER_TIMEOUT;
        if now >= until || timeout_at(until, reachable).await.is_err() {
            return;
        }
    }
}

fn decide(shared: &Shared, account: &Account, cost: f64) -> Admission {
    let zones = reachable_zones(shared);
    let instances = shared.estimated_instances();
    let mut allowances = shared.quotas.allowances.borrow_mut();
    allowances.admit(Shared::now(), account, cost, &zones, instances)
}

/// Returns the zones whose holder can be asked, this instance's own first.
fn reachable_zones(shared: &Shared) -> Vec<ZoneId> {
    let own = &shared.site.zone;
    let others = shared.site.zones.iter().filter(|z| *z != own);
    let all = std::iter::once(own).chain(others);
    all.filter(|z| shared.is_reachable(z)).cloned().collect()
}

fn refuse(
    shared: &Shared,
    account: &Arc<Account>,
    cost: f64,
    request: &str,
    retry_after: Duration,
) -> RefusalResponse {
    shared.metrics.record_quota(&account.name, "refused", cost);
    shared.metrics.record_account(&account.name, "over_quota");
    shared.quotas.view.on_refused(shared, account);
    QuotaView::log_refused(shared, account, cost, request, retry_after);
    let rate = account.quota.map_or(0.0, |q| q.rate);
    let detail = format!("the account's quota of {rate} units per second is used up");
    RefusalResponse::not_run(Reason::OverLimit, &detail).with_retry_after(round_up(retry_after))
}

/// Sends the draws that are due. Replies of a zone that this instance holds may lead to more.
fn run_actions(shared: &Rc<Shared>) {
    loop {
        let actions = shared.quotas.allowances.borrow_mut().take_actions();
        if actions.is_empty() {
            return;
        }
        let mut by_zone: Vec<(ZoneId, Vec<Draw>)> = Vec::new();
        for AllowanceAction::Draw { zone, draw } in actions {
            match by_zone.iter_mut().find(|(z, _)| *z == zone) {
                Some((_, draws)) => draws.push(draw),
                None => by_zone.push((zone, vec![draw])),
            }
        }
        for (zone, draws) in by_zone {
            send_draws(shared, &zone, draws);
        }
    }
}

fn send_draws(shared: &Rc<Shared>, zone: &ZoneId, draws: Vec<Draw>) {
    if let Some(held) = shared.held_zone(zone) {
        let replies = held.draw(&draws);
        on_replies(shared, zone, &replies);
        return;
    }
    let accounts: Vec<AccountId> = draws.iter().map(|d| d.account.clone()).collect();
    let frame = ToHolder::Draw {
        draws: draws.into_iter().map(Into::into).collect(),
    };
    let is_sent = shared.session(zone).is_some_and(|s| s.send(&frame));
    if is_sent {
        return;
    }
    for account in &accounts {
        let mut allowances = shared.quotas.allowances.borrow_mut();
        allowances.on_no_reply(Shared::now(), zone, account);
        drop(allowances);
        shared.quotas.notify(account);
    }
}

/// Applies the replies of a zone's holder.
pub(crate) fn on_replies(shared: &Shared, zone: &ZoneId, replies: &[DrawReply]) {
    for reply in replies {
        {
            let mut allowances = shared.quotas.allowances.borrow_mut();
            allowances.on_reply(Shared::now(), zone, reply);
        }
        if reply.granted > 0.0 && reply.granted.is_finite() {
            let metrics = &shared.metrics;
            metrics.record_quota(&reply.account, "drawn", reply.granted);
        }
        shared.quotas.notify(&reply.account);
    }
}
