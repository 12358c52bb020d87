//! [`Objective`]: a service-level objective.

use serde::{Deserialize, Serialize};

use caraway_types::{AccountId, AdapterRef, Class, Findings, Millis};

use crate::fields::Fields;

/// Maximum window: 90 days, in milliseconds.
const WINDOW_MAX_MS: u64 = 90 * 24 * 3600 * 1000;
/// Maximum threshold: one day, in milliseconds.
const THRESHOLD_MAX_MS: u64 = 24 * 3600 * 1000;

/// The property of a request that an [`Objective`] measures.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Measure {
    /// Whether the request was answered completely.
    #[default]
    Answered,
    /// Time from the request to the first token.
    FirstToken,
    /// Longest time between two consecutive tokens.
    BetweenTokens,
    /// Time from the request to the end of its answer.
    WholeAnswer,
    /// Time that the request waited for its adapter to load.
    LoadStall,
}

/// A service-level objective: the share of requests that must be good.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Objective {
    /// Only requests of this client account count; `None` counts all accounts.
    pub account: Option<AccountId>,
    /// Only requests of this class count; `None` counts all classes.
    pub class: Option<Class>,
    /// The measured property.
    pub measure: Measure,
    /// Largest value at which a request is good, in milliseconds; unused for [`Measure::Answered`].
    pub threshold_ms: Millis,
    /// Required share of good requests, from 0 to below 1.
    pub target: f64,
    /// Period over which the share is computed, in milliseconds.
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
    /// Parses a body in schema 1.
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
