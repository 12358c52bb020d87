//! [`CallHead`]: what a request's head says about it.

use std::{fmt, sync::Arc, time::Duration};

use caraway_types::{AdapterId, RequestId};
use serde::{Deserialize, Serialize};

/// Names a model, and an adapter of it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ModelRef {
    /// The base model.
    pub model: Arc<str>,
    /// The adapter; `None` for the base model itself.
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

/// Tokens of a generation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenCount {
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Most tokens to generate.
    pub output: u32,
}

/// A part of a prompt that other prompts may begin with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptPart {
    /// Names the part; equal parts have equal numbers.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// What a request's head says about it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallHead {
    /// Names the request; empty when the caller gave no name.
    pub id: RequestId,
    /// How long the caller waits.
    pub deadline: Option<Duration>,
    /// The model that is asked for.
    pub model: Option<ModelRef>,
    /// Size of the generation.
    pub tokens: TokenCount,
    /// Parts of the prompt, in order.
    pub prompt: Vec<PromptPart>,
    /// The last event that the caller has of an earlier stream.
    pub resume_after: Option<Arc<str>>,
}
