//! The callers' messages: the usual completions API.

use std::sync::Arc;

use caraway_calls::Token;
use caraway_types::{AdapterRef, Refusal, RequestId};
use serde::{Deserialize, Serialize};

use super::ask::bad;

/// Tokens that a request generates when it names no limit.
const DEFAULT_TOKENS: u32 = 256;

/// How a caller wants its answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Shape {
    /// Chat messages rather than text.
    pub(crate) chat: bool,
    /// Server-sent events rather than one body.
    pub(crate) stream: bool,
}

/// A caller's request; unknown fields are ignored, as callers send many.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct CallerRequest {
    /// `adapter@version` or `adapter`.
    pub(crate) model: String,
    /// The prompt of a completion.
    pub(crate) prompt: Option<String>,
    /// The messages of a chat.
    pub(crate) messages: Vec<ChatMessage>,
    /// Most tokens to generate.
    pub(crate) max_tokens: Option<u32>,
    /// Whether to stream.
    pub(crate) stream: bool,
}

/// One message of a chat.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct ChatMessage {
    /// Who says it.
    pub(crate) role: String,
    /// What is said.
    pub(crate) content: String,
}

impl CallerRequest {
    /// Returns the prompt and the limit of tokens.
    ///
    /// # Errors
    ///
    /// Returns a refusal that names the first bad field.
    pub(crate) fn check(&self, chat: bool, limit: u32) -> Result<(Arc<str>, u32), Refusal> {
        let prompt = if chat {
            if self.messages.is_empty() {
                return Err(bad("/messages", "missing or empty"));
            }
            let line = |m: &ChatMessage| format!("{}: {}\n", m.role, m.content);
            self.messages.iter().map(line).collect::<String>().into()
        } else {
            let Some(prompt) = &self.prompt else {
                return Err(bad("/prompt", "missing"));
            };
            prompt.as_str().into()
        };
        let tokens = self.max_tokens.unwrap_or(DEFAULT_TOKENS.min(limit));
        if tokens == 0 || tokens > limit {
            let problem = format!("not from 1 to {limit}");
            return Err(bad("/max_tokens", &problem));
        }
        Ok((prompt, tokens))
    }
}

/// A part of an answer, or a whole one.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct CallerAnswer {
    id: RequestId,
    object: &'static str,
    model: AdapterRef,
    choices: [Choice; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    token_index: Option<u32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

#[derive(Clone, Debug, Default, Serialize)]
#[serde(default)]
struct Choice {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<Arc<str>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<Content>,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<Content>,
    finish_reason: Option<Arc<str>>,
}

#[derive(Clone, Debug, Serialize)]
struct Content {
    role: &'static str,
    content: Arc<str>,
}

#[derive(Clone, Copy, Debug, Serialize)]
struct Usage {
    completion_tokens: usize,
}

/// A refusal's body.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct CallerError {
    /// The refusal.
    pub(crate) error: Refusal,
    /// The request, where it is known.
    pub(crate) id: Option<RequestId>,
}

impl CallerAnswer {
    /// Makes the part of an answer that carries one token.
    pub(crate) fn part(id: &RequestId, model: &AdapterRef, chat: bool, token: Token) -> Self {
        let mut choice = Choice {
            finish_reason: token.finish,
            ..Choice::default()
        };
        if chat {
            choice.delta = Some(Content::assistant(token.text));
        } else {
            choice.text = Some(token.text);
        }
        Self {
            id: Arc::clone(id),
            object: if chat {
                "chat.completion.chunk"
            } else {
                "text_completion"
            },
            model: model.clone(),
            choices: [choice],
            token_index: Some(token.index),
            usage: None,
        }
    }

    /// Makes a whole answer.
    pub(crate) fn whole(id: &RequestId, model: &AdapterRef, chat: bool, tokens: &[Token]) -> Self {
        let text: String = tokens.iter().map(|t| &*t.text).collect();
        let last = Token {
            index: 0,
            text: text.into(),
            finish: tokens.last().and_then(|t| t.finish.clone()),
        };
        let mut answer = Self::part(id, model, chat, last);
        answer.token_index = None;
        answer.usage = Some(Usage {
            completion_tokens: tokens.len(),
        });
        if chat {
            answer.object = "chat.completion";
            let choice = &mut answer.choices[0];
            choice.message = choice.delta.take();
        }
        answer
    }
}

impl Content {
    fn assistant(content: Arc<str>) -> Self {
        Self {
            role: "assistant",
            content,
        }
    }
}
