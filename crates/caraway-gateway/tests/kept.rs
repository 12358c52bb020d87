//! What an instance is told that has missed records of a topic.

use std::collections::BTreeMap;

use caraway_gateway::Kept;
use caraway_platform::Record;
use proptest::prelude::*;

fn record(offset: u64, key: &str, value: Option<u64>) -> Record {
    Record {
        offset,
        key: key.into(),
        value: value.map(|v| v.to_string().into()),
    }
}

/// The keys and values that someone knows of who takes records in their order.
#[derive(Clone, Debug, Default, PartialEq)]
struct View(BTreeMap<String, Vec<u8>>);

impl View {
    fn take(&mut self, records: &[Record], complete: bool) {
        if complete {
            self.0.clear();
        }
        for record in records {
            match &record.value {
                Some(value) => self.0.insert(record.key.to_string(), value.to_vec()),
                None => self.0.remove(&*record.key),
            };
        }
    }
}

#[test]
fn one_that_knows_nothing_gets_all_that_is_there() {
    let mut kept = Kept::default();
    kept.put(&record(0, "a", Some(1)));
    kept.put(&record(1, "b", Some(1)));
    kept.put(&record(2, "a", Some(2)));
    kept.put(&record(3, "b", None));
    let missed = kept.missed(None);
    assert!(missed.complete);
    assert_eq!(missed.records, [record(2, "a", Some(2))]);
}

#[test]
fn one_that_missed_little_gets_little_and_hears_of_dropped_keys() {
    let mut kept = Kept::default();
    for offset in 0..100 {
        kept.put(&record(offset, &format!("k{offset}"), Some(1)));
    }
    kept.put(&record(100, "k7", None));
    let missed = kept.missed(Some(99));
    assert!(!missed.complete);
    assert_eq!(
        missed.records,
        [record(99, "k99", Some(1)), record(100, "k7", None)]
    );
    assert_eq!(kept.missed(Some(101)).records, []);
}

#[test]
fn who_starts_before_a_snapshot_gets_all() {
    let mut kept = Kept::default();
    kept.replace(&[record(5, "a", Some(1)), record(9, "b", Some(1))], 10);
    assert!(kept.missed(Some(7)).complete, "keys may have been dropped");
    assert!(!kept.missed(Some(10)).complete);
}

proptest! {
    /// Whoever takes what it has missed knows what those know that took every record.
    #[test]
    fn what_was_missed_makes_up_for_it(
        writes in prop::collection::vec((0..40_u64, prop::option::weighted(0.4, 0..9_u64)), 1..900),
        missed_from in 0..100_usize,
        snapshot_at in 0..100_usize,
    ) {
        let at = |percent: usize| writes.len() * percent / 100;
        let (from, snapshot_at) = (at(missed_from), at(snapshot_at));
        let mut kept = Kept::default();
        let (mut whole, mut late) = (View::default(), View::default());
        for (i, (key, value)) in writes.iter().enumerate() {
            let record = record(i as u64, &format!("k{key}"), *value);
            if i == snapshot_at {
                let newest = kept.missed(None).records;
                kept.replace(&newest, i as u64);
            }
            kept.put(&record);
            whole.take(std::slice::from_ref(&record), false);
            if i < from {
                late.take(std::slice::from_ref(&record), false);
            }
        }
        let missed = kept.missed((from > 0).then_some(from as u64));
        late.take(&missed.records, missed.complete);
        prop_assert_eq!(late, whole);
    }
}
