//! [`EraTracker`]: tells late answers of the platform's store from those of its present state.

use caraway_types::StoreEra;

/// Largest era that is taken for valid, so that fencing tokens can contain it.
const MAX_ERA: StoreEra = (1 << 21) - 1;

/// The newest era of the platform's store that is known.
///
/// The store may return from a copy of itself that is some seconds old, and then states a higher era in
/// all its answers. What it said in an earlier era may have been undone since.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EraTracker {
    newest: StoreEra,
}

impl EraTracker {
    /// Returns the newest known era; 0 if none is known.
    #[must_use]
    pub fn newest(&self) -> StoreEra {
        self.newest
    }

    /// Returns the era that a text states; `None` if it is not a valid one.
    #[must_use]
    pub fn parse(text: &str) -> Option<StoreEra> {
        text.trim().parse().ok().filter(|era| *era <= MAX_ERA)
    }

    /// Records an era that the store has stated, here or to another instance.
    pub fn learn(&mut self, era: StoreEra) {
        if era <= MAX_ERA {
            self.newest = self.newest.max(era);
        }
    }

    /// Records an answer to a call that was made when `asked_in` was the newest known era; `stated` is
    /// the era in the answer, if it has a valid one. Returns whether the answer may be used: not if a
    /// later era has become known since it was given.
    ///
    /// An answer with an era that had ended before its call was made is a mistake of the store, and as
    /// good as one without an era.
    pub fn on_answer(&mut self, asked_in: StoreEra, stated: Option<StoreEra>) -> bool {
        let given_in = stated.unwrap_or(asked_in).max(asked_in);
        self.learn(given_in);
        given_in == self.newest
    }
}
