//! Deployment `cooperative`, modelled on the Sign Printers' Quote Co-operative of Trinidad.

use caraway_standin::{EngineSettings, StoreSettings};
use caraway_types::Class;

use crate::deployment::{Ask, Completion, Deployment, Workload, engine};

/// A follow-up note, drafted while the customer waits at the counter.
const DRAFT: Completion = Completion {
    class: Class::Interactive,
    prompt: "Draft a follow-up note to a customer who asked about a banner.",
    tokens: 32,
    stream: true,
    chat: false,
    deadline_s: 10,
};
/// One note of an overnight batch.
const OVERNIGHT: Completion = Completion {
    class: Class::Batch,
    prompt: "Draft the yearly reminder to a customer with a vehicle wrap.",
    tokens: 64,
    stream: false,
    chat: false,
    deadline_s: 30,
};
/// The summary of a customer's job history.
const SUMMARY: Completion = Completion {
    class: Class::Summary,
    prompt: "Summarise the job history of this customer, oldest job first.",
    tokens: 160,
    stream: true,
    chat: false,
    deadline_s: 25,
};

/// Returns the description of this deployment.
pub(crate) fn deployment() -> Deployment {
    Deployment {
        name: "cooperative",
        zones: ["tt-north-a", "tt-north-b", "tt-north-c"],
        entries: 6,
        engines: 9,
        engine: EngineSettings {
            checks_fencing: false,
            ..engine()
        },
        service: "quotes",
        replicas: 3,
        store: StoreSettings {
            rate: 3.0,
            ..StoreSettings::default()
        },
        account: "sign-printers",
        prefix: "printer",
        adapters: 3_000,
        skew: 1.5,
        stall_weight: 2.0,
        batch_weight: 1.0,
        workloads: vec![
            Workload::new("counter drafts", 4.0, Ask::Completion(DRAFT)),
            Workload::new("overnight batches", 0.4, Ask::Completion(OVERNIGHT)).in_groups(6),
            Workload::new("long summaries", 0.7, Ask::Completion(SUMMARY)),
            Workload::new("deposits", 3.0, Ask::Write("/deposits")),
            Workload::new("status", 6.0, Ask::Read("/status")),
        ],
    }
}
