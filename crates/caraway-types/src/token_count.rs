//! [`TokenCount`], the size of a generation.

use serde::{Deserialize, Serialize};

/// Size of a generation, in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenCount {
    /// Length of the prompt.
    pub prompt: u32,
    /// Maximum number of tokens to generate.
    pub output: u32,
}
