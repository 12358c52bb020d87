//! [`RequestHead`]: what the headers of a request say about it.

use std::{fmt, sync::Arc, time::Duration};

use caraway_types::{AdapterId, RequestId, TokenCount};
use serde::{Deserialize, Serialize};

/// A base model, optionally with one of its adapters.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ModelRef {
    /// Name of the base model.
    pub model: Arc<str>,
    /// The adapter, or `None` for the base model without an adapter.
    pub adapter: Option<AdapterId>,
}

impl fmt::Display for ModelRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.adapter {
            Some(adapter) => write!(f, "{}/{adapter}", self.model),
            None => f.write_str(&self.model),
        }
    }
}

/// A segment at the beginning of a prompt that other prompts may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptSegment {
    /// Identifies the content: equal segments have equal ids.
    pub id: u64,
    /// Length of the segment, in tokens.
    pub tokens: u32,
}

/// What the headers of a request say about it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestHead {
    /// Id chosen by the caller, or empty if the caller sent none.
    pub id: RequestId,
    /// Time the caller allows for the request, or `None` if it states no limit.
    pub timeout: Option<Duration>,
    /// The requested model, or `None` if the request names none.
    pub model: Option<ModelRef>,
    /// Size of the generation; zero if the caller states none.
    pub tokens: TokenCount,
    /// Leading segments of the prompt, in order.
    pub prompt: Vec<PromptSegment>,
    /// Id of the last event that the caller received, if it resumes an interrupted stream.
    pub resume_after: Option<Arc<str>>,
    /// Id of the request that brought the first event of the stream that this one takes up.
    pub resumes: Option<RequestId>,
}

impl RequestHead {
    /// Returns the segments of the prompt that other requests may share: all but the last one,
    /// which belongs to the request or its session.
    #[must_use]
    pub fn shared_segments(&self) -> &[PromptSegment] {
        self.prompt.split_last().map_or(&[], |(_, shared)| shared)
    }
}
