//! Deployment `cooperative`, modelled on the Sign Printers' Quote Co-operative of Trinidad.

use caraway_standin::{EngineSettings, StoreSettings};
use caraway_types::Class;

use crate::deployment::{CompletionShape, Deployment, RequestKind, Workload, engine_settings};

/// A follow-up note, drafted while the customer waits at the counter.
const DRAFT: CompletionShape = CompletionShape {
    class: Class::Interactive,
    prompt_prefix: "Draft a follow-up note to a customer who asked about a banner.",
    tokens: 32,
    stream: true,
    chat: false,
    deadline_s: 10,
};
/// One note of an overnight batch.
const OVERNIGHT: CompletionShape = CompletionShape {
    class: Class::Batch,
    prompt_prefix: "Draft the yearly reminder to a customer with a vehicle wrap.",
    tokens: 64,
    stream: false,
    chat: false,
    deadline_s: 30,
};
/// The summary of a customer's job history.
const SUMMARY: CompletionShape = CompletionShape {
    class: Class::Summary,
    prompt_prefix: "Summarise the job history of this customer, oldest job first.",
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
        entry_count: 6,
        engine_count: 9,
        engine: EngineSettings {
            checks_fencing: false,
            ..engine_settings()
        },
        service: "quotes",
        replica_count: 3,
        store: StoreSettings {
            rate: 3.0,
            ..StoreSettings::default()
        },
        account: "sign-printers",
        adapter_prefix: "printer",
        adapter_count: 3_000,
        zipf_exponent: 1.5,
        stall_weight: 2.0,
        batch_weight: 1.0,
        workloads: vec![
            Workload::new("counter drafts", 4.0, RequestKind::Completion(DRAFT)),
            Workload::new("overnight batches", 0.4, RequestKind::Completion(OVERNIGHT))
                .in_groups(6),
            Workload::new("long summaries", 0.7, RequestKind::Completion(SUMMARY)),
            Workload::new("deposits", 3.0, RequestKind::Write("/deposits")),
            Workload::new("status", 6.0, RequestKind::Read("/status")),
        ],
    }
}
