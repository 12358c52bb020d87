//! The allowances of an instance. Each test names the excess, refusal or message flood that it
//! guards against.

#![expect(clippy::float_cmp, reason = "the values are exact in binary")]

mod common;

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use caraway_accounts::{
    Account, Admission, AllowanceAction, AllowanceSettings, Allowances, Draw, DrawReply, QuotaPool,
};
use caraway_types::ZoneId;
use common::{BOUNDS, account, directory};

const MS: Duration = Duration::from_millis(1);

struct Instance {
    now: Instant,
    account: Account,
    zones: Vec<ZoneId>,
    allowances: Allowances,
}

impl Instance {
    fn new(rate: f64, zones: &[&str]) -> Self {
        let settings = AllowanceSettings {
            bounds: BOUNDS,
            turn_offset: 0.5,
        };
        Self {
            now: Instant::now(),
            account: account("a", rate, rate),
            zones: zones.iter().map(|z| (*z).into()).collect(),
            allowances: Allowances::new("east".into(), settings),
        }
    }

    fn admit(&mut self, cost: f64) -> Admission {
        self.allowances
            .admit(self.now, &self.account, cost, &self.zones, 4)
    }

    /// Returns the only draw that is to be sent.
    fn draw(&mut self) -> (ZoneId, Draw) {
        let actions = self.allowances.take_actions();
        let [AllowanceAction::Draw { zone, draw }] = &actions[..] else {
            panic!("expected one draw: {actions:?}");
        };
        (zone.clone(), draw.clone())
    }

    fn reply(&mut self, zone: &str, granted: f64, retry_after: Duration) {
        let reply = DrawReply {
            account: "a".into(),
            granted,
            retry_after,
        };
        self.allowances.on_reply(self.now, &zone.into(), &reply);
    }
}

fn refused(admission: Admission) -> Duration {
    match admission {
        Admission::Refused { retry_after } => retry_after,
        other => panic!("expected a refusal: {other:?}"),
    }
}

/// Fails if one message is sent for each waiting request, or their allowance is drawn twice.
#[test]
fn waiting_requests_share_a_draw() {
    let mut i = Instance::new(1000.0, &["east", "west"]);
    assert_eq!(i.admit(60.0), Admission::Pending);
    let (zone, draw) = i.draw();
    assert_eq!((&*zone, draw.least), ("east", 60.0));
    assert_eq!(i.admit(70.0), Admission::Pending);
    assert_eq!(i.admit(80.0), Admission::Pending);
    assert!(i.allowances.take_actions().is_empty());
    i.reply("east", 60.0, Duration::ZERO);
    assert_eq!(i.admit(60.0), Admission::Admitted);
    assert_eq!(i.admit(70.0), Admission::Pending);
    let (_, draw) = i.draw();
    assert_eq!((draw.amount, draw.least), (220.0, 70.0));
    assert_eq!(i.admit(80.0), Admission::Pending);
    i.reply("east", 220.0, Duration::ZERO);
    assert_eq!(i.admit(70.0), Admission::Admitted);
    assert_eq!(i.admit(80.0), Admission::Admitted);
}

/// Fails if a request is refused while another zone has allowance, or a flood costs messages.
#[test]
fn all_zones_are_asked_before_a_refusal_and_none_during_a_flood() {
    let mut i = Instance::new(1000.0, &["east", "west"]);
    assert_eq!(i.admit(60.0), Admission::Pending);
    i.draw();
    i.reply("east", 0.0, 700 * MS);
    assert_eq!(i.admit(60.0), Admission::Pending);
    assert_eq!(&*i.draw().0, "west");
    i.reply("west", 0.0, 300 * MS);
    assert_eq!(
        refused(i.admit(60.0)),
        300 * MS,
        "the first pool that fills"
    );
    i.now += 100 * MS;
    for _ in 0..1000 {
        assert_eq!(refused(i.admit(60.0)), 200 * MS);
    }
    assert!(i.allowances.take_actions().is_empty());
    i.now += 200 * MS;
    assert_eq!(i.admit(60.0), Admission::Pending, "the time has come");
    assert_eq!(&*i.draw().0, "west");
    i.reply("west", 60.0, Duration::ZERO);
    assert_eq!(i.admit(60.0), Admission::Admitted);

    let raised = account("a", 2000.0, 2000.0);
    i.allowances
        .set_accounts(i.now, &directory(std::slice::from_ref(&raised)));
    i.account = raised;
    assert_eq!(i.admit(60.0), Admission::Pending);
    assert_eq!(&*i.draw().0, "east", "a raised quota ends the denials");
}

