//! [`Run`]: one attempt on the engine, and the tokens it generates.

use std::{sync::Arc, time::Instant};

use caraway_types::{AdapterRef, LoadName};
use caraway_wire::engine::{CompletionChunk, CompletionRequest, DONE};
use ntex::util::Bytes;
use tokio::sync::mpsc::UnboundedSender;
use xxhash_rust::xxh3::xxh3_64;

/// Adapter version whose tokens an engine sends while `EngineFaults::wrong_tokens` is active.
const WRONG_VERSION: &str = "wrong";

/// Returns the token at `index`, counted from zero, that `adapter` generates for `prompt`.
///
/// The token names the adapter version, a hash of the prompt and the index, so that a caller can
/// verify all three.
#[must_use]
pub fn token(adapter: &AdapterRef, prompt: &str, index: u32) -> String {
    let prompt_hash = xxh3_64(prompt.as_bytes()) & 0xffff_ffff;
    format!("{adapter}:{prompt_hash:08x}:{index} ")
}

/// One attempt, from its acceptance until it finishes or is ended.
#[derive(Debug)]
pub(crate) struct Run {
    /// The attempt's id.
    pub(crate) id: Arc<str>,
    /// The load that it runs on.
    pub(crate) load: LoadName,
    /// The adapter version behind that load.
    pub(crate) adapter: AdapterRef,
    pub(crate) prompt: Arc<str>,
    /// Number of tokens to generate, at least one.
    pub(crate) max_tokens: u32,
    /// Runs with a lower value enter the batch first.
    pub(crate) priority: u8,
    /// Number of tokens generated so far.
    pub(crate) generated: u32,
    /// Whether it has entered the batch.
    pub(crate) started: bool,
    /// Channel to the connected caller, if any; closed when the caller disconnects.
    pub(crate) sink: Option<UnboundedSender<Bytes>>,
    /// When it was found without a connected caller, or finished.
    pub(crate) detached_at: Option<Instant>,
    /// Index of its record in `EngineLedger::runs`.
    pub(crate) record_index: usize,
}

impl Run {
    /// Returns a run of `request` that has not entered the batch and has no caller yet.
    pub(crate) fn new(
        request: CompletionRequest,
        adapter: AdapterRef,
        record_index: usize,
    ) -> Self {
        Self {
            id: request.request_id,
            load: request.model,
            adapter,
            prompt: request.prompt,
            max_tokens: request.max_tokens.max(1),
            priority: request.priority,
            generated: 0,
            started: false,
            sink: None,
            detached_at: None,
            record_index,
        }
    }

    /// Returns whether all tokens are generated.
    pub(crate) fn is_finished(&self) -> bool {
        self.generated >= self.max_tokens
    }

    /// Returns whether a caller is connected.
    pub(crate) fn is_attached(&self) -> bool {
        self.sink.as_ref().is_some_and(|s| !s.is_closed())
    }

    /// Connects a caller: sends the tokens from index `from` that exist and later ones as they are
    /// generated.
    pub(crate) fn attach(&mut self, sink: UnboundedSender<Bytes>, from: u32) {
        self.sink = Some(sink);
        self.detached_at = None;
        for index in from..self.generated {
            self.send_token(index);
        }
        self.close_if_finished();
    }

    /// Generates and sends the next token; if `wrong`, sends that of another adapter version
    /// instead.
    pub(crate) fn generate_token(&mut self, wrong: bool) {
        let index = self.generated;
        self.generated += 1;
        if wrong {
            self.send_token_of(
                &AdapterRef::new(&*self.adapter.adapter, WRONG_VERSION),
                index,
            );
        } else {
            self.send_token(index);
        }
        self.close_if_finished();
    }

    /// Sends the token at `index` to the caller, if one is connected.
    fn send_token(&self, index: u32) {
        self.send_token_of(&self.adapter, index);
    }

    /// Sends the token at `index` as `adapter` generates it.
    fn send_token_of(&self, adapter: &AdapterRef, index: u32) {
        let Some(sink) = &self.sink else { return };
        let last = index + 1 == self.max_tokens;
        let chunk = CompletionChunk {
            request_id: Arc::clone(&self.id),
            model: Arc::clone(&self.load),
            index,
            text: token(adapter, &self.prompt, index).into(),
            finish_reason: last.then(|| "length".into()),
        };
        if let Ok(json) = serde_json::to_string(&chunk) {
            drop(sink.send(Bytes::from(format!("data: {json}\n\n"))));
        }
    }

    /// Sends [`DONE`] and closes the channel if the last token was generated.
    fn close_if_finished(&mut self) {
        if self.is_finished()
            && let Some(sink) = self.sink.take()
        {
            drop(sink.send(Bytes::from(format!("data: {DONE}\n\n"))));
        }
    }
}
