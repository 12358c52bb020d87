//! [`Deployment`]: what a demo run builds and which work it drives.

use caraway_standin::{EngineSettings, StoreSettings};
use caraway_types::Class;

/// One deployment.
#[derive(Clone, Debug)]
pub(crate) struct Deployment {
    /// Its name on the command line.
    pub(crate) name: &'static str,
    /// Its availability zones.
    pub(crate) zones: [&'static str; 3],
    /// Entry instances, spread over the zones in turn.
    pub(crate) entries: usize,
    /// Model engines, spread over the zones in turn.
    pub(crate) engines: usize,
    /// How each engine behaves.
    pub(crate) engine: EngineSettings,
    /// Name of the plain service.
    pub(crate) service: &'static str,
    /// Replicas of the plain service, spread over the zones in turn.
    pub(crate) replicas: usize,
    /// The weight store.
    pub(crate) store: StoreSettings,
    /// The client account of every request.
    pub(crate) account: &'static str,
    /// Start of every adapter's name.
    pub(crate) prefix: &'static str,
    /// Adapters.
    pub(crate) adapters: u32,
    /// Exponent of the adapters' Zipf popularity.
    pub(crate) skew: f64,
    /// Cost of a request that waits for its adapter.
    pub(crate) stall_weight: f64,
    /// Cost of a batch that runs with empty places.
    pub(crate) batch_weight: f64,
    /// The work, each kind with its own arrivals.
    pub(crate) workloads: Vec<Workload>,
}

/// One kind of work.
#[derive(Clone, Debug)]
pub(crate) struct Workload {
    /// Its name in the report.
    pub(crate) label: &'static str,
    /// Arrivals a second, on average.
    pub(crate) rate: f64,
    /// Requests of one arrival; completions of one arrival share an adapter.
    pub(crate) group: u32,
    /// What one request asks.
    pub(crate) ask: Ask,
}

/// What a request asks.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Ask {
    /// A completion.
    Completion(Completion),
    /// A call that must be carried out at most once, on this path of the service.
    Write(&'static str),
    /// A call that may be repeated, on this path of the service.
    Read(&'static str),
}

/// The shape of a completion.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Completion {
    /// Its class.
    pub(crate) class: Class,
    /// Start of every prompt.
    pub(crate) prompt: &'static str,
    /// Tokens of an answer.
    pub(crate) tokens: u32,
    /// Whether the answer is streamed.
    pub(crate) stream: bool,
    /// Whether it is asked as a chat.
    pub(crate) chat: bool,
    /// Time for the whole answer, in seconds.
    pub(crate) deadline_s: u64,
}

impl Workload {
    /// Makes a workload whose requests arrive one at a time.
    pub(crate) const fn new(label: &'static str, rate: f64, ask: Ask) -> Self {
        Self {
            label,
            rate,
            group: 1,
            ask,
        }
    }

    /// Makes requests arrive `group` at a time.
    pub(crate) const fn in_groups(self, group: u32) -> Self {
        Self { group, ..self }
    }
}

/// Returns the engine that both deployments run.
pub(crate) fn engine() -> EngineSettings {
    EngineSettings {
        step_us: 12_000,
        fill_us: 400,
        prefill_us: 20,
        ..EngineSettings::default()
    }
}
