//! [`AccountAllowance`]: the allowance of one account at an instance.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use caraway_types::{AccountId, ZoneId};

use crate::{
    Admission, AllowanceAction, AllowanceSettings, Draw, DrawReply, Quota, QuotaBounds,
    allowances::REPLY_TIMEOUT,
    lots::{ALLOWANCE_LIFETIME, Lots},
    solo::SoloShare,
    spending::Spending,
};

/// Time for which a pool that denied a draw counts as scarce: nothing is drawn from it in advance, as
/// unused allowance would be lost to the other instances.
const SCARCE_TIME: Duration = Duration::from_secs(1);
/// Longest time for which an instance relies on a denial. A pool may fill earlier than it stated if
/// instances return allowance or its holder changes.
const MAX_DENIAL: Duration = Duration::from_secs(2);
/// Longest time of a denial that is believed, so that times don't overflow.
const MAX_RETRY: Duration = Duration::from_hours(1);
/// Shortest time between two returns of refunds, so that a series of refused requests does not cost
/// a message each.
const RETURN_INTERVAL: Duration = Duration::from_millis(50);
/// Number of requests per period from which allowance is drawn in advance. With fewer, most of it
/// would expire.
const ADVANCE_REQUESTS: f64 = 4.0;

/// State of an account at an instance, for metrics and logs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AllowanceStatus {
    /// Units that can be spent without a draw.
    pub available: f64,
    /// When the latest grant was drawn; `None` if there was none.
    pub drawn_at: Option<Instant>,
    /// Whether the last request was refused.
    pub is_exhausted: bool,
    /// Whether the last request found no holder that can be asked.
    pub is_solo: bool,
    /// Units spent since the account was first used, refunds not deducted.
    pub spent: f64,
    /// Units drawn since the account was first used.
    pub drawn: f64,
    /// Cost of the requests refused since the account was first used.
    pub refused: f64,
}

/// What to do with a request.
#[derive(Debug)]
pub(crate) enum Decision {
    /// It may run.
    Admitted { draw: Option<AllowanceAction> },
    /// It waits for a reply.
    Pending { draw: Option<AllowanceAction> },
    /// The quota is used up; `draw` returns what was drawn for the request.
    Refused {
        retry_after: Duration,
        draw: Option<AllowanceAction>,
    },
}

/// A draw whose reply has not arrived.
#[derive(Clone, Debug)]
struct SentDraw {
    zone: ZoneId,
    sent_at: Instant,
    /// Whether it only returns allowance, so that no request waits for its reply.
    is_return: bool,
}

/// A denial of a zone's pool.
#[derive(Clone, Debug)]
struct Denial {
    zone: ZoneId,
    denied_at: Instant,
    /// When the pool has allowance again.
    until: Instant,
}

impl Denial {
    /// Returns whether the zone need not be asked.
    fn holds(&self, now: Instant) -> bool {
        now < self.until.min(self.denied_at + MAX_DENIAL)
    }
}

/// The allowance of one account at an instance.
#[derive(Clone, Debug)]
pub(crate) struct AccountAllowance {
    name: AccountId,
    quota: Quota,
    lots: Lots,
    spending: Spending,
    sent: VecDeque<SentDraw>,
    /// Zone of the draw for which requests wait.
    open: Option<ZoneId>,
    /// Units of the open draw for requests that have not asked again since the last reply.
    covered: f64,
    /// Cost of the requests that wait for the open draw and are not part of it.
    waiting: f64,
    /// When the last request began to wait.
    waiting_at: Option<Instant>,
    denials: Vec<Denial>,
    /// Refunds that have not been returned to a pool.
    refunds: Lots,
    returned_at: Option<Instant>,
    solo: Option<SoloShare>,
    status: AllowanceStatus,
}

impl AccountAllowance {
    pub(crate) fn new(now: Instant, name: AccountId, quota: Quota) -> Self {
        Self {
            name,
            quota,
            lots: Lots::default(),
            spending: Spending::new(now),
            sent: VecDeque::new(),
            open: None,
            covered: 0.0,
            waiting: 0.0,
            waiting_at: None,
            denials: Vec::new(),
            refunds: Lots::default(),
            returned_at: None,
            solo: None,
            status: AllowanceStatus::default(),
        }
    }

    pub(crate) fn quota(&self) -> &Quota {
        &self.quota
    }

    /// Applies a changed quota: denials no longer hold, and units of another kind are worthless.
    pub(crate) fn set_quota(&mut self, quota: &Quota) {
        if self.quota == *quota {
            return;
        }
        if !self.quota.unit_kind_eq(Some(*quota)) {
            self.lots = Lots::default();
            self.refunds = Lots::default();
            self.sent.clear();
            self.open = None;
        }
        self.denials.clear();
        self.quota = *quota;
    }

