//! [`Allowances`]: what an instance may admit before it asks a pool again.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use caraway_types::{AccountId, ZoneId};

use crate::{
    Account, AccountDirectory, Draw, DrawReply, QuotaBounds,
    allowance::{AccountAllowance, AllowanceStatus, Decision},
};

/// Time within which a holder answers a draw. A holder of an older build never does.
pub(crate) const REPLY_TIMEOUT: Duration = Duration::from_millis(100);
/// Time for which a holder that did not answer is not asked again.
const SILENCE_RETENTION: Duration = Duration::from_secs(1);

/// Settings of the allowances of an instance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AllowanceSettings {
    /// How far the requests of an account may exceed its quota.
    pub bounds: QuotaBounds,
    /// Random number from 0 to 1 that places the turns of an instance that reaches no holder, so
    /// that many such instances don't admit requests at the same time.
    pub turn_offset: f64,
}

/// Whether a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request may run; its cost is charged.
    Admitted,
    /// A draw for the account is under way. The caller asks again when its reply has arrived.
    Pending,
    /// The quota is used up.
    Refused {
        /// Time after which there is allowance.
        retry_after: Duration,
    },
}

/// What an instance has to do for its allowances.
#[derive(Clone, Debug, PartialEq)]
pub enum AllowanceAction {
    /// Send a draw to the holder of a zone. Draws to one zone are sent and answered in order.
    Draw {
        /// The zone.
        zone: ZoneId,
        /// The draw.
        draw: Draw,
    },
}

/// What an instance may admit before it asks a pool again, for each account.
#[derive(Clone, Debug)]
pub struct Allowances {
    own_zone: ZoneId,
    settings: AllowanceSettings,
    accounts: HashMap<AccountId, AccountAllowance>,
    /// Zones whose holder did not answer a draw, and until when they are not asked.
    silent: HashMap<ZoneId, Instant>,
    actions: Vec<AllowanceAction>,
}

impl Allowances {
    /// Creates the allowances of an instance in `own_zone`; there are none yet.
    #[must_use]
    pub fn new(own_zone: ZoneId, settings: AllowanceSettings) -> Self {
        Self {
            own_zone,
            settings,
            accounts: HashMap::new(),
            silent: HashMap::new(),
            actions: Vec::new(),
        }
    }

    /// Applies the accounts of a new configuration.
    pub fn set_accounts(&mut self, now: Instant, accounts: &AccountDirectory) {
        self.accounts.retain(|name, allowance| {
            let quota = accounts.get(name).and_then(|a| a.quota);
            if let Some(quota) = &quota {
                allowance.set_quota(quota);
            }
            quota.is_some()
        });
        self.silent.retain(|_, until| *until > now);
    }

    /// Decides on a request that costs `cost`, and charges it if it is admitted. `reachable` names
    /// the zones whose holder can be asked, the instance's own zone first; `instances` is the number
    /// of instances of the deployment.
    pub fn admit(
        &mut self,
        now: Instant,
        account: &Account,
        cost: f64,
        reachable: &[ZoneId],
        instances: usize,
    ) -> Admission {
        let Some(quota) = account.quota.filter(|_| cost > 0.0) else {
            return Admission::Admitted;
        };
        let allowance = match self.accounts.get_mut(&account.name) {
            Some(allowance) => allowance,
            None => self
                .accounts
                .entry(account.name.clone())
                .or_insert_with(|| AccountAllowance::new(now, account.name.clone(), quota)),
        };
        allowance.set_quota(&quota);
        if let Some(zone) = allowance.overdue(now) {
            self.silent.insert(zone, now + SILENCE_RETENTION);
        }
        let silent = &self.silent;
        let is_silent = |z: &ZoneId| silent.get(z).is_some_and(|until| now < *until);
        let mut zones = reachable.iter().filter(|z| !is_silent(z)).peekable();
        if allowance.is_too_large(cost, &self.settings.bounds) {
            return allowance.refuse(cost, self.settings.bounds.window);
        }
        if zones.peek().is_none() && !allowance.is_drawing() {
            return allowance.admit_solo(now, cost, instances, &self.settings);
        }
        match allowance.admit(now, cost, zones) {
            Decision::Admitted { draw } => {
                self.actions.extend(draw);
                Admission::Admitted
            }
            Decision::Pending { draw } => {
                self.actions.extend(draw);
                Admission::Pending
            }
            Decision::Refused { retry_after, draw } => {
                self.actions.extend(draw);
                allowance.refuse(cost, retry_after)
            }
        }
    }

    /// Applies the reply of a zone's holder.
    pub fn on_reply(&mut self, now: Instant, zone: &ZoneId, reply: &DrawReply) {
        self.silent.remove(zone);
        if let Some(allowance) = self.accounts.get_mut(&reply.account) {
            allowance.on_reply(now, zone, reply);
        }
    }

    /// Records that the holder of a zone did not answer a draw in time, or was lost. Waiting
    /// requests ask again afterwards.
    pub fn on_no_reply(&mut self, now: Instant, zone: &ZoneId, account: &AccountId) {
        let allowance = self.accounts.get_mut(account);
        if allowance.is_some_and(|a| a.on_no_reply(zone)) {
            self.silent.insert(zone.clone(), now + SILENCE_RETENTION);
        }
    }

    /// Gives back the cost of a request that was admitted at `admitted_at` and certainly did not
    /// run. It is returned to a pool, as other instances may need it.
    pub fn refund(&mut self, now: Instant, account: &AccountId, cost: f64, admitted_at: Instant) {
        let Some(allowance) = self.accounts.get_mut(account) else {
            return;
        };
        let age = now.saturating_duration_since(admitted_at);
        if cost > 0.0 && age <= self.settings.bounds.refund_age(allowance.quota()) {
            let own_zone = &self.own_zone;
            let is_silent = |z: &ZoneId| self.silent.get(z).is_some_and(|until| now < *until);
            let draw = allowance.refund(now, cost, own_zone, is_silent);
            self.actions.extend(draw);
        }
    }

    /// Returns the draws to send since the last call.
    pub fn take_actions(&mut self) -> Vec<AllowanceAction> {
        std::mem::take(&mut self.actions)
    }

    /// Returns the state of an account; `None` if no request of it had a cost yet.
    #[must_use]
    pub fn status(&self, now: Instant, account: &AccountId) -> Option<AllowanceStatus> {
        self.accounts.get(account).map(|a| a.status(now))
    }
}
