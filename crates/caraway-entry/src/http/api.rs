//! Request and response bodies of the completions API, in the widely used JSON format.

use std::sync::Arc;

use caraway_calls::Token;
use caraway_types::{AdapterRef, Refusal, RequestId};
use serde::{Deserialize, Serialize};

use super::request::bad_request;

/// Token limit of a request without `max_tokens`, unless the instance allows fewer.
const DEFAULT_MAX_TOKENS: u32 = 256;

/// Format of the answer to a caller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ResponseFormat {
    /// Whether the answer is a chat message instead of text.
    pub(crate) chat: bool,
    /// Whether the answer is sent as server-sent events instead of one body.
    pub(crate) stream: bool,
}

/// Request body for text and chat completions. Unknown fields are ignored, as callers send many.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct CompletionBody {
    /// Adapter version as `adapter@version`, or `adapter` for its current version.
    pub(crate) model: String,
    /// Prompt; required for a text completion, unused for a chat.
    pub(crate) prompt: Option<String>,
    /// Messages of a chat, oldest first; unused for a text completion.
    pub(crate) messages: Vec<ChatMessage>,
    /// Largest number of tokens to generate; [`DEFAULT_MAX_TOKENS`] if missing.
    pub(crate) max_tokens: Option<u32>,
    /// Whether the answer is sent as server-sent events.
    pub(crate) stream: bool,
}

/// One message of a chat.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct ChatMessage {
    /// Role of the author, such as `user` or `assistant`.
    pub(crate) role: String,
    /// Text of the message.
    pub(crate) content: String,
}

impl CompletionBody {
    /// Returns the prompt and the largest number of tokens to generate, which is at most `limit`.
    ///
    /// # Errors
    ///
    /// Returns a refusal that names the first invalid field.
    pub(crate) fn validate(&self, chat: bool, limit: u32) -> Result<(Arc<str>, u32), Refusal> {
        let prompt = if chat {
            if self.messages.is_empty() {
                return Err(bad_request("/messages", "missing or empty"));
            }
            let line = |m: &ChatMessage| format!("{}: {}\n", m.role, m.content);
            self.messages.iter().map(line).collect::<String>().into()
        } else {
            let Some(prompt) = &self.prompt else {
                return Err(bad_request("/prompt", "missing"));
            };
            prompt.as_str().into()
        };
        let max_tokens = self.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS.min(limit));
        if max_tokens == 0 || max_tokens > limit {
            let problem = format!("not from 1 to {limit}");
            return Err(bad_request("/max_tokens", &problem));
        }
        Ok((prompt, max_tokens))
    }
}

/// Response body for a complete answer, or for one event of a streamed answer.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct CompletionAnswer {
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
    delta: Option<Message>,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<Message>,
    finish_reason: Option<Arc<str>>,
}

#[derive(Clone, Debug, Serialize)]
struct Message {
    role: &'static str,
    content: Arc<str>,
}

#[derive(Clone, Copy, Debug, Serialize)]
struct Usage {
    completion_tokens: usize,
}

/// Response body of a refused request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct ErrorBody {
    /// Reason, certainty and detail of the refusal.
    pub(crate) error: Refusal,
    /// Id of the request; `None` if it was refused before its id was known.
    pub(crate) id: Option<RequestId>,
}

impl CompletionAnswer {
    /// Returns the body of an event that carries one token.
    pub(crate) fn chunk(id: &RequestId, model: &AdapterRef, chat: bool, token: Token) -> Self {
        let mut choice = Choice {
            finish_reason: token.finish,
            ..Choice::default()
        };
        if chat {
            choice.delta = Some(Message::from_assistant(token.text));
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

    /// Returns the body of a complete answer.
    pub(crate) fn complete(
        id: &RequestId,
        model: &AdapterRef,
        chat: bool,
        tokens: &[Token],
    ) -> Self {
        let text: String = tokens.iter().map(|t| &*t.text).collect();
        let joined = Token {
            index: 0,
            text: text.into(),
            finish: tokens.last().and_then(|t| t.finish.clone()),
        };
        let mut answer = Self::chunk(id, model, chat, joined);
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

impl Message {
    fn from_assistant(content: Arc<str>) -> Self {
        Self {
            role: "assistant",
            content,
        }
    }
}