    pub(crate) fn status(&self, now: Instant) -> AllowanceStatus {
        let mut lots = self.lots.clone();
        lots.expire(now);
        AllowanceStatus {
            available: lots.available(),
            ..self.status
        }
    }

    pub(crate) fn is_drawing(&self) -> bool {
        self.open.is_some()
    }

    /// Returns whether a request costs more than full pools of all zones can grant at once.
    pub(crate) fn is_too_large(&self, cost: f64, bounds: &QuotaBounds) -> bool {
        cost > bounds.largest_cost(&self.quota)
    }

    /// Records a refusal.
    pub(crate) fn refuse(&mut self, cost: f64, retry_after: Duration) -> Admission {
        self.status.refused += cost;
        self.status.is_exhausted = true;
        Admission::Refused { retry_after }
    }

    /// Gives up the open draw if its reply is overdue and returns its zone.
    pub(crate) fn overdue(&mut self, now: Instant) -> Option<ZoneId> {
        let open = self.open.as_ref()?;
        let sent = self.sent.iter().rfind(|s| s.zone == *open && !s.is_return);
        let is_overdue = sent.is_none_or(|s| now >= s.sent_at + REPLY_TIMEOUT);
        self.open.take_if(|_| is_overdue)
    }

    /// Decides on a request; `zones` are those that can be asked, in the order of preference.
    pub(crate) fn admit<'a>(
        &mut self,
        now: Instant,
        cost: f64,
        zones: impl Iterator<Item = &'a ZoneId>,
    ) -> Decision {
        self.status.is_solo = false;
        self.solo = None;
        self.expire(now);
        if self.spend(now, cost) {
            let draw = self.advance_draw(now, cost, zones);
            return Decision::Admitted { draw };
        }
        let need = cost - self.lots.available() - self.refunds.available();
        if self.open.is_some() {
            let covered = cost.min(self.covered);
            self.covered -= covered;
            self.waiting += cost - covered;
            self.waiting_at = Some(now);
            return Decision::Pending { draw: None };
        }
        let mut first: Option<(Instant, &ZoneId)> = None;
        for zone in zones {
            let denial = self.denials.iter().find(|d| d.zone == *zone);
            let Some(denial) = denial.filter(|d| d.holds(now)) else {
                let ahead = self.advance(now).filter(|_| !self.is_scarce(now, zone));
                self.covered = std::mem::take(&mut self.waiting);
                let amount = ahead.unwrap_or(0.0).max(need + self.covered);
                let draw = self.draw(now, zone, amount, need);
                return Decision::Pending { draw: Some(draw) };
            };
            if first.is_none_or(|(until, _)| denial.until < until) {
                first = Some((denial.until, zone));
            }
        }
        let Some((until, zone)) = first else {
            return Decision::Refused {
                retry_after: MAX_DENIAL,
                draw: None,
            };
        };
        Decision::Refused {
            retry_after: until - now,
            draw: self.return_unused(now, zone),
        }
    }

    /// Returns allowance that did not suffice for a request, so that it does not expire here.
    fn return_unused(&mut self, now: Instant, zone: &ZoneId) -> Option<AllowanceAction> {
        let unused = std::mem::take(&mut self.lots).available();
        (unused > 0.0).then(|| {
            self.push_sent(now, zone, true);
            AllowanceAction::Draw {
                zone: zone.clone(),
                draw: self.new_draw(0.0, 0.0, unused),
            }
        })
    }

    /// Decides on a request while no holder can be asked.
    pub(crate) fn admit_solo(
        &mut self,
        now: Instant,
        cost: f64,
        instances: usize,
        settings: &AllowanceSettings,
    ) -> Admission {
        self.status.is_solo = true;
        self.expire(now);
        if self.spend(now, cost) {
            return Admission::Admitted;
        }
        let rate = settings.bounds.solo_rate(&self.quota, instances);
        let offset = settings.turn_offset;
        let solo = self
            .solo
            .get_or_insert_with(|| SoloShare::new(now, cost, rate, offset));
        if let Err(retry_after) = solo.admit(now, cost, rate) {
            return self.refuse(cost, retry_after);
        }
        self.status.spent += cost;
        self.status.is_exhausted = false;
        Admission::Admitted
    }

    /// Applies the reply of a zone's holder.
    pub(crate) fn on_reply(&mut self, now: Instant, zone: &ZoneId, reply: &DrawReply) {
        // A reply without a draw, or to one from before a pause of this process, grants nothing:
        // its age is unknown.
        let Some(at) = self.sent.iter().position(|s| s.zone == *zone) else {
            return;
        };
        let Some(sent) = self.sent.remove(at) else {
            return;
        };
        if !sent.is_return && self.open.as_ref() == Some(zone) {
            self.open = None;
        }
        if reply.granted > 0.0 && reply.granted.is_finite() {
            self.lots
                .add(reply.granted, sent.sent_at + ALLOWANCE_LIFETIME);
            self.status.drawn += reply.granted;
            self.status.drawn_at = Some(sent.sent_at);
            return;
        }
        if !sent.is_return {
            self.denials.retain(|d| d.zone != *zone);
            self.denials.push(Denial {
                zone: zone.clone(),
                denied_at: now,
                until: now + reply.retry_after.min(MAX_RETRY),
            });
        }
    }

    /// Gives up the open draw if it was sent to `zone`; returns whether it was.
    pub(crate) fn on_no_reply(&mut self, zone: &ZoneId) -> bool {
        self.open.take_if(|z| z == zone).is_some()
    }

    /// Takes back the cost of a request; returns a draw that returns the refunds to a pool, one
    /// that is short of allowance if there is one.
    pub(crate) fn refund(
        &mut self,
        now: Instant,
        cost: f64,
        own_zone: &ZoneId,
        is_silent: impl Fn(&ZoneId) -> bool,
    ) -> Option<AllowanceAction> {
        self.expire(now);
        self.spending.take_back(now, cost);
        self.refunds.add(cost, now + ALLOWANCE_LIFETIME);
        if self
            .returned_at
            .is_some_and(|at| now < at + RETURN_INTERVAL)
        {
            return None;
        }
        let mut denials = self.denials.iter().filter(|d| d.holds(now));
        let denied = denials.find(|d| !is_silent(&d.zone)).map(|d| &d.zone);
        let zone = denied.unwrap_or(own_zone).clone();
        if is_silent(&zone) {
            return None;
        }
        let returned = self.take_refunds(now);
        self.push_sent(now, &zone, true);
        Some(AllowanceAction::Draw {
            zone,
            draw: self.new_draw(0.0, 0.0, returned),
        })
    }

    /// Charges a request if there is enough allowance.
    fn spend(&mut self, now: Instant, cost: f64) -> bool {
        if !self.lots.spend(cost) {
            // Refunds of this instance are used before another draw.
            let available = self.lots.available();
            if available + self.refunds.available() < cost {
                return false;
            }
            self.refunds.spend(cost - available);
            self.lots = Lots::default();
        }
        self.spending.record(now, cost);
        self.status.spent += cost;
        self.status.is_exhausted = false;
        true
    }

    /// Returns a draw in advance if there is little allowance left.
    fn advance_draw<'a>(
        &mut self,
        now: Instant,
        cost: f64,
        mut zones: impl Iterator<Item = &'a ZoneId>,
    ) -> Option<AllowanceAction> {
        if self.open.is_some() {
            return None;
        }
        let amount = self.advance(now)?;
        if self.lots.available() >= amount / 2.0 {
            return None;
        }
        let zone = zones.find(|z| !self.is_scarce(now, z))?;
        Some(self.draw(now, zone, amount, cost))
    }

    /// Returns what to draw in advance; `None` if the account is used too little at this instance.
    fn advance(&mut self, now: Instant) -> Option<f64> {
        let recent = self.spending.recent(now);
        (recent.requests >= ADVANCE_REQUESTS).then_some(recent.units)
    }

    /// Returns whether the pool of a zone denied a draw lately.
    fn is_scarce(&self, now: Instant, zone: &ZoneId) -> bool {
        let mut denials = self.denials.iter();
        denials.any(|d| d.zone == *zone && now < d.denied_at + SCARCE_TIME)
    }

    fn draw(&mut self, now: Instant, zone: &ZoneId, amount: f64, least: f64) -> AllowanceAction {
        self.push_sent(now, zone, false);
        self.open = Some(zone.clone());
        AllowanceAction::Draw {
            zone: zone.clone(),
            draw: self.new_draw(amount, least, 0.0),
        }
    }

    fn new_draw(&self, amount: f64, least: f64, returned: f64) -> Draw {
        Draw {
            account: self.name.clone(),
            amount,
            least,
            returned,
        }
    }

    fn push_sent(&mut self, now: Instant, zone: &ZoneId, is_return: bool) {
        self.sent.push_back(SentDraw {
            zone: zone.clone(),
            sent_at: now,
            is_return,
        });
    }

    fn take_refunds(&mut self, now: Instant) -> f64 {
        self.returned_at = Some(now);
        let refunds = std::mem::take(&mut self.refunds);
        refunds.available()
    }

    fn expire(&mut self, now: Instant) {
        self.lots.expire(now);
        self.refunds.expire(now);
        // What a reply to an older draw grants has expired.
        self.sent.retain(|s| now < s.sent_at + ALLOWANCE_LIFETIME);
        // Requests that have waited for longer have given up.
        if self
            .waiting_at
            .is_some_and(|at| now >= at + ALLOWANCE_LIFETIME)
        {
            self.waiting = 0.0;
        }
    }
}
