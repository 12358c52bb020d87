//! Which records are sent to an instance that has missed some of a topic.

use std::collections::BTreeMap;

use caraway_gateway::RecordCache;
use caraway_platform::Record;
use proptest::prelude::*;

fn record(offset: u64, key: &str, value: Option<u64>) -> Record {
    Record {
        offset,
        key: key.into(),
        value: value.map(|v| v.to_string().into()),
    }
}

/// The keys and values that result from applying records in their order.
#[derive(Clone, Debug, Default, PartialEq)]
struct View(BTreeMap<String, Vec<u8>>);

impl View {
    fn apply(&mut self, records: &[Record], complete: bool) {
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
fn an_empty_instance_gets_the_newest_record_of_each_existing_key() {
    let mut cache = RecordCache::default();
    cache.insert(&record(0, "a", Some(1)));
    cache.insert(&record(1, "b", Some(1)));
    cache.insert(&record(2, "a", Some(2)));
    cache.insert(&record(3, "b", None));
    let missed = cache.missed_since(None);
    assert!(missed.complete);
    assert_eq!(missed.records, [record(2, "a", Some(2))]);
}

#[test]
fn an_instance_gets_only_missed_records_including_deletions() {
    let mut cache = RecordCache::default();
    for offset in 0..100 {
        cache.insert(&record(offset, &format!("k{offset}"), Some(1)));
    }
    cache.insert(&record(100, "k7", None));
    let missed = cache.missed_since(Some(99));
    assert!(!missed.complete);
    assert_eq!(
        missed.records,
        [record(99, "k99", Some(1)), record(100, "k7", None)]
    );
    assert_eq!(cache.missed_since(Some(101)).records, []);
}

#[test]
fn an_instance_behind_a_snapshot_gets_all_keys() {
    let mut cache = RecordCache::default();
    cache.replace(&[record(5, "a", Some(1)), record(9, "b", Some(1))], 10);
    assert!(
        cache.missed_since(Some(7)).complete,
        "keys may have been deleted"
    );
    assert!(!cache.missed_since(Some(10)).complete);
}

proptest! {
    /// An instance that applies its missed records knows the same as one that applied every record.
    #[test]
    fn missed_records_lead_to_the_same_state(
        writes in prop::collection::vec((0..40_u64, prop::option::weighted(0.4, 0..9_u64)), 1..900),
        missed_from in 0..100_usize,
        snapshot_at in 0..100_usize,
    ) {
        let at = |percent: usize| writes.len() * percent / 100;
        let (from, snapshot_at) = (at(missed_from), at(snapshot_at));
        let mut cache = RecordCache::default();
        let (mut whole, mut late) = (View::default(), View::default());
        for (i, (key, value)) in writes.iter().enumerate() {
            let record = record(i as u64, &format!("k{key}"), *value);
            if i == snapshot_at {
                let newest = cache.missed_since(None).records;
                cache.replace(&newest, i as u64);
            }
            cache.insert(&record);
            whole.apply(std::slice::from_ref(&record), false);
            if i < from {
                late.apply(std::slice::from_ref(&record), false);
            }
        }
        let missed = cache.missed_since((from > 0).then_some(from as u64));
        late.apply(&missed.records, missed.complete);
        prop_assert_eq!(late, whole);
    }
}

/// After the store has returned from an older copy, a starting instance gets the records that the copy
/// lacks from its holder, until the store has later ones.
#[test]
fn records_that_an_older_copy_lacks_are_kept() {
    let mut cache = RecordCache::default();
    for (offset, key) in [(7, "newer"), (8, "lost"), (9, "same")] {
        cache.insert(&record(offset, key, Some(offset)));
    }
    // The copy's older record of `newer` has been left out.
    cache.update(&[record(1, "same", Some(1))], 2);
    cache.insert(&record(2, "lost", Some(2)));
    let missed = cache.missed_since(None);
    let values = |key: &str| {
        let records = missed.records.iter().filter(|r| &*r.key == key);
        let values = records.map(|r| r.value.clone().expect("a value"));
        values.collect::<Vec<_>>()
    };
    assert!(missed.complete);
    assert_eq!(values("newer"), ["7"]);
    assert_eq!(values("lost"), ["2"], "the store has a later one");
    assert_eq!(values("same"), ["1"]);
    let missed = cache.missed_since(Some(2));
    assert_eq!(missed.records, [record(2, "lost", Some(2))]);
}
