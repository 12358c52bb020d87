//! [`Deployment`] describes the instances and endpoints of a run and the requests sent to them.

use caraway_standin::{EngineSettings, StoreSettings};
use caraway_types::Class;

/// Layout, settings and workloads of one sample deployment.
#[derive(Clone, Debug)]
pub(crate) struct Deployment {
    /// Name on the command line.
    pub(crate) name: &'static str,
    /// Availability zones.
    pub(crate) zones: [&'static str; 3],
    /// Number of entry instances, assigned to the zones round-robin.
    pub(crate) entry_count: usize,
    /// Number of model engines, assigned to the zones round-robin.
    pub(crate) engine_count: usize,
    /// Settings of each engine; `id` and `store` are replaced for each one.
    pub(crate) engine: EngineSettings,
    /// Name of the service that handles the writes and reads.
    pub(crate) service: &'static str,
    /// Number of replicas of the service, assigned to the zones round-robin.
    pub(crate) replica_count: usize,
    /// Settings of the weight store.
    pub(crate) store: StoreSettings,
    /// Client account of every request.
    pub(crate) account: &'static str,
    /// Prefix of every adapter name.
    pub(crate) adapter_prefix: &'static str,
    /// Number of adapters.
    pub(crate) adapter_count: u32,
    /// Exponent of the Zipf distribution of adapter popularity.
    pub(crate) zipf_exponent: f64,
    /// Routing weight for the cost of a request that waits for its adapter to load.
    pub(crate) stall_weight: f64,
    /// Routing weight for the cost of a batch that runs below capacity.
    pub(crate) batch_weight: f64,
    /// Kinds of requests, each with its own arrival process.
    pub(crate) workloads: Vec<Workload>,
}

/// Requests of one kind and their arrivals.
#[derive(Clone, Debug)]
pub(crate) struct Workload {
    /// Name in the report.
    pub(crate) label: &'static str,
    /// Average arrivals per second.
    pub(crate) arrival_rate: f64,
    /// Requests per arrival; completions of one arrival use the same adapter name.
    pub(crate) group_size: u32,
    /// Kind of each request.
    pub(crate) kind: RequestKind,
}

/// Kind of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) enum RequestKind {
    /// A completion.
    Completion(CompletionShape),
    /// A service call, at this path, that must be executed at most once.
    Write(&'static str),
    /// A service call, at this path, that may be retried.
    Read(&'static str),
}

/// Parameters common to the completions of a workload.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CompletionShape {
    /// Request class.
    pub(crate) class: Class,
    /// Prefix of every prompt; the schedule adds a request number.
    pub(crate) prompt_prefix: &'static str,
    /// Tokens to generate.
    pub(crate) tokens: u32,
    /// Whether the response is streamed.
    pub(crate) stream: bool,
    /// Whether the request goes to the chat endpoint.
    pub(crate) chat: bool,
    /// Deadline for the whole response, in seconds.
    pub(crate) deadline_s: u64,
}

impl Workload {
    /// Creates a workload whose requests arrive one at a time.
    pub(crate) const fn new(label: &'static str, arrival_rate: f64, kind: RequestKind) -> Self {
        Self {
            label,
            arrival_rate,
            group_size: 1,
            kind,
        }
    }

    /// Sets the number of requests per arrival.
    pub(crate) const fn in_groups(self, group_size: u32) -> Self {
        Self { group_size, ..self }
    }
}

/// Returns the engine settings that the deployments share.
pub(crate) fn engine_settings() -> EngineSettings {
    EngineSettings {
        step_us: 12_000,
        fill_us: 400,
        prefill_us: 20,
        ..EngineSettings::default()
    }
}
