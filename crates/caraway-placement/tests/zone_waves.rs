//! Waves of load that peak in the zones at different times.

use std::{
    collections::{BTreeMap, VecDeque},
    f64::consts::TAU,
    time::{Duration, Instant},
};

use caraway_placement::{GrantMeter, ZoneCandidate, ZoneLoad, ZoneSelector, ZoneSelectorSettings};
use caraway_routes::ModelRef;

/// Slots of each zone, its engines, and its instances.
const SLOTS: usize = 96;
const ENGINES: usize = 6;
const INSTANCES: usize = 8;
/// Duration of the simulation and of a wave, in milliseconds.
const END: u64 = 18_000;
const WAVE: f64 = 6_000.0;
/// Mean load, and the part by which it rises and falls.
const MEAN_LOAD: f64 = 0.75;
const AMPLITUDE: f64 = 0.9;
/// Time of a run in an idle zone, and the time to its first event.
const RUN_MS: f64 = 300.0;
const FIRST_EVENT_MS: f64 = 60.0;
/// Interval in which holders state their load to each instance, and the round trip between zones.
const PONG_INTERVAL: u64 = 500;
const CROSSING: Duration = Duration::from_micros(2_800);

struct Zone {
    slots: usize,
    running: usize,
    /// Arrival times of the requests that wait.
    waiting: VecDeque<(u64, f64)>,
    meter: GrantMeter,
}

impl Zone {
    fn candidate(&self, number: usize, now: Instant) -> ZoneCandidate {
        #[expect(clippy::cast_precision_loss, reason = "counts are small")]
        let pressure = (self.running + self.waiting.len()) as f64 / ENGINES as f64;
        ZoneCandidate {
            zone: format!("z{number}").into(),
            endpoints: ENGINES,
            pressure,
            load: Some(ZoneLoad {
                expected_wait: self.meter.expected_wait(now, self.waiting.len()),
                free_slots: self.slots - self.running,
            }),
            crossing: CROSSING,
        }
    }
}

/// Serves waves with their peaks at these parts of a period; `adapters` is the number of adapters.
/// Returns the mean time to the first event in milliseconds.
fn serve(phases: &[f64], zone_count: usize, adapters: usize, states_load: bool) -> f64 {
    let start = Instant::now();
    let mut zones: Vec<Zone> = (0..zone_count)
        .map(|_| Zone {
            slots: SLOTS * phases.len() / zone_count,
            running: 0,
            waiting: VecDeque::new(),
            meter: GrantMeter::new(start),
        })
        .collect();
    let instances = phases.len() * INSTANCES;
    let mut selectors: Vec<_> = (0..instances)
        .map(|_| ZoneSelector::new(ZoneSelectorSettings::default()))
        .collect();
    let stated: Vec<_> = (0..zone_count)
        .map(|z| zones[z].candidate(z, start))
        .collect();
    let mut views = vec![stated; instances];
    let mut ends: BTreeMap<(u64, u64), usize> = BTreeMap::new();
    let (mut number, mut sum, mut count) = (0_u64, 0.0, 0.0);
    let mut arrivals = vec![0.0; phases.len()];
    for ms in 0..END {
        let now = start + Duration::from_millis(ms);
        while let Some(entry) = ends.first_entry().filter(|e| e.key().0 <= ms) {
            zones[entry.remove()].running -= 1;
        }
        for (instance, view) in views.iter_mut().enumerate() {
            if (ms + instance as u64 * 61).is_multiple_of(PONG_INTERVAL) {
                *view = (0..zone_count)
                    .map(|z| zones[z].candidate(z, now))
                    .collect();
            }
        }
        for (origin, phase) in phases.iter().enumerate() {
            #[expect(clippy::cast_precision_loss, reason = "numbers are small")]
            let (at, slots) = (ms as f64, SLOTS as f64);
            let wave = 1.0 + AMPLITUDE * (TAU * (at / WAVE + phase)).sin();
            arrivals[origin] += slots / (RUN_MS * 1.35) * MEAN_LOAD * wave;
            while arrivals[origin] >= 1.0 {
                arrivals[origin] -= 1.0;
                number += 1;
                let pick = usize::try_from(number * 7919 % 1_000_003).expect("a small number");
                let instance = origin * INSTANCES + pick % INSTANCES;
                let adapter = (adapters > 0).then(|| format!("a{}", pick / 8 % adapters).into());
                let model = ModelRef {
                    model: "m".into(),
                    adapter,
                };
                let own = format!("z{}", origin % zone_count).into();
                let mut view = views[instance].clone();
                if !states_load {
                    for zone in &mut view {
                        zone.load = None;
                    }
                }
                let chosen = selectors[instance].choose(now, &model, &own, INSTANCES, &view);
                let chosen = chosen.expect("a zone");
                let index = view.iter().position(|z| z.zone == chosen).expect("a zone");
                let crossing = if chosen == own {
                    0.0
                } else {
                    CROSSING.as_secs_f64() * 1e3
                };
                zones[index].waiting.push_back((ms, crossing));
                views[instance][index] = zones[index].candidate(index, now);
            }
        }
        for (index, zone) in zones.iter_mut().enumerate() {
            while zone.running < zone.slots
                && let Some((since, crossing)) = zone.waiting.pop_front()
            {
                zone.running += 1;
                zone.meter.on_grant(now);
                #[expect(clippy::cast_precision_loss, reason = "numbers are small")]
                let (load, wait) = (zone.running as f64 / zone.slots as f64, (ms - since) as f64);
                sum += wait + crossing + FIRST_EVENT_MS * (1.0 + load);
                count += 1.0;
                number += 1;
                #[expect(
                    clippy::cast_possible_truncation,
                    clippy::cast_sign_loss,
                    reason = "it is positive"
                )]
                let run = (RUN_MS * (0.9 + 0.6 * load)) as u64;
                ends.insert((ms + run, number), index);
            }
        }
    }
    sum / count
}

// Guards against: requests wait in a zone that a wave has filled, while other zones have free slots.
#[test]
fn waves_that_peak_in_turn_are_served_nearly_as_by_one_zone() {
    for phases in [[0.0, 0.5, 0.25], [0.0, 1.0 / 3.0, 2.0 / 3.0]] {
        let one = serve(&phases, 1, 0, true);
        for adapters in [0, 2000] {
            let three = serve(&phases, 3, adapters, true);
            let unstated = serve(&phases, 3, adapters, false);
            println!(
                "{phases:?}, {adapters}: one zone {one:.1} ms, three {three:.1}, unstated {unstated:.1}"
            );
            assert!(
                three <= 1.1 * one,
                "{three} ms with {adapters} adapters, {one} ms in one zone"
            );
        }
    }
}
