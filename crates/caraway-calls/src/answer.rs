//! [`Answer`] assembles a caller's answer from the chunks that an engine sends.

use std::{
    collections::BTreeMap,
    hash::{DefaultHasher, Hash, Hasher},
    sync::Arc,
};

use caraway_types::{AdapterRef, LoadName, RequestId};

/// A chunk this many positions or more past the next token is dropped, which bounds the buffer.
const HELD_LIMIT: usize = 256;

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
pub enum Accepted {
    /// The chunk extended the answer, or repeated delivered tokens after a restart.
    Advanced,
    /// The chunk is buffered until the missing token at this index arrives.
    Gap(u32),
    /// The answer is complete.
    Finished,
    /// The chunk was dropped.
    Dropped(Dropped),
}

/// Reason for which a [`Chunk`] was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dropped {
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
    held: BTreeMap<u32, Token>,
    delivered: Vec<u64>,
    replayed: usize,
    last: Option<u32>,
    diverged: bool,
}

impl Answer {
    /// Creates an empty answer that accepts the chunks of `attempt`.
    #[must_use]
    pub fn new(attempt: Attempt) -> Self {
        Self {
            attempt,
            held: BTreeMap::new(),
            delivered: Vec::new(),
            replayed: 0,
            last: None,
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
        u32::try_from(self.delivered.len()).unwrap_or(u32::MAX)
    }

    /// Returns whether the last token of the current generation was delivered.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        self.last.is_some_and(|last| self.next() > last)
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
        self.held.clear();
        self.replayed = 0;
        self.last = None;
        true
    }

    /// Accepts a chunk and appends the tokens that are now ready for delivery to `due`.
    pub fn accept(&mut self, chunk: Chunk, due: &mut Vec<Token>) -> Accepted {
        if let Some(dropped) = self.check(&chunk) {
            return Accepted::Dropped(dropped);
        }
        let index = chunk.index;
        let token = Token {
            index,
            text: chunk.text,
            finish: chunk.finish,
        };
        if token.finish.is_some() {
            self.last = Some(index);
            self.held.retain(|&held, _| held < index);
        }
        self.held.insert(index, token);
        self.release(due)
    }

    fn check(&self, chunk: &Chunk) -> Option<Dropped> {
        let next = self.next();
        if chunk.request != self.attempt.request {
            Some(Dropped::ForeignRequest)
        } else if chunk.load != self.attempt.load {
            Some(Dropped::ForeignLoad)
        } else if self.diverged {
            Some(Dropped::Diverged)
        } else if chunk.index < next || self.held.contains_key(&chunk.index) {
            Some(Dropped::Duplicate)
        } else if self.last.is_some_and(|last| chunk.index > last) {
            Some(Dropped::PastEnd)
        } else if (chunk.index - next) as usize >= HELD_LIMIT {
            Some(Dropped::TooFarAhead)
        } else {
            None
        }
    }

    /// Returns the index of the next token expected from the current generation.
    fn next(&self) -> u32 {
        u32::try_from(self.replayed).unwrap_or(u32::MAX)
    }

    fn release(&mut self, due: &mut Vec<Token>) -> Accepted {
        let mut advanced = false;
        while let Some(token) = self.held.remove(&self.next()) {
            advanced = true;
            let digest = digest(&token);
            if let Some(known) = self.delivered.get(self.replayed) {
                if *known != digest {
                    self.diverged = true;
                    return Accepted::Dropped(Dropped::Diverged);
                }
            } else {
                self.delivered.push(digest);
                due.push(token);
            }
            self.replayed += 1;
        }
        if self.is_finished() {
            Accepted::Finished
        } else if advanced {
            Accepted::Advanced
        } else {
            Accepted::Gap(self.next())
        }
    }
}

fn digest(token: &Token) -> u64 {
    let mut hasher = DefaultHasher::new();
    (&token.text, &token.finish).hash(&mut hasher);
    hasher.finish()
}
