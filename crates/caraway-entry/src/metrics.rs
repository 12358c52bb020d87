//! [`Metrics`] of a daemon; docs/METRICS.md is their catalogue.
//!
//! No label has more values than there are classes, outcomes or kinds of message, so that the
//! number of series does not grow with adapters or client accounts.

use std::time::Duration;

use caraway_types::Class;
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Histogram, Meter, MeterProvider},
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

/// Upper bounds of the buckets for times, in seconds.
const TIME_BOUNDS_SECONDS: [f64; 14] = [
    0.005, 0.01, 0.02, 0.033, 0.05, 0.1, 0.25, 0.5, 1.0, 1.9, 5.0, 10.0, 30.0, 60.0,
];

/// One metric: its name as exported, its unit and its labels.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MetricInfo {
    /// The exported name.
    pub name: &'static str,
    /// The unit.
    pub unit: &'static str,
    /// The labels.
    pub labels: &'static [&'static str],
}

/// Every metric of a daemon.
pub const METRICS: &[MetricInfo] = &[
    metric("caraway_requests_total", "requests", &["class", "outcome"]),
    metric("caraway_tokens_total", "tokens", &["class"]),
    metric("caraway_first_token_seconds", "seconds", &["class"]),
    metric("caraway_between_tokens_seconds", "seconds", &["class"]),
    metric("caraway_verdict_seconds", "seconds", &["class"]),
    metric("caraway_orders_total", "orders", &["order", "result"]),
    metric("caraway_control_bytes_total", "bytes", &["message"]),
    metric("caraway_chunks_dropped_total", "chunks", &[]),
    metric("caraway_attempts_failed_total", "attempts", &[]),
];

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// Whole answer.
    Complete,
    /// Refused as not run.
    NotRun,
    /// Refused as in doubt.
    InDoubt,
    /// The caller left.
    CallerLeft,
}

/// The instruments of a daemon.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    tokens: Counter<u64>,
    first_token: Histogram<f64>,
    between_tokens: Histogram<f64>,
    verdict: Histogram<f64>,
    orders: Counter<u64>,
    control_bytes: Counter<u64>,
    chunks_dropped: Counter<u64>,
    attempts_failed: Counter<u64>,
}

impl Metrics {
    /// Makes the instruments.
    ///
    /// # Errors
    ///
    /// Returns an error when the exporter can't be set up.
    pub(crate) fn new() -> anyhow::Result<Self> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_scope_info()
            .without_target_info()
            .without_units()
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("caraway");
        Ok(Self {
            registry,
            requests: meter.u64_counter("caraway_requests").build(),
            tokens: meter.u64_counter("caraway_tokens").build(),
            first_token: times(&meter, "caraway_first_token_seconds"),
            between_tokens: times(&meter, "caraway_between_tokens_seconds"),
            verdict: times(&meter, "caraway_verdict_seconds"),
            orders: meter.u64_counter("caraway_orders").build(),
            control_bytes: meter.u64_counter("caraway_control_bytes").build(),
            chunks_dropped: meter.u64_counter("caraway_chunks_dropped").build(),
            attempts_failed: meter.u64_counter("caraway_attempts_failed").build(),
            _provider: provider,
        })
    }

    /// Writes every metric in the text format that scrapers read.
    pub(crate) fn text(&self) -> String {
        let mut text = String::new();
        let families = self.registry.gather();
        if TextEncoder::new()
            .encode_utf8(&families, &mut text)
            .is_err()
        {
            text.clear();
        }
        text
    }

    /// Counts the end of a request.
    pub(crate) fn request(&self, class: Class, outcome: Outcome) {
        let outcome = match outcome {
            Outcome::Complete => "complete",
            Outcome::NotRun => "not_run",
            Outcome::InDoubt => "in_doubt",
            Outcome::CallerLeft => "caller_left",
        };
        let labels = [of(class), KeyValue::new("outcome", outcome)];
        self.requests.add(1, &labels);
    }

    /// Counts a first token that came `wait` after the request.
    pub(crate) fn first_token(&self, class: Class, wait: Duration) {
        self.tokens.add(1, &[of(class)]);
        self.first_token.record(wait.as_secs_f64(), &[of(class)]);
    }

    /// Counts a further token that came `wait` after the one before.
    pub(crate) fn next_token(&self, class: Class, wait: Duration) {
        self.tokens.add(1, &[of(class)]);
        self.between_tokens.record(wait.as_secs_f64(), &[of(class)]);
    }

    /// Counts a first verdict that came `wait` after the request.
    pub(crate) fn verdict(&self, class: Class, wait: Duration) {
        self.verdict.record(wait.as_secs_f64(), &[of(class)]);
    }

    /// Counts the end of an order.
    pub(crate) fn order(&self, order: &'static str, result: &'static str) {
        let labels = [
            KeyValue::new("order", order),
            KeyValue::new("result", result),
        ];
        self.orders.add(1, &labels);
    }

    /// Counts the bytes of a control message.
    pub(crate) fn control_bytes(&self, message: &'static str, bytes: usize) {
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        self.control_bytes
            .add(bytes, &[KeyValue::new("message", message)]);
    }

    /// Counts a chunk that did not belong to its attempt.
    pub(crate) fn chunk_dropped(&self) {
        self.chunks_dropped.add(1, &[]);
    }

    /// Counts a failed attempt.
    pub(crate) fn attempt_failed(&self) {
        self.attempts_failed.add(1, &[]);
    }
}

const fn metric(
    name: &'static str,
    unit: &'static str,
    labels: &'static [&'static str],
) -> MetricInfo {
    MetricInfo { name, unit, labels }
}

fn times(meter: &Meter, name: &'static str) -> Histogram<f64> {
    meter
        .f64_histogram(name)
        .with_boundaries(TIME_BOUNDS_SECONDS.to_vec())
        .build()
}

fn of(class: Class) -> KeyValue {
    KeyValue::new("class", class.name())
}
