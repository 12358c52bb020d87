//! [`schedule`] generates every request of a run from a seed, before the run starts.

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
/// Share of completions that name the version that is not the adapter's default.
const OTHER_SHARE: f64 = 0.1;
/// Share of writes that are sent twice with the same key.
const TWICE_SHARE: f64 = 0.1;

/// A short completion that shows that an instance is able to serve.
const PROBE: Completion = Completion {
    class: Class::Interactive,
    prompt: "",
    tokens: 1,
    stream: true,
    chat: false,
    deadline_s: 10,
};

/// A request with its scheduled time and entry instance.
#[derive(Clone, Debug)]
pub(crate) struct Planned {
    /// Time at which to send it, from the start of the run.
    pub(crate) at: Duration,
    /// Index of its workload.
    pub(crate) workload: usize,
    /// Index of the entry instance to send it to, unless that is excluded by then.
    pub(crate) entry: usize,
    /// The request.
    pub(crate) work: Work,
}

/// A request of one kind.
#[derive(Clone, Debug)]
pub(crate) enum Work {
    /// A completion.
    Completion(Arc<Prompt>),
    /// A service call that must be executed at most once.
    Write {
        /// Path within the service.
        path: &'static str,
        /// Idempotency key.
        key: Arc<str>,
        /// Whether two requests send this key.
        twice: bool,
    },
    /// A service call that may be retried.
    Read {
        /// Path within the service, unique to the request.
        path: Arc<str>,
    },
}

/// A completion request and the adapter version expected to answer it.
#[derive(Clone, Debug)]
pub(crate) struct Prompt {
    /// Parameters common to the workload.
    pub(crate) shape: Completion,
    /// Model name in the request: an adapter with or without a version.
    pub(crate) model: String,
    /// Adapter version that must answer.
    pub(crate) adapter: AdapterRef,
    /// Prompt or chat message, unique to the request.
    pub(crate) text: String,
}

impl Planned {
    /// Returns a short completion of the most popular adapter, sent to one instance.
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
    /// Returns the prompt that the engine receives; a chat message is prefixed with its role.
    pub(crate) fn as_sent(&self) -> String {
        if self.shape.chat {
            format!("user: {}\n", self.text)
        } else {
            self.text.clone()
        }
    }
}

/// Returns the requests of a run, sorted by their scheduled times.
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

/// Generates random requests.
struct Draw<'a> {
    rng: ChaCha8Rng,
    /// Distribution of the adapters' popularity ranks.
    popularity: WeightedIndex<f64>,
    deployment: &'a Deployment,
    /// Requests generated so far, across all workloads; makes keys, paths and prompts unique.
    count: u64,
}

impl Draw<'_> {
    /// Adds the requests of one workload, with exponentially distributed times between arrivals.
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

    /// Adds the requests of one arrival, each for a random entry instance.
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

    /// Returns one request, or two equal ones for a write that is sent twice.
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

    /// Returns a completion for a random version of the adapter of this rank.
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

    /// Returns the random rank of an adapter, weighted by popularity.
    fn rank(&mut self) -> u32 {
        u32::try_from(self.popularity.sample(&mut self.rng)).unwrap_or_default()
    }
}

/// Returns the Zipf distribution of the adapters' ranks.
fn popularity(deployment: &Deployment) -> Result<WeightedIndex<f64>, WeightError> {
    let weight = |rank: u32| f64::from(rank).powf(-deployment.skew);
    WeightedIndex::new((1..=deployment.adapters).map(weight))
}
