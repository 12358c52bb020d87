//! Zone selection: rare adapters share one zone, popular ones stay in the caller's zone, and
//! overloaded zones are excluded.

use std::time::{Duration, Instant};

use caraway_placement::{HomeSettings, Homes, ZoneWeight};
use caraway_routes::ModelRef;
use caraway_types::ZoneId;

fn model(number: usize) -> ModelRef {
    ModelRef {
        model: "m".into(),
        adapter: Some(format!("a{number}").into()),
    }
}

fn zones(pressures: [f64; 3]) -> Vec<ZoneWeight> {
    let names = ["a", "b", "c"];
    names
        .into_iter()
        .zip(pressures)
        .map(|(name, pressure)| ZoneWeight {
            zone: name.into(),
            endpoints: 3,
            pressure,
        })
        .collect()
}

fn own() -> ZoneId {
    "a".into()
}

fn choose(homes: &mut Homes, now: Instant, number: usize, zones: &[ZoneWeight]) -> String {
    let zone = homes.choose(now, &model(number), &own(), 2, zones);
    zone.expect("a zone is open").to_string()
}

#[test]
fn rare_adapters_have_one_home_for_all_instances() {
    let now = Instant::now();
    let calm = zones([5.0, 5.0, 5.0]);
    let mut counts = [0; 3];
    for number in 0..300 {
        let mut first = Homes::new(HomeSettings::default());
        let mut second = Homes::new(HomeSettings::default());
        let home = choose(&mut first, now, number, &calm);
        assert_eq!(home, choose(&mut second, now, number, &calm));
        counts[["a", "b", "c"]
            .iter()
            .position(|z| *z == home)
            .expect("known")] += 1;
    }
    assert!(counts.iter().all(|c| (70..=130).contains(c)), "{counts:?}");
}

#[test]
fn a_popular_adapter_is_kept_near_its_callers() {
    let start = Instant::now();
    let calm = zones([5.0, 5.0, 5.0]);
    let mut homes = Homes::new(HomeSettings::default());
    let far = (0..1000)
        .find(|n| choose(&mut homes, start, *n, &calm) != "a")
        .expect("one of many");
    let mut now = start;
    for _ in 0..20 {
        now += Duration::from_millis(100);
        choose(&mut homes, now, far, &calm);
    }
    assert_eq!(choose(&mut homes, now, far, &calm), "a");
    now += Duration::from_mins(1);
    assert_ne!(
        choose(&mut homes, now, far, &calm),
        "a",
        "it is forgotten again"
    );
}

/// A zone loses two of its three endpoints: popular adapters must go to other zones instead of
/// overloading the last endpoint.
#[test]
fn a_zone_that_lost_endpoints_is_relieved() {
    let start = Instant::now();
    let mut homes = Homes::new(HomeSettings::default());
    let mut now = start;
    for _ in 0..30 {
        now += Duration::from_millis(50);
        choose(&mut homes, now, 1, &zones([5.0, 5.0, 5.0]));
    }
    assert_eq!(choose(&mut homes, now, 1, &zones([5.0, 5.0, 5.0])), "a");
    assert_ne!(choose(&mut homes, now, 1, &zones([60.0, 12.0, 12.0])), "a");
    let cut_off = [zones([60.0, 0.0, 0.0]).remove(0)];
    assert_eq!(
        choose(&mut homes, now, 1, &cut_off),
        "a",
        "where no other is open"
    );
}
