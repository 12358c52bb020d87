//! [`Answer`] joins the chunks of an engine into a caller's answer.

use std::{
    collections::BTreeMap,
    hash::{DefaultHasher, Hash, Hasher},
    sync::Arc,
};

use caraway_types::{AdapterRef, LoadName, RequestId};

/// Most chunks that are kept while an earlier one is missing.
const HELD_LIMIT: usize = 256;

/// Says which answer an attempt expects.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// The id that the engine echoes.
    pub request: RequestId,
    /// The load that must answer.
    pub load: LoadName,
    /// The adapter version that the load holds.
    pub adapter: AdapterRef,
}

/// A piece of an answer as an engine sent it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Chunk {
    /// The attempt's id as echoed.
    pub request: RequestId,
    /// The load that produced it.
    pub load: LoadName,
    /// Position of the token, from zero.
    pub index: u32,
    /// The token's text.
    pub text: Arc<str>,
    /// Why the answer ends here, on the last token.
    pub finish: Option<Arc<str>>,
}

/// A token that is due to the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Token {
    /// Position in the answer, from zero.
    pub index: u32,
    /// The token's text.
    pub text: Arc<str>,
    /// Why the answer ends here, on the last token.
    pub finish: Option<Arc<str>>,
}

/// What became of a [`Chunk`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Accepted {
    /// Tokens became due.
    Advanced,
    /// The chunk waits for the missing token of this index.
    Gap(u32),
    /// The last token became due; the answer is whole.
    Finished,
    /// The chunk has no effect.
    Dropped(Dropped),
}

/// Why a [`Chunk`] has no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dropped {
    /// It belongs to another attempt.
    ForeignRequest,
    /// Another load produced it.
    ForeignLoad,
    /// Its token was delivered or is already held.
    Duplicate,
    /// It lies after the last token.
    PastEnd,
    /// Too many tokens before it are missing.
    TooFarAhead,
    /// A repeated generation differs from what the caller already has; the answer cannot go on.
    Diverged,
}

/// Assembles one caller's answer from the chunks of its attempts.
///
/// Chunks may come in any order, more than once, late, or from other answers. Each token comes
/// out once. After a broken connection the answer goes on by resuming the same attempt at
/// [`resume_from`](Self::resume_from), or by [`restart`](Self::restart)ing on a load of the same
/// adapter version, which must repeat the delivered tokens.
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
    /// Starts an empty answer that expects the chunks of `attempt`.
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

    /// Returns the attempt whose chunks are expected.
    #[must_use]
    pub fn attempt(&self) -> &Attempt {
        &self.attempt
    }

    /// Returns the index of the first token that the caller does not have.
    #[must_use]
    pub fn resume_from(&self) -> u32 {
        u32::try_from(self.delivered.len()).unwrap_or(u32::MAX)
    }

    /// Tells whether the last token is delivered.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        self.last.is_some_and(|last| self.next() > last)
    }

    /// Tells whether a repeated generation differed, so that the answer cannot be completed.
    #[must_use]
    pub fn is_diverged(&self) -> bool {
        self.diverged
    }

    /// Expects the answer from a new attempt that generates again from the first token.
    ///
    /// Delivered tokens are compared and not delivered again. Returns false, and changes nothing,
    /// when `attempt` names another adapter version.
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

    /// Takes a chunk and appends the tokens that become due to `due`.
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

    /// Index of the token that the current generation owes next.
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
