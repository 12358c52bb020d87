//! [`Objective`]: a service-level objective.

use serde::{Deserialize, Serialize};

use caraway_types::{AccountId, AdapterRef, Class, Findings, Millis};

use crate::fields::Fields;

/// Maximum window: 90 days, in milliseconds.
const MAX_WINDOW_MS: u64 = 90 * 24 * 3600 * 1000;
/// Maximum threshold: one day, in milliseconds.
const MAX_THRESHOLD_MS: u64 = 24 * 3600 * 1000;

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
    const NAMES: [(&'static str, Self); 5] = [
        ("answered", Self::Answered),
        ("first_token", Self::FirstToken),
        ("between_tokens", Self::BetweenTokens),
        ("whole_answer", Self::WholeAnswer),
        ("load_stall", Self::LoadStall),
    ];

    fn from_name(text: &str) -> Option<Self> {
        let named = Self::NAMES.into_iter().find(|(name, _)| *name == text);
        named.map(|(_, measure)| measure)
    }
}

impl Objective {
    /// Parses a body in schema 1.
    pub(crate) fn parse(fields: &mut Fields<'_>, findings: &mut Findings) -> Self {
        let class = |t: &str| t.parse::<Class>().is_ok();
        let class =
            fields.optional_string("class", "interactive, summary or batch", class, findings);
        let measure = fields.string(
            "measure",
            "answered, first_token, between_tokens, whole_answer or load_stall",
            |t| Measure::from_name(t).is_some(),
            findings,
        );
        Self {
            account: fields.optional_string(
                "account",
                "a name",
                AdapterRef::is_valid_name,
                findings,
            ),
            class: class.and_then(|c| c.parse().ok()),
            measure: Measure::from_name(&measure).unwrap_or_default(),
            threshold_ms: fields
                .integer("threshold_ms", MAX_THRESHOLD_MS, 0, findings)
                .into(),
            target: fields.number("target", (0.0, 0.999_999), 0.99, findings),
            window_ms: fields
                .integer("window_ms", MAX_WINDOW_MS, MAX_WINDOW_MS / 3, findings)
                .into(),
        }
    }
}
