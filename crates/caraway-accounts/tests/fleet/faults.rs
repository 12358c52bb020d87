//! Faults of a fleet.

use rand::Rng;

use super::{Event, Fleet};

/// A fault of the fleet.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fault {
    /// The holder of a zone dies; the next one is active after the time.
    KillHolder { zone: usize, vacancy: f64 },
    /// The holder of a zone is frozen; if that takes long, another one is active meanwhile.
    FreezeHolder { zone: usize, time: f64 },
    /// A zone reaches no other for a time. Both sides claim the zones of the other if `claims`.
    CutZone {
        zone: usize,
        time: f64,
        claims: bool,
    },
    /// An instance is frozen.
    FreezeInstance { instance: usize, time: f64 },
}

impl Fleet {
    /// Returns the current holder of a zone that is alive and not cut off from `zone`'s own side.
    fn holder_of(&self, zone: usize) -> Option<usize> {
        (0..self.holders.len())
            .rev()
            .find(|h| self.holders[*h].zone == zone && self.holders[*h].is_alive)
    }

    fn some_instance(&mut self, zone: usize, other_than: usize) -> usize {
        let candidates: Vec<usize> = (0..self.instances.len())
            .filter(|i| self.instances[*i].zone == zone && *i != other_than)
            .collect();
        candidates[self.rng.random_range(0..candidates.len())]
    }

    pub(super) fn begin(&mut self, fault: Fault) {
        match fault {
            Fault::KillHolder { zone, vacancy } => {
                let Some(holder) = self.holder_of(zone) else {
                    return;
                };
                self.holders[holder].is_alive = false;
                let next = self.some_instance(zone, self.holders[holder].instance);
                for i in 0..self.instances.len() {
                    self.after(0.0, 0.5, Event::Lose(i, holder));
                }
                self.at(self.now + vacancy, Event::Claim(zone, next));
            }
            Fault::FreezeHolder { zone, time } => {
                let Some(holder) = self.holder_of(zone) else {
                    return;
                };
                let frozen = self.holders[holder].instance;
                self.instances[frozen].frozen_until = self.now + time;
                if time > 1.0 {
                    let next = self.some_instance(zone, frozen);
                    for i in 0..self.instances.len() {
                        self.after(0.9, 1.1, Event::Lose(i, holder));
                    }
                    self.after(1.1, 2.0, Event::Claim(zone, next));
                }
            }
            Fault::CutZone { zone, time, claims } => {
                self.cut = Some(zone);
                self.at(self.now + time, Event::EndCut);
                let holders = 0..self.holders.len();
                let pairs = holders.flat_map(|h| (0..self.instances.len()).map(move |i| (i, h)));
                for (i, h) in pairs.collect::<Vec<_>>() {
                    if self.is_cut(i, h) {
                        self.after(0.2, 1.0, Event::Lose(i, h));
                    }
                }
                if claims {
                    let outside = self.some_instance((zone + 1) % self.zones.len(), usize::MAX);
                    self.after(1.0, 3.0, Event::Claim(zone, outside));
                    let inside = self.some_instance(zone, usize::MAX);
                    for other in (0..self.zones.len()).filter(|z| *z != zone) {
                        self.after(1.0, 3.0, Event::Claim(other, inside));
                    }
                }
            }
            Fault::FreezeInstance { instance, time } => {
                self.instances[instance].frozen_until = self.now + time;
            }
        }
    }

    /// Ends a cut: the latest holder of each zone in the zone itself stays.
    pub(super) fn end_cut(&mut self) {
        self.cut = None;
        for zone in 0..self.zones.len() {
            let own = (0..self.holders.len()).rev().find(|h| {
                let holder = &self.holders[*h];
                let home = self.instances[holder.instance].zone;
                holder.zone == zone && holder.is_alive && home == zone
            });
            let Some(own) = own else { continue };
            for h in (0..self.holders.len()).filter(|h| *h != own) {
                if self.holders[h].zone == zone {
                    self.holders[h].is_alive = false;
                }
            }
            for i in 0..self.instances.len() {
                if self.instances[i].sessions[zone] != Some(own) {
                    self.after(0.1, 1.0, Event::Connect(i, own));
                }
            }
        }
    }
}
