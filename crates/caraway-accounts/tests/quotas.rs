//! Quotas over a whole fleet in virtual time, with faults: no window exceeds its bound, and requests
//! within a quota are admitted.

mod common;
mod fleet;

use fleet::{Fault, Fleet, load::Load};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const ACCOUNTS: usize = 16;
/// Length of a run, in seconds: more than two windows.
const TIME: f64 = 15.0;

/// What the seeds of a case showed.
#[derive(Default)]
struct Case {
    /// Largest use of a window's bound.
    bound: f64,
    /// What each account asked for within its quota, and what was admitted, over all seeds. Single
    /// requests of small accounts are up to a tenth of what they ask for in one seed.
    usual: Vec<(f64, f64)>,
    /// The same of the accounts that were hot.
    hot: (f64, f64),
    draws: f64,
    requests: u64,
}

impl Case {
    /// Returns the admitted part of the account with the lowest one.
    fn worst(&self) -> f64 {
        let parts = self
            .usual
            .iter()
            .map(|(within, admitted)| admitted / within);
        parts.fold(1.0, f64::min)
    }

    fn hot(&self) -> f64 {
        self.hot.1 / self.hot.0
    }
}

/// Runs a case with several seeds and prints what it showed.
fn run(name: &str, instances: usize, seeds: u64, set_up: impl Fn(&mut Fleet)) -> Case {
    let zones = if instances > 100 { 7 } else { 3 };
    let mut case = Case {
        usual: vec![(0.0, 0.0); ACCOUNTS],
        ..Case::default()
    };
    for seed in 0..seeds {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let load = Load::new(instances, zones, ACCOUNTS);
        let mut fleet = Fleet::new(rng, instances, zones, load);
        set_up(&mut fleet);
        fleet.run(TIME);
        let bound = fleet.outcome.use_of_bound(&fleet.load);
        assert!(bound <= 1.0, "{name}, seed {seed}: {bound} of the bound");
        case.bound = case.bound.max(bound);
        for account in 0..ACCOUNTS {
            let (within, admitted) = fleet.outcome.admitted(account);
            let is_hot = fleet.load.hot == Some(account);
            let sums = if is_hot {
                &mut case.hot
            } else {
                &mut case.usual[account]
            };
            *sums = (sums.0 + within, sums.1 + admitted);
        }
        case.draws = case.draws.max(fleet.outcome.draw_rate());
        case.requests += fleet.outcome.asked;
    }
    println!(
        "{name}, {instances} instances, {seeds} seeds, {} requests: {:.3} of the bound, worst account \
         {:.4}, hot {:.4}, {:.1} draws/s per instance",
        case.requests,
        case.bound,
        case.worst(),
        case.hot(),
        case.draws
    );
    case
}

#[test]
fn even_load_is_admitted() {
    for (instances, seeds) in [(8, 60), (61, 50), (83, 50), (385, 4)] {
        let case = run("even", instances, seeds, |_| {});
        assert!(case.worst() >= 0.97, "{}", case.worst());
    }
}

#[test]
fn load_at_one_instance_is_admitted() {
    for (instances, seeds) in [(8, 60), (61, 50), (83, 50), (385, 4)] {
        let case = run("uneven", instances, seeds, |f| f.load.is_uneven = true);
        assert!(case.worst() >= 0.95, "{}", case.worst());
    }
}

#[test]
fn a_hot_account_gets_its_quota() {
    for (instances, seeds) in [(8, 60), (61, 40), (83, 40), (385, 4)] {
        let case = run("hot", instances, seeds, |f| {
            f.load.hot = Some(f.rng.random_range(0..ACCOUNTS));
        });
        assert!(case.hot() >= 0.97, "{}", case.hot());
        assert!(case.worst() >= 0.97, "{}", case.worst());
    }
}

#[test]
fn a_zone_that_is_cut_off_is_admitted() {
    for (instances, seeds) in [(8, 60), (61, 40), (83, 40), (385, 4)] {
        let case = run("cut", instances, seeds, |f| {
            let zone = f.rng.random_range(0..3);
            let fault = Fault::CutZone {
                zone,
                time: f.rng.random_range(4.0..12.0),
                claims: f.rng.random(),
            };
            let at = f.rng.random_range(1.0..4.0);
            f.fault(at, fault);
            if f.rng.random_bool(0.5) {
                f.load.hot = Some(f.rng.random_range(0..ACCOUNTS));
            }
        });
        assert!(case.worst() >= 0.90, "{}", case.worst());
        assert!(case.hot() >= 0.90, "{}", case.hot());
    }
}

/// Holders that die or freeze, frozen instances, lost replies, refunds, a hot account, and a quota
/// that is changed, in any combination.
#[test]
fn no_fault_exceeds_the_bound() {
    for (instances, seeds) in [(8, 120), (61, 80), (83, 80), (385, 4)] {
        run("faults", instances, seeds, |f| {
            if f.rng.random_bool(0.7) {
                f.load.hot = Some(f.rng.random_range(0..ACCOUNTS));
            }
            f.load.is_uneven = f.rng.random_bool(0.3);
            f.loss = if f.rng.random() { 0.05 } else { 0.0 };
            f.refunds = [0.0, 0.1, 0.5][f.rng.random_range(0..3)];
            if f.rng.random_bool(0.5) {
                let factor = if f.rng.random() { 0.4 } else { 2.0 };
                let at = f.rng.random_range(1.0..5.0);
                f.change_quotas(at, factor);
            }
            for _ in 0..f.rng.random_range(1..5) {
                let at = f.rng.random_range(0.5..12.0);
                let zone = f.rng.random_range(0..3);
                let time = f.rng.random_range(0.3..8.0);
                let instance = f.rng.random_range(0..instances);
                let fault = match f.rng.random_range(0..3) {
                    0 => Fault::KillHolder {
                        zone,
                        vacancy: time,
                    },
                    1 => Fault::FreezeHolder { zone, time },
                    _ => Fault::FreezeInstance { instance, time },
                };
                f.fault(at, fault);
            }
        });
    }
}

#[test]
fn instances_without_any_holder_keep_the_bound() {
    for (instances, seeds) in [(8, 40), (61, 30), (83, 26), (385, 4)] {
        let zones = if instances > 100 { 7 } else { 3 };
        run("no holder", instances, seeds, |f| {
            f.load.hot = Some(f.rng.random_range(0..ACCOUNTS));
            for zone in 0..zones {
                f.fault(3.0, Fault::KillHolder { zone, vacancy: 9.0 });
            }
        });
    }
}
