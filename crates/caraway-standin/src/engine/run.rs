//! [`Run`]: one attempt on the engine, and the text it generates.

use std::{sync::Arc, time::Instant};

use caraway_types::{AdapterRef, LoadName};
use caraway_wire::engine::{CompletionChunk, CompletionRequest, DONE};
use ntex::util::Bytes;
use tokio::sync::mpsc::UnboundedSender;
use xxhash_rust::xxh3::xxh3_64;

/// Version whose tokens an engine sends by a fault.
const WRONG_VERSION: &str = "wrong";

/// Returns token `index` of the answer of `adapter` to `prompt`.
#[must_use]
pub fn token(adapter: &AdapterRef, prompt: &str, index: u32) -> String {
    let prompt_hash = xxh3_64(prompt.as_bytes()) & 0xffff_ffff;
    format!("{adapter}:{prompt_hash:08x}:{index} ")
}

/// One attempt.
#[derive(Debug)]
pub(crate) struct Run {
    /// The attempt's id.
    pub(crate) id: Arc<str>,
    /// The load that it runs on.
    pub(crate) load: LoadName,
    /// The adapter version of that load.
    pub(crate) adapter: AdapterRef,
    /// The prompt.
    pub(crate) prompt: Arc<str>,
    /// Tokens to generate.
    pub(crate) max_tokens: u32,
    /// Lower goes first.
    pub(crate) priority: u8,
    /// Tokens generated.
    pub(crate) generated: u32,
    /// Whether it is in the batch.
    pub(crate) started: bool,
    /// Where its events go, while somebody listens.
    pub(crate) sink: Option<UnboundedSender<Bytes>>,
    /// Since when nobody listens.
    pub(crate) detached_at: Option<Instant>,
    /// Its place in the ledger.
    pub(crate) record_index: usize,
}

impl Run {
    /// Makes a run of `request` on `adapter`.
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

    /// Tells whether all tokens are generated.
    pub(crate) fn finished(&self) -> bool {
        self.generated >= self.max_tokens
    }

    /// Tells whether somebody listens.
    pub(crate) fn attached(&self) -> bool {
        self.sink.as_ref().is_some_and(|s| !s.is_closed())
    }

    /// Sends the tokens from `from` on to `sink`, now and as they come.
    pub(crate) fn attach(&mut self, sink: UnboundedSender<Bytes>, from: u32) {
        self.sink = Some(sink);
        self.detached_at = None;
        for index in from..self.generated {
            self.send_token(index);
        }
        self.close_if_finished();
    }

    /// Generates the next token, or the one of another version in its place.
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

    /// Sends one token, if somebody listens.
    fn send_token(&self, index: u32) {
        self.send_token_of(&self.adapter, index);
    }

    /// Sends the token that `adapter` gives.
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

    /// Closes the stream after the last token.
    fn close_if_finished(&mut self) {
        if self.finished()
            && let Some(sink) = self.sink.take()
        {
            drop(sink.send(Bytes::from(format!("data: {DONE}\n\n"))));
        }
    }
}
