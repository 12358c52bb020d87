//! [`CrashReport`]: a crash of an endpoint as one instance has seen it.

use std::sync::Arc;

use caraway_types::{EndpointId, Millis, RequestId};
use serde::{Deserialize, Serialize};

use crate::Suspect;

/// A crash of an endpoint as one instance has seen it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The service that the endpoint belongs to.
    pub service: Arc<str>,
    /// The endpoint that crashed.
    pub endpoint: EndpointId,
    /// Start time of the incarnation that crashed, in Unix milliseconds; `None` if unknown.
    #[serde(rename = "born")]
    pub started_ms: Option<u64>,
    /// Time since the crash was seen.
    pub age: Millis,
    /// The requests that had not ended at the endpoint, and the shared segments of those that had made no
    /// progress, without those with which requests have made progress before.
    pub suspects: Vec<Suspect>,
    /// Those with which requests have made progress before, but not since the crashed ones were sent.
    pub proven: Vec<Suspect>,
    /// Ids of these requests.
    pub requests: Vec<RequestId>,
}
