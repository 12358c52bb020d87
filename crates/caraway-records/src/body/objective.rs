//! [`Objective`]: a service-level objective.

use serde::{Deserialize, Serialize};

use caraway_types::{AccountId, AdapterRef, Class, Findings, Millis};

use crate::fields::Fields;

/// Longest window, 90 days in milliseconds.
const WINDOW_MAX_MS: u64 = 90 * 24 * 3600 * 1000;
/// Longest threshold, one day in milliseconds.
const THRESHOLD_MAX_MS: u64 = 24 * 3600 * 1000;

/// What an [`Objective`] measures of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Measure {
    /// Whether it was answered at all.
    #[default]
    Answered,
    /// Time to the first token.
    FirstToken,
    /// Longest time between two tokens.
    BetweenTokens,
    /// Time to the whole answer.
    WholeAnswer,
    /// Time it waited for its adapter.
    LoadStall,
}

/// Says which share of the requests must be good.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Objective {
    /// The client account whose requests count; all where absent.
    pub account: Option<AccountId>,
    /// The class whose requests count; all where absent.
    pub class: Option<Class>,
    /// What is measured.
    pub measure: Measure,
    /// The largest good measure; unused for [`Measure::Answered`].
    pub threshold_ms: Millis,
    /// Share of good requests, between 0 and 1.
    pub target: f64,
    /// The time over which the share counts.
    pub window_ms: Millis,
}

impl Measure {
    const ALL: [(&'static str, Self); 5] = [
        ("answered", Self::Answered),
        ("first_token", Self::FirstToken),
        ("between_tokens", Self::BetweenTokens),
        ("whole_answer", Self::WholeAnswer),
        ("load_stall", Self::LoadStall),
    ];

    fn find(text: &str) -> Option<Self> {
        let named = Self::ALL.into_iter().find(|(name, _)| *name == text);
        named.map(|(_, measure)| measure)
    }
}

impl Objective {
    /// Reads schema 1.
    pub(crate) fn read(fields: &mut Fields<'_>, found: &mut Findings) -> Self {
        let class = |t: &str| t.parse::<Class>().is_ok();
        let class = fields.optional_text("class", "interactive, summary or batch", class, found);
        let measure = fields.text(
            "measure",
            "answered, first_token, between_tokens, whole_answer or load_stall",
            |t| Measure::find(t).is_some(),
            found,
        );
        Self {
            account: fields.optional_text("account", "a name", AdapterRef::is_valid_name, found),
            class: class.and_then(|c| c.parse().ok()),
            measure: Measure::find(&measure).unwrap_or_default(),
            threshold_ms: fields
                .whole("threshold_ms", THRESHOLD_MAX_MS, 0, found)
                .into(),
            target: fields.number("target", (0.0, 0.999_999), 0.99, found),
            window_ms: fields
                .whole("window_ms", WINDOW_MAX_MS, WINDOW_MAX_MS / 3, found)
                .into(),
        }
    }
}
