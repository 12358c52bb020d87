//! Client accounts that ask for more than the engines serve: each gets its share, measured in tokens.

mod fleet;

use std::time::Duration;

use fleet::{Fleet, Kind, engine::EngineSpeed};

const SECOND: Duration = Duration::from_secs(1);
/// Engines of the label-printing deployment.
const ENGINE: EngineSpeed = EngineSpeed {
    step_ms: 9.47,
    tokens_per_ms: 19.2,
    event_tokens: 4,
    factor: 1.0,
};
const ENGINES: usize = 4;
/// Short requests that the engines complete per second when all their slots are taken.
const CAPACITY: f64 = 17.9 * 4.0;

fn as_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).expect("counts are small"))
}

/// A request of an account.
fn kind_of(account: u32, prompt: u32) -> Kind {
    Kind {
        priority: 0,
        prompt,
        output: 68,
        goal: SECOND,
        timeout: 8 * SECOND,
        account: Some(account),
    }
}

/// Runs accounts with these prompts and loads, as parts of the capacity for short prompts.
fn run(accounts: &[(u32, f64)], seed: u64) -> Fleet {
    let numbered = (1..).zip(accounts);
    let kinds = numbered.map(|(account, (prompt, _))| kind_of(account, *prompt));
    let speeds = [ENGINE; ENGINES];
    let mut fleet = Fleet::new(&speeds, 32, |_| Vec::new(), kinds.collect(), seed);
    for (kind, (_, load)) in accounts.iter().enumerate() {
        fleet.schedule(kind, CAPACITY * load, SECOND, 15 * SECOND, |_| 0);
    }
    fleet.run_until(25 * SECOND);
    fleet
}

/// Returns the number of requests of an account that were answered on time, and of those sent.
fn on_time(fleet: &Fleet, kind: usize) -> (f64, f64) {
    let sent = || fleet.of_kind(kind, 4 * SECOND, 14 * SECOND);
    let on_time = sent().filter(|r| fleet.is_on_time(r)).count();
    (as_f64(on_time), as_f64(sent().count()))
}

/// Guards against an account that gets more than its share because it asks for more, or because its
/// requests are larger.
#[test]
fn accounts_share_scarce_capacity_equally_in_tokens() {
    let accounts = [(646, 0.6), (646, 1.2), (1292, 0.9)];
    let fleet = run(&accounts, 1);
    let tokens = |kind: usize| {
        let kind_tokens = f64::from(fleet.kinds[kind].prompt + fleet.kinds[kind].output);
        on_time(&fleet, kind).0 * kind_tokens
    };
    let total: f64 = (0..3).map(tokens).sum();
    for kind in 0..3 {
        let share = tokens(kind) / total;
        assert!((share - 1.0 / 3.0).abs() <= 0.05, "{kind}: {share:.3}");
    }
}

/// Guards against an account at several times its usual load that makes the requests of others late.
#[test]
fn an_account_far_above_its_usual_load_bears_the_cost_itself() {
    let usual = [(646, 0.18); 4];
    let mut hot = usual;
    hot[2].1 *= 7.5;
    let (undisturbed, disturbed) = (run(&usual, 2), run(&hot, 2));
    for kind in [0, 1, 3] {
        let (before, sent_before) = on_time(&undisturbed, kind);
        let (after, sent) = on_time(&disturbed, kind);
        assert!(
            after / sent >= before / sent_before - 0.02,
            "account {kind}: {after} of {sent}, {before} of {sent_before} otherwise"
        );
    }
    let (after, sent) = on_time(&disturbed, 2);
    assert!(after / sent >= 0.25, "the hot account: {after} of {sent}");
}