/// Fails if allowance outlives its 500 ms, counted from the draw: a paused process would spend it
/// in a later window.
#[test]
fn allowance_expires_after_its_lifetime() {
    let mut i = Instance::new(1000.0, &["east"]);
    assert_eq!(i.admit(60.0), Admission::Pending);
    i.draw();
    i.now += 90 * MS;
    i.reply("east", 200.0, Duration::ZERO);
    assert_eq!(i.admit(60.0), Admission::Admitted);
    i.now += 405 * MS;
    assert_eq!(i.admit(60.0), Admission::Admitted);
    i.now += 5 * MS;
    assert_eq!(i.admit(60.0), Admission::Pending, "500 ms after the draw");
    i.draw();
    i.now += Duration::from_secs(7);
    i.reply("east", 200.0, Duration::ZERO);
    assert_eq!(i.admit(60.0), Admission::Pending, "a reply after a pause");
}

/// Fails if a busy account waits for a draw at each request, or an idle one draws in advance.
#[test]
fn a_busy_account_draws_in_advance() {
    let mut i = Instance::new(1e6, &["east"]);
    // The first four requests make the account a busy one.
    let (mut pending, mut draws) = (0, 0);
    for _ in 0..1000 {
        if i.admit(100.0) == Admission::Pending {
            pending += 1;
        }
        for AllowanceAction::Draw { draw, .. } in i.allowances.take_actions() {
            draws += 1;
            i.reply("east", draw.amount, Duration::ZERO);
        }
        i.now += MS;
    }
    assert!(
        pending <= 4 && draws <= 20,
        "{pending} waited, {draws} draws"
    );
    let status = i.allowances.status(i.now, &"a".into()).expect("used");
    let lost = status.drawn - status.spent - status.available;
    assert!(lost < 0.02 * status.spent, "{status:?}");
}

/// Fails if a holder of an older build, which never answers, delays every request.
#[test]
fn a_silent_holder_is_not_asked_for_a_second() {
    let mut i = Instance::new(1000.0, &["east", "west"]);
    assert_eq!(i.admit(60.0), Admission::Pending);
    assert_eq!(&*i.draw().0, "east");
    i.now += 100 * MS;
    i.allowances.on_no_reply(i.now, &"east".into(), &"a".into());
    assert_eq!(i.admit(60.0), Admission::Pending);
    assert_eq!(&*i.draw().0, "west");
    i.reply("west", 0.0, 5000 * MS);
    assert!(refused(i.admit(60.0)) > 4 * Duration::from_secs(1));
    i.now += 1001 * MS;
    assert_eq!(i.admit(60.0), Admission::Pending);
    assert_eq!(&*i.draw().0, "east");
    i.now += 101 * MS;
    // The caller forgot to report it; west still denies.
    assert!(refused(i.admit(60.0)) > 3 * Duration::from_secs(1));
}

/// Fails if instances without a holder use more than their part of the margin together.
#[test]
fn instances_without_a_holder_share_a_part_of_the_margin() {
    let mut spent = 0.0;
    for _ in 0..4 {
        let mut i = Instance::new(20_000.0, &[]);
        for _ in 0..8000 {
            if i.admit(500.0) == Admission::Admitted {
                spent += 500.0;
            }
            i.now += MS;
        }
    }
    // An eighth of the margin of the window: 0.1 of 180,000 units, and 72,000.
    assert!((6_000.0..=14_000.0).contains(&spent), "{spent}");
}

/// Fails if a request that did not run is charged, or old refunds add up to a burst.
#[test]
fn refunds_are_returned_to_a_pool() {
    let mut i = Instance::new(100_000.0, &["east", "west"]);
    assert_eq!(i.admit(600.0), Admission::Pending);
    i.draw();
    i.reply("east", 600.0, Duration::ZERO);
    assert_eq!(i.admit(600.0), Admission::Admitted);
    let (admitted_at, name) = (i.now, "a".into());
    i.now += 200 * MS;
    i.allowances.refund(i.now, &name, 600.0, admitted_at);
    let (zone, draw) = i.draw();
    assert_eq!((&*zone, draw.amount, draw.returned), ("east", 0.0, 600.0));
    i.reply("east", 0.0, Duration::ZERO);
    // A second one within 50 ms is kept for the next request of this instance.
    i.allowances.refund(i.now, &name, 600.0, admitted_at);
    assert!(i.allowances.take_actions().is_empty());
    assert_eq!(i.admit(600.0), Admission::Admitted);
    i.allowances.take_actions();
    i.now += Duration::from_secs(9);
    i.allowances.refund(i.now, &name, 600.0, admitted_at);
    assert!(i.allowances.take_actions().is_empty(), "of a former window");
}

