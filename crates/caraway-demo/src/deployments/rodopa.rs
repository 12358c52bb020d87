//! Deployment `rodopa`, modelled on Rodopa Furnir Auctions, a veneer auction house.

use caraway_standin::{EngineSettings, StoreSettings};
use caraway_types::Class;

use crate::deployment::{Ask, Completion, Deployment, Workload, engine};

/// The catalogue description of one lot.
const DESCRIPTION: Completion = Completion {
    class: Class::Batch,
    prompt: "Describe this lot of veneer flitches for the catalogue.",
    tokens: 64,
    stream: false,
    chat: false,
    deadline_s: 30,
};
/// A bidder's question about a lot.
const QUESTION: Completion = Completion {
    class: Class::Interactive,
    prompt: "Is this walnut flitch suited to bookmatching?",
    tokens: 24,
    stream: true,
    chat: true,
    deadline_s: 10,
};
/// The summary of a lot's quality sheet.
const SUMMARY: Completion = Completion {
    class: Class::Summary,
    prompt: "Summarise the quality sheet of this lot.",
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
        entries: 6,
        engines: 9,
        engine: EngineSettings {
            checks_fencing: false,
            ..engine()
        },
        service: "bids",
        replicas: 3,
        store: StoreSettings {
            rate: 2.6,
            ..StoreSettings::default()
        },
        account: "rodopa-furnir",
        prefix: "mill",
        adapters: 3_000,
        skew: 1.5,
        stall_weight: 1.0,
        batch_weight: 2.0,
        workloads: vec![
            Workload::new("descriptions", 0.6, Ask::Completion(DESCRIPTION)).in_groups(8),
            Workload::new("bidder questions", 2.5, Ask::Completion(QUESTION)),
            Workload::new("summaries", 0.6, Ask::Completion(SUMMARY)),
            Workload::new("bids", 5.0, Ask::Write("/bids")),
            Workload::new("status", 6.0, Ask::Read("/status")),
        ],
    }
}
