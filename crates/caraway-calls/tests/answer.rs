//! Tests that [`Answer`] delivers each token once and in order, and only from the expected attempt.

use caraway_calls::{Answer, Attempt, Chunk, ChunkEffect, DropReason, Token};
use caraway_types::AdapterRef;
use proptest::{prelude::*, test_runner::TestRng};

fn attempt(request: &str, load: &str) -> Attempt {
    Attempt {
        request: request.into(),
        load: load.into(),
        adapter: AdapterRef::new("banner", "3"),
    }
}

fn chunk(request: &str, load: &str, index: u32, last: u32) -> Chunk {
    Chunk {
        request: request.into(),
        load: load.into(),
        index,
        text: format!("t{index} ").into(),
        finish: (index == last).then(|| "stop".into()),
    }
}

fn texts(due: &[Token]) -> String {
    due.iter().map(|t| &*t.text).collect()
}

#[test]
fn foreign_and_repeated_chunks_are_dropped() {
    let mut answer = Answer::new(attempt("r1", "l1"));
    let mut due = Vec::new();
    let drop = ChunkEffect::Dropped;
    assert_eq!(
        answer.accept(chunk("r2", "l1", 0, 2), &mut due),
        drop(DropReason::ForeignRequest)
    );
    assert_eq!(
        answer.accept(chunk("r1", "l9", 0, 2), &mut due),
        drop(DropReason::ForeignLoad)
    );
    assert_eq!(
        answer.accept(chunk("r1", "l1", 1, 2), &mut due),
        ChunkEffect::Gap(0)
    );
    assert_eq!(
        answer.accept(chunk("r1", "l1", 0, 2), &mut due),
        ChunkEffect::Advanced
    );
    assert_eq!(
        answer.accept(chunk("r1", "l1", 1, 2), &mut due),
        drop(DropReason::Duplicate)
    );
    assert_eq!(answer.resume_from(), 2);
    assert_eq!(
        answer.accept(chunk("r1", "l1", 900, 0), &mut due),
        drop(DropReason::TooFarAhead)
    );
    assert_eq!(
        answer.accept(chunk("r1", "l1", 2, 2), &mut due),
        ChunkEffect::Finished
    );
    assert_eq!(
        answer.accept(chunk("r1", "l1", 3, 9), &mut due),
        drop(DropReason::PastEnd)
    );
    assert_eq!(texts(&due), "t0 t1 t2 ");
}

#[test]
fn a_restart_delivers_no_token_twice_and_detects_a_different_text() {
    let mut due = Vec::new();
    let mut answer = Answer::new(attempt("r1", "l1"));
    answer.accept(chunk("r1", "l1", 0, 3), &mut due);
    answer.accept(chunk("r1", "l1", 1, 3), &mut due);
    let mut other = attempt("r2", "l2");
    other.adapter = AdapterRef::new("banner", "4");
    assert!(!answer.restart(other));
    assert!(answer.restart(attempt("r2", "l2")));
    let mut diverging = answer.clone();
    let mut incomplete = answer.clone();
    assert_eq!(
        incomplete.accept(chunk("r2", "l2", 1, 1), &mut due),
        ChunkEffect::Gap(0)
    );
    assert!(!incomplete.is_finished());
    for index in 0..4 {
        answer.accept(chunk("r2", "l2", index, 3), &mut due);
    }
    assert_eq!(texts(&due), "t0 t1 t2 t3 ");
    assert!(answer.is_finished());

    let mut wrong = chunk("r2", "l2", 0, 3);
    wrong.text = "else".into();
    assert_eq!(
        diverging.accept(wrong, &mut due),
        ChunkEffect::Dropped(DropReason::Diverged)
    );
    assert!(diverging.is_diverged());
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(11), failure_persistence: None, ..ProptestConfig::default() })]

    /// Reordered, duplicated and foreign chunks must not lose, repeat or mix tokens.
    #[test]
    fn any_order_yields_each_token_once(
        count in 1u32..40,
        extras in proptest::collection::vec((0u32..40, 0u8..3), 0..80),
        seed in any::<u64>(),
    ) {
        let mut chunks: Vec<Chunk> = (0..count).map(|i| chunk("r", "l", i, count - 1)).collect();
        for (index, kind) in extras {
            chunks.push(match kind {
                0 => chunk("r", "l", index % count, count - 1),
                1 => Chunk { text: "x".into(), ..chunk("other", "l", index, count - 1) },
                _ => Chunk { text: "y".into(), ..chunk("r", "other", index, count - 1) },
            });
        }
        let mut bytes = [0; 32];
        bytes[..8].copy_from_slice(&seed.to_le_bytes());
        let mut rng = TestRng::from_seed(proptest::test_runner::RngAlgorithm::ChaCha, &bytes);
        for i in (1..chunks.len()).rev() {
            let j = rng.random_range(0..=i);
            chunks.swap(i, j);
        }
        let mut answer = Answer::new(attempt("r", "l"));
        let mut due = Vec::new();
        for chunk in chunks {
            answer.accept(chunk, &mut due);
        }
        let expected: Vec<String> = (0..count).map(|i| format!("t{i} ")).collect();
        prop_assert!(answer.is_finished());
        prop_assert_eq!(texts(&due), expected.concat());
    }
}