/// Fails if a cost that is 0, huge or no number leads to a panic or to a grant.
#[test]
fn odd_costs_are_decided() {
    let mut i = Instance::new(1000.0, &["east"]);
    for cost in [0.0, -1.0, f64::NAN] {
        assert_eq!(i.admit(cost), Admission::Admitted);
    }
    for cost in [8.6e9, f64::MAX, f64::INFINITY] {
        assert_eq!(refused(i.admit(cost)), BOUNDS.window, "never within it");
    }
    assert!(i.allowances.take_actions().is_empty());
    for rate in [f64::MIN_POSITIVE, 1e-300, f64::MAX] {
        let mut i = Instance::new(rate, &["east"]);
        assert_eq!(i.admit(1.0), Admission::Pending);
        i.reply("east", f64::NAN, Duration::MAX);
        i.zones.clear();
        i.admit(1.0);
        i.allowances.refund(i.now, &"a".into(), 1.0, i.now);
    }
    i.account.quota = None;
    assert_eq!(i.admit(1e9), Admission::Admitted, "no limit");
}

/// Fails if allowance is drawn in advance, and expires unused, for requests that do not run.
#[test]
fn nothing_is_drawn_in_advance_for_requests_that_did_not_run() {
    let mut i = Instance::new(18_000.0, &["east"]);
    let mut drawn = 0.0;
    let mut grant = |i: &mut Instance| {
        for AllowanceAction::Draw { zone, draw } in i.allowances.take_actions() {
            drawn += draw.amount - draw.returned;
            i.reply(&zone, draw.amount, Duration::ZERO);
        }
    };
    for _ in 0..40 {
        i.now += MS * 5;
        while i.admit(100.0) == Admission::Pending {
            grant(&mut i);
        }
        grant(&mut i);
        i.allowances.refund(i.now, &"a".into(), 100.0, i.now);
        grant(&mut i);
    }
    assert!(drawn <= 200.0, "{drawn} for one request at a time");
}

/// Fails if a large request that gets only a part of its cost keeps that part until it expires: a
/// small account in a large fleet lost an eighth of its quota.
#[test]
fn a_refused_request_returns_what_was_drawn_for_it() {
    let mut i = Instance::new(50_000.0, &["east", "west"]);
    assert_eq!(i.admit(9000.0), Admission::Pending);
    i.draw();
    i.reply("east", 7000.0, Duration::ZERO);
    for zone in ["east", "west"] {
        assert_eq!(i.admit(9000.0), Admission::Pending);
        assert_eq!(i.draw().1.least, 2000.0);
        i.reply(zone, 0.0, 300 * MS);
    }
    refused(i.admit(9000.0));
    let (_, draw) = i.draw();
    assert_eq!((draw.amount, draw.returned), (0.0, 7000.0));
    let name = "a".into();
    assert_eq!(
        i.allowances.status(i.now, &name).expect("used").available,
        0.0
    );
}

/// Fails if a refused caller is told a time at which there is no allowance yet.
#[test]
fn a_caller_that_returns_at_the_stated_time_is_admitted() {
    let mut i = Instance::new(18_000.0, &["east", "west", "north"]);
    let accounts = directory(std::slice::from_ref(&i.account));
    let mut pools = i.zones.clone().into_iter().map(|zone| {
        let mut pool = QuotaPool::new(3, BOUNDS);
        pool.set_accounts(i.now, &accounts);
        (zone, pool)
    });
    let mut pools: HashMap<ZoneId, QuotaPool> = pools.by_ref().collect();
    let mut ask = |i: &mut Instance, cost| loop {
        let admission = i.admit(cost);
        for AllowanceAction::Draw { zone, draw } in i.allowances.take_actions() {
            let pool = pools.get_mut(&zone).expect("a zone");
            let reply = pool.draw(i.now, &draw);
            i.allowances.on_reply(i.now, &zone, &reply);
        }
        if admission != Admission::Pending {
            break admission;
        }
    };
    let mut returned = 0;
    for round in 0..300 {
        let cost = if round % 9 == 0 { 9242.0 } else { 714.0 };
        i.now += 5 * MS;
        // A flood, of which only the last caller returns.
        let flood = (0..20).filter_map(|_| match ask(&mut i, cost) {
            Admission::Refused { retry_after } => Some(retry_after),
            _ => None,
        });
        if let Some(retry_after) = flood.last() {
            i.now += retry_after;
            assert_eq!(ask(&mut i, 714.0), Admission::Admitted, "round {round}");
            returned += 1;
        }
    }
    assert!(returned > 200, "{returned}");
}
