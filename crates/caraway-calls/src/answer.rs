//! [`Answer`] assembles a caller's answer from the chunks that an engine sends.

use std::{
    collections::BTreeMap,
    hash::{DefaultHasher, Hash, Hasher},
    sync::Arc,
};

use caraway_types::{AdapterRef, LoadName, RequestId};

/// A chunk this many positions or more past the next token is dropped, which bounds the buffer.
const MAX_BUFFERED_CHUNKS: usize = 256;

/// Identifies one attempt and the load that it was sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Request id of this attempt; the engine echoes it in every chunk.
    pub request: RequestId,
    /// Load that the attempt was sent to; chunks of any other load are dropped.
    pub load: LoadName,
    /// Adapter version of the load.
    pub adapter: AdapterRef,
}

/// One token as received from an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Chunk {
    /// Request id that the engine echoed.
    pub request: RequestId,
    /// Load that generated the token.
    pub load: LoadName,
    /// Zero-based position of the token in the answer.
    pub index: u32,
    /// Text of the token.
    pub text: Arc<str>,
    /// Finish reason of the engine, on the last token only.
    pub finish: Option<Arc<str>>,
}

/// A token that is ready to be delivered to the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Token {
    /// Zero-based position in the answer.
    pub index: u32,
    /// Text of the token.
    pub text: Arc<str>,
    /// Finish reason of the engine, on the last token only.
    pub finish: Option<Arc<str>>,
}

/// Effect of a [`Chunk`] on the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChunkEffect {
    /// The chunk extended the answer, or repeated delivered tokens after a restart.
    Advanced,
    /// The chunk is buffered until the missing token at this index arrives.
    Gap(u32),
    /// The answer is complete.
    Finished,
    /// The chunk was dropped.
    Dropped(DropReason),
}

/// Reason for which a [`Chunk`] was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DropReason {
    /// The request id is that of another attempt.
    ForeignRequest,
    /// Another load generated it.
    ForeignLoad,
    /// The token was already delivered or is already buffered.
    Duplicate,
    /// The index is greater than that of the last token.
    PastEnd,
    /// The index is too far past the next token to be buffered.
    TooFarAhead,
    /// A restarted generation differs from the delivered tokens; the answer cannot be completed.
    Diverged,
}

/// Assembles one caller's answer from the chunks of its attempts.
///
/// Chunks may arrive in any order, more than once, late, or from other answers; each token is
/// delivered once. After a broken connection the caller of this type either resumes the same
/// attempt at [`resume_from`](Self::resume_from) or [`restart`](Self::restart)s the answer on a
/// load of the same adapter version, which must generate the delivered tokens again.
#[derive(Clone, Debug)]
pub struct Answer {
    attempt: Attempt,
    /// Tokens that wait for an earlier one, by index.
    buffered: BTreeMap<u32, Token>,
    /// Hashes of the tokens that were delivered to the caller.
    delivered_hashes: Vec<u64>,
    /// Number of tokens of the current generation that were delivered or compared.
    position: usize,
    /// Index of the last token of the current generation, once it is known.
    last_index: Option<u32>,
    diverged: bool,
}

impl Answer {
    /// Creates an empty answer that accepts the chunks of `attempt`.
    #[must_use]
    pub fn new(attempt: Attempt) -> Self {
        Self {
            attempt,
            buffered: BTreeMap::new(),
            delivered_hashes: Vec::new(),
            position: 0,
            last_index: None,
            diverged: false,
        }
    }

    /// Returns the attempt whose chunks are accepted.
    #[must_use]
    pub fn attempt(&self) -> &Attempt {
        &self.attempt
    }

    /// Returns the index of the first token that was not delivered yet.
    #[must_use]
    pub fn resume_from(&self) -> u32 {
        u32::try_from(self.delivered_hashes.len()).unwrap_or(u32::MAX)
    }

    /// Returns whether the last token of the current generation was delivered.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        self.last_index.is_some_and(|last| self.next_index() > last)
    }

    /// Returns whether a restarted generation differed from the delivered tokens, so that the
    /// answer cannot be completed.
    #[must_use]
    pub fn is_diverged(&self) -> bool {
        self.diverged
    }

    /// Switches to a new attempt that generates the answer again from the first token.
    ///
    /// Tokens that were delivered before are only compared, not delivered again. Returns false and
    /// changes nothing if `attempt` has another adapter version.
    pub fn restart(&mut self, attempt: Attempt) -> bool {
        if attempt.adapter != self.attempt.adapter {
            return false;
        }
        self.attempt = attempt;
        self.buffered.clear();
        self.position = 0;
        self.last_index = None;
        true
    }

    /// Accepts a chunk and appends the tokens that are now ready for delivery to `ready`.
    pub fn accept(&mut self, chunk: Chunk, ready: &mut Vec<Token>) -> ChunkEffect {
        if let Some(reason) = self.drop_reason(&chunk) {
            return ChunkEffect::Dropped(reason);
        }
        let index = chunk.index;
        let token = Token {
            index,
            text: chunk.text,
            finish: chunk.finish,
        };
        if token.finish.is_some() {
            self.last_index = Some(index);
            self.buffered.retain(|&buffered, _| buffered < index);
        }
        self.buffered.insert(index, token);
        self.deliver_ready(ready)
    }

    fn drop_reason(&self, chunk: &Chunk) -> Option<DropReason> {
        let next = self.next_index();
        if chunk.request != self.attempt.request {
            Some(DropReason::ForeignRequest)
        } else if chunk.load != self.attempt.load {
            Some(DropReason::ForeignLoad)
        } else if self.diverged {
            Some(DropReason::Diverged)
        } else if chunk.index < next || self.buffered.contains_key(&chunk.index) {
            Some(DropReason::Duplicate)
        } else if self.last_index.is_some_and(|last| chunk.index > last) {
            Some(DropReason::PastEnd)
        } else if (chunk.index - next) as usize >= MAX_BUFFERED_CHUNKS {
            Some(DropReason::TooFarAhead)
        } else {
            None
        }
    }

    /// Returns the index of the next token expected from the current generation.
    fn next_index(&self) -> u32 {
        u32::try_from(self.position).unwrap_or(u32::MAX)
    }

    /// Moves the consecutive buffered tokens to `ready`, or compares them after a restart.
    fn deliver_ready(&mut self, ready: &mut Vec<Token>) -> ChunkEffect {
        let mut advanced = false;
        while let Some(token) = self.buffered.remove(&self.next_index()) {
            advanced = true;
            let hash = token_hash(&token);
            if let Some(expected) = self.delivered_hashes.get(self.position) {
                if *expected != hash {
                    self.diverged = true;
                    return ChunkEffect::Dropped(DropReason::Diverged);
                }
            } else {
                self.delivered_hashes.push(hash);
                ready.push(token);
            }
            self.position += 1;
        }
        if self.is_finished() {
            ChunkEffect::Finished
        } else if advanced {
            ChunkEffect::Advanced
        } else {
            ChunkEffect::Gap(self.next_index())
        }
    }
}

fn token_hash(token: &Token) -> u64 {
    let mut hasher = DefaultHasher::new();
    (&token.text, &token.finish).hash(&mut hasher);
    hasher.finish()
}
