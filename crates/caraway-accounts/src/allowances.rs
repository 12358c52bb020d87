//! [`Allowances`]: what an instance may admit before it asks a pool again.

use std::time::{Duration, Instant};

use caraway_types::{AccountId, ZoneId};

use crate::{Account, AccountDirectory, Draw, DrawReply, QuotaBounds};

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
    /// Send a draw to the holder of a zone.
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
    actions: Vec<AllowanceAction>,
}

impl Allowances {
    /// Creates the allowances of an instance in `own_zone`; there are none yet.
    #[must_use]
    pub fn new(own_zone: ZoneId, settings: AllowanceSettings) -> Self {
        Self {
            own_zone,
            settings,
            actions: Vec::new(),
        }
    }

    /// Applies the accounts of a new configuration.
    pub fn set_accounts(&mut self, now: Instant, accounts: &AccountDirectory) {
        let _ = (now, accounts, self.settings);
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
        let _ = (now, account, cost, reachable, instances, &self.own_zone);
        Admission::Admitted
    }

    /// Applies the reply of a zone's holder.
    pub fn on_reply(&mut self, now: Instant, zone: &ZoneId, reply: &DrawReply) {
        let _ = (now, zone, reply, &mut self.actions);
    }

    /// Records that the holder of a zone did not answer a draw in time.
    pub fn on_no_reply(&mut self, now: Instant, zone: &ZoneId, account: &AccountId) {
        let _ = (now, zone, account, &mut self.actions);
    }

    /// Gives back the cost of a request that was admitted at `admitted_at` and certainly did not
    /// run.
    pub fn refund(&mut self, now: Instant, account: &AccountId, cost: f64, admitted_at: Instant) {
        let _ = (now, account, cost, admitted_at, &mut self.actions);
    }

    /// Returns the draws to send since the last call.
    pub fn take_actions(&mut self) -> Vec<AllowanceAction> {
        std::mem::take(&mut self.actions)
    }
}
