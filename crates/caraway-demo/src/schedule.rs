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
    deployment::{CompletionShape, Deployment, RequestKind},
    records::{adapter_name, adapter_ref, default_version},
};

/// Share of completions that name the adapter without a version.
const UNVERSIONED_SHARE: f64 = 0.2;
/// Share of completions that name the version that is not the adapter's default.
const NON_DEFAULT_SHARE: f64 = 0.1;
/// Share of writes that are sent twice with the same key.
const DUPLICATE_SHARE: f64 = 0.1;

/// A short completion that shows that an instance is able to serve.
const PROBE: CompletionShape = CompletionShape {
    class: Class::Interactive,
    prompt_prefix: "",
    tokens: 1,
    stream: true,
    chat: false,
    deadline_s: 10,
};

/// A request with its scheduled time and entry instance.
#[derive(Clone, Debug)]
pub(crate) struct PlannedRequest {
    /// Time at which to send it, from the start of the run.
    pub(crate) send_at: Duration,
    /// Index of its workload.
    pub(crate) workload_index: usize,
    /// Index of the entry instance to send it to, unless that is excluded by then.
    pub(crate) entry_index: usize,
    /// The request.
    pub(crate) request: Request,
}

/// A request of one kind.
#[derive(Clone, Debug)]
pub(crate) enum Request {
    /// A completion.
    Completion(Arc<CompletionRequest>),
    /// A service call that must be executed at most once.
    Write {
        /// Path within the service.
        path: &'static str,
        /// Idempotency key.
        key: Arc<str>,
        /// Whether two requests send this key.
        duplicated: bool,
    },
    /// A service call that may be retried.
    Read {
        /// Path within the service, unique to the request.
        path: Arc<str>,
    },
}

/// A completion request and the adapter version expected to answer it.
#[derive(Clone, Debug)]
pub(crate) struct CompletionRequest {
    /// Parameters common to the workload.
    pub(crate) shape: CompletionShape,
    /// Model name in the request: an adapter with or without a version.
    pub(crate) model: String,
    /// Adapter version that must answer.
    pub(crate) adapter: AdapterRef,
    /// Prompt or chat message, unique to the request.
    pub(crate) prompt: String,
}

impl PlannedRequest {
    /// Returns a short completion of the most popular adapter, sent to one instance.
    pub(crate) fn probe(deployment: &Deployment, entry_index: usize) -> Self {
        let adapter = adapter_ref(deployment, 0, default_version(0));
        Self {
            send_at: Duration::ZERO,
            workload_index: 0,
            entry_index,
            request: Request::Completion(Arc::new(CompletionRequest {
                shape: PROBE,
                model: adapter.to_string(),
                adapter,
                prompt: format!("Probe of instance {entry_index}."),
            })),
        }
    }
}

impl CompletionRequest {
    /// Returns the prompt that the engine receives; a chat message is prefixed with its role.
    pub(crate) fn engine_prompt(&self) -> String {
        if self.shape.chat {
            format!("user: {}\n", self.prompt)
        } else {
            self.prompt.clone()
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
    duration: Duration,
    seed: u64,
) -> Result<Vec<PlannedRequest>, WeightError> {
    let mut generator = RequestGenerator {
        rng: ChaCha8Rng::seed_from_u64(seed),
        popularity: popularity(deployment)?,
        deployment,
        count: 0,
    };
    let mut requests = Vec::new();
    for workload_index in 0..deployment.workloads.len() {
        generator.add_workload(workload_index, duration, &mut requests);
    }
    requests.sort_by_key(|planned| planned.send_at);
    Ok(requests)
}

/// Generates random requests.
struct RequestGenerator<'a> {
    rng: ChaCha8Rng,
    /// Distribution of the adapters' popularity ranks.
    popularity: WeightedIndex<f64>,
    deployment: &'a Deployment,
    /// Requests generated so far, across all workloads; makes keys, paths and prompts unique.
    count: u64,
}

impl RequestGenerator<'_> {
    /// Adds the requests of one workload, with exponentially distributed times between arrivals.
    fn add_workload(
        &mut self,
        index: usize,
        duration: Duration,
        requests: &mut Vec<PlannedRequest>,
    ) {
        let Ok(intervals) = Exp::new(self.deployment.workloads[index].arrival_rate) else {
            return;
        };
        let mut send_at = intervals.sample(&mut self.rng);
        while send_at < duration.as_secs_f64() {
            self.add_arrival(index, Duration::from_secs_f64(send_at), requests);
            send_at += intervals.sample(&mut self.rng);
        }
    }

    /// Adds the requests of one arrival, each for a random entry instance.
    fn add_arrival(
        &mut self,
        workload_index: usize,
        send_at: Duration,
        requests: &mut Vec<PlannedRequest>,
    ) {
        let workload = &self.deployment.workloads[workload_index];
        let rank = self.sample_rank();
        for _ in 0..workload.group_size {
            self.count += 1;
            for request in self.requests(workload.kind, rank) {
                let entry_index = self.rng.random_range(0..self.deployment.entry_count);
                requests.push(PlannedRequest {
                    send_at,
                    workload_index,
                    entry_index,
                    request,
                });
            }
        }
    }

    /// Returns one request, or two equal ones for a write that is sent twice.
    fn requests(&mut self, kind: RequestKind, rank: u32) -> Vec<Request> {
        let count = self.count;
        match kind {
            RequestKind::Completion(shape) => {
                vec![Request::Completion(Arc::new(self.completion(shape, rank)))]
            }
            RequestKind::Read(path) => vec![Request::Read {
                path: format!("{path}/{count}").into(),
            }],
            RequestKind::Write(path) => {
                let duplicated = self.rng.random_bool(DUPLICATE_SHARE);
                let write = Request::Write {
                    path,
                    key: format!("key-{count}").into(),
                    duplicated,
                };
                vec![write; 1 + usize::from(duplicated)]
            }
        }
    }

    /// Returns a completion for a random version of the adapter of this rank.
    fn completion(&mut self, shape: CompletionShape, rank: u32) -> CompletionRequest {
        let default = default_version(rank);
        let non_default = if default == "v1" { "v2" } else { "v1" };
        let sample: f64 = self.rng.random();
        let version = if sample < NON_DEFAULT_SHARE {
            non_default
        } else {
            default
        };
        let adapter = adapter_ref(self.deployment, rank, version);
        let unversioned =
            (NON_DEFAULT_SHARE..NON_DEFAULT_SHARE + UNVERSIONED_SHARE).contains(&sample);
        CompletionRequest {
            shape,
            model: if unversioned {
                adapter_name(self.deployment, rank)
            } else {
                adapter.to_string()
            },
            adapter,
            prompt: format!("{} Request {}.", shape.prompt_prefix, self.count),
        }
    }

    /// Returns the random rank of an adapter, weighted by popularity.
    fn sample_rank(&mut self) -> u32 {
        u32::try_from(self.popularity.sample(&mut self.rng)).unwrap_or_default()
    }
}

/// Returns the Zipf distribution of the adapters' ranks.
fn popularity(deployment: &Deployment) -> Result<WeightedIndex<f64>, WeightError> {
    let weight = |rank: u32| f64::from(rank).powf(-deployment.zipf_exponent);
    WeightedIndex::new((1..=deployment.adapter_count).map(weight))
}
