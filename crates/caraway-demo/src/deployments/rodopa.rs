//! Deployment `rodopa`, modelled on Rodopa Furnir Auctions, a veneer auction house.

use caraway_standin::{EngineSettings, StoreSettings};
use caraway_types::Class;

use crate::deployment::{CompletionShape, Deployment, RequestKind, Workload, engine_settings};

/// The catalogue description of one lot.
const DESCRIPTION: CompletionShape = CompletionShape {
    class: Class::Batch,
    prompt_prefix: "Describe this lot of veneer flitches for the catalogue.",
    tokens: 64,
    stream: false,
    chat: false,
    deadline_s: 30,
};
/// A bidder's question about a lot.
const QUESTION: CompletionShape = CompletionShape {
    class: Class::Interactive,
    prompt_prefix: "Is this walnut flitch suited to bookmatching?",
    tokens: 24,
    stream: true,
    chat: true,
    deadline_s: 10,
};
/// The summary of a lot's quality sheet.
const SUMMARY: CompletionShape = CompletionShape {
    class: Class::Summary,
    prompt_prefix: "Summarise the quality sheet of this lot.",
    tokens: 120,
    stream: true,
    chat: false,
    deadline_s: 25,
};

/// Returns the description of this deployment.
pub(crate) fn deployment() -> Deployment {
    Deployment {
        name: "rodopa",
        zones: ["sofia-a", "sofia-b", "sofia-c"],
        entry_count: 6,
        engine_count: 9,
        engine: EngineSettings {
            checks_fencing: false,
            ..engine_settings()
        },
        service: "bids",
        replica_count: 3,
        store: StoreSettings {
            rate: 2.6,
            ..StoreSettings::default()
        },
        account: "rodopa-furnir",
        adapter_prefix: "mill",
        adapter_count: 3_000,
        zipf_exponent: 1.5,
        stall_weight: 1.0,
        batch_weight: 2.0,
        workloads: vec![
            Workload::new("descriptions", 0.6, RequestKind::Completion(DESCRIPTION)).in_groups(8),
            Workload::new("bidder questions", 2.5, RequestKind::Completion(QUESTION)),
            Workload::new("summaries", 0.6, RequestKind::Completion(SUMMARY)),
            Workload::new("bids", 5.0, RequestKind::Write("/bids")),
            Workload::new("status", 6.0, RequestKind::Read("/status")),
        ],
    }
}
