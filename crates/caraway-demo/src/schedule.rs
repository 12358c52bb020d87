//! [`schedule`]: every request of a run, drawn from a seed before it starts.

use std::{sync::Arc, time::Duration};

use caraway_types::{AdapterRef, Class};
use rand::{
    Rng, SeedableRng,
    distr::weighted::{Error as WeightError, WeightedIndex},
};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp};

use crate::{
    deployment::{Ask, Completion, Deployment},
    records::{adapter, name, served},
};

/// Share of completions that name the adapter without a version.
const BARE_SHARE: f64 = 0.2;
/// Share of completions that name the version which is not served by default.
const OTHER_SHARE: f64 = 0.1;
/// Share of writes that are sent twice with the same key.
const TWICE_SHARE: f64 = 0.1;

/// A completion that shows that an instance serves.
const PROBE: Completion = Completion {
    class: Class::Interactive,
    prompt: "",
    tokens: 1,
    stream: true,
    chat: false,
    deadline_s: 10,
};

/// One request to send.
#[derive(Clone, Debug)]
pub(crate) struct Planned {
    /// When to send it, from the start of the run.
    pub(crate) at: Duration,
    /// Index of its workload.
    pub(crate) workload: usize,
    /// Index of the entry instance that takes it.
    pub(crate) entry: usize,
    /// What it asks.
    pub(crate) work: Work,
}

/// What a planned request asks.
#[derive(Clone, Debug)]
pub(crate) enum Work {
    /// A completion.
    Completion(Arc<Prompt>),
    /// A call that must be carried out at most once.
    Write {
        /// Path within the service.
        path: &'static str,
        /// Its idempotency key.
        key: Arc<str>,
        /// Whether the same key is sent by two requests.
        twice: bool,
    },
    /// A call that may be repeated.
    Read {
        /// Path within the service, unique to the request.
        path: Arc<str>,
    },
}

/// A completion to ask for.
#[derive(Clone, Debug)]
pub(crate) struct Prompt {
    /// Its shape.
    pub(crate) shape: Completion,
    /// The model as the caller names it.
    pub(crate) model: String,
    /// The adapter version that must answer.
    pub(crate) adapter: AdapterRef,
    /// What the caller says, unique to the request.
    pub(crate) text: String,
}

impl Planned {
    /// Returns a short request for the most popular adapter through one instance.
    pub(crate) fn probe(deployment: &Deployment, entry: usize) -> Self {
        let adapter = adapter(deployment, 0, served(0));
        Self {
            at: Duration::ZERO,
            workload: 0,
            entry,
            work: Work::Completion(Arc::new(Prompt {
                shape: PROBE,
                model: adapter.to_string(),
                adapter,
                text: format!("Probe of instance {entry}."),
            })),
        }
    }
}

impl Prompt {
    /// Returns the prompt as the engine sees it.
    pub(crate) fn as_sent(&self) -> String {
        if self.shape.chat {
            format!("user: {}\n", self.text)
        } else {
            self.text.clone()
        }
    }
}

/// Returns the requests of a run in the order of their times.
///
/// # Errors
///
/// Returns an error if the deployment has no adapters.
pub(crate) fn schedule(
    deployment: &Deployment,
    length: Duration,
    seed: u64,
) -> Result<Vec<Planned>, WeightError> {
    let mut draw = Draw {
        rng: ChaCha8Rng::seed_from_u64(seed),
        popularity: popularity(deployment)?,
        deployment,
        count: 0,
    };
    let mut all = Vec::new();
    for workload in 0..deployment.workloads.len() {
        draw.workload(workload, length, &mut all);
    }
    all.sort_by_key(|planned| planned.at);
    Ok(all)
}

/// Draws requests.
struct Draw<'a> {
    rng: ChaCha8Rng,
    popularity: WeightedIndex<f64>,
    deployment: &'a Deployment,
    count: u64,
}

impl Draw<'_> {
    /// Adds the requests of one workload, with exponential gaps between arrivals.
    fn workload(&mut self, index: usize, length: Duration, all: &mut Vec<Planned>) {
        let Ok(gaps) = Exp::new(self.deployment.workloads[index].rate) else {
            return;
        };
        let mut at = gaps.sample(&mut self.rng);
        while at < length.as_secs_f64() {
            self.arrival(index, Duration::from_secs_f64(at), all);
            at += gaps.sample(&mut self.rng);
        }
    }

    /// Adds the requests of one arrival.
    fn arrival(&mut self, workload: usize, at: Duration, all: &mut Vec<Planned>) {
        let plan = &self.deployment.workloads[workload];
        let rank = self.rank();
        for _ in 0..plan.group {
            self.count += 1;
            for work in self.work(plan.ask, rank) {
                let entry = self.rng.random_range(0..self.deployment.entries);
                all.push(Planned {
                    at,
                    workload,
                    entry,
                    work,
                });
            }
        }
    }

    fn work(&mut self, ask: Ask, rank: u32) -> Vec<Work> {
        let count = self.count;
        match ask {
            Ask::Completion(shape) => vec![Work::Completion(Arc::new(self.prompt(shape, rank)))],
            Ask::Read(path) => vec![Work::Read {
                path: format!("{path}/{count}").into(),
            }],
            Ask::Write(path) => {
                let twice = self.rng.random_bool(TWICE_SHARE);
                let write = Work::Write {
                    path,
                    key: format!("key-{count}").into(),
                    twice,
                };
                vec![write; 1 + usize::from(twice)]
            }
        }
    }

    fn prompt(&mut self, shape: Completion, rank: u32) -> Prompt {
        let served = served(rank);
        let other = if served == "v1" { "v2" } else { "v1" };
        let draw: f64 = self.rng.random();
        let named = if draw < OTHER_SHARE { other } else { served };
        let adapter = adapter(self.deployment, rank, named);
        let bare = (OTHER_SHARE..OTHER_SHARE + BARE_SHARE).contains(&draw);
        Prompt {
            shape,
            model: if bare {
                name(self.deployment, rank)
            } else {
                adapter.to_string()
            },
            adapter,
            text: format!("{} Request {}.", shape.prompt, self.count),
        }
    }

    /// Draws an adapter by its popularity.
    fn rank(&mut self) -> u32 {
        u32::try_from(self.popularity.sample(&mut self.rng)).unwrap_or_default()
    }
}

/// Returns the Zipf popularity of the deployment's adapters.
fn popularity(deployment: &Deployment) -> Result<WeightedIndex<f64>, WeightError> {
    let weight = |rank: u32| f64::from(rank).powf(-deployment.skew);
    WeightedIndex::new((1..=deployment.adapters).map(weight))
}
