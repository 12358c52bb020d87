//! [`Metrics`] of a daemon, which docs/METRICS.md lists.
//!
//! Labels are only classes, outcomes and kinds of order or message, so that the number of time
//! series does not grow with adapters or client accounts.

use std::time::Duration;

use caraway_metrics::{Exporter, MetricInfo};
use caraway_types::Class;
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Histogram},
};

/// Upper bounds of the histogram buckets for durations, in seconds.
const TIME_BOUNDS_SECONDS: [f64; 14] = [
    0.005, 0.01, 0.02, 0.033, 0.05, 0.1, 0.25, 0.5, 1.0, 1.9, 5.0, 10.0, 30.0, 60.0,
];

/// Every metric of a daemon, with its unit and labels.
pub const METRICS: &[MetricInfo] = &[
    MetricInfo::new("caraway_requests_total", "requests", &["class", "outcome"]),
    MetricInfo::new("caraway_tokens_total", "tokens", &["class"]),
    MetricInfo::new("caraway_first_token_seconds", "seconds", &["class"]),
    MetricInfo::new("caraway_between_tokens_seconds", "seconds", &["class"]),
    MetricInfo::new("caraway_verdict_seconds", "seconds", &["class"]),
    MetricInfo::new("caraway_orders_total", "orders", &["order", "result"]),
    MetricInfo::new("caraway_control_bytes_total", "bytes", &["message"]),
    MetricInfo::new("caraway_chunks_dropped_total", "chunks", &[]),
    MetricInfo::new("caraway_attempts_failed_total", "attempts", &[]),
];

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The caller got the complete answer.
    Complete,
    /// Refused; the request certainly did not run.
    NotRun,
    /// Refused; the request may have run.
    InDoubt,
    /// The caller disconnected before the end of the answer.
    CallerLeft,
}

/// The instruments of a daemon.
#[derive(Debug)]
pub(crate) struct Metrics {
    exporter: Exporter,
    requests: Counter<u64>,
    tokens: Counter<u64>,
    first_token: Histogram<f64>,
    between_tokens: Histogram<f64>,
    decision: Histogram<f64>,
    orders: Counter<u64>,
    control_bytes: Counter<u64>,
    chunks_dropped: Counter<u64>,
    attempts_failed: Counter<u64>,
}

impl Metrics {
    /// Creates the instruments and their exporter.
    ///
    /// # Errors
    ///
    /// Returns an error when the exporter can't be set up.
    pub(crate) fn new() -> anyhow::Result<Self> {
        let exporter = Exporter::new("caraway")?;
        let meter = &exporter.meter;
        Ok(Self {
            requests: meter.u64_counter("caraway_requests").build(),
            tokens: meter.u64_counter("caraway_tokens").build(),
            first_token: exporter
                .duration_histogram("caraway_first_token_seconds", &TIME_BOUNDS_SECONDS),
            between_tokens: exporter
                .duration_histogram("caraway_between_tokens_seconds", &TIME_BOUNDS_SECONDS),
            decision: exporter.duration_histogram("caraway_verdict_seconds", &TIME_BOUNDS_SECONDS),
            orders: meter.u64_counter("caraway_orders").build(),
            control_bytes: meter.u64_counter("caraway_control_bytes").build(),
            chunks_dropped: meter.u64_counter("caraway_chunks_dropped").build(),
            attempts_failed: meter.u64_counter("caraway_attempts_failed").build(),
            exporter,
        })
    }

    /// Returns every metric in the Prometheus text format, or an empty text when it can't be
    /// written.
    pub(crate) fn text(&self) -> String {
        // Writing fails only for a malformed name or label; scrapers then see a gap.
        self.exporter.text().unwrap_or_default()
    }

    /// Counts the end of a request.
    pub(crate) fn record_request(&self, class: Class, outcome: Outcome) {
        let outcome = match outcome {
            Outcome::Complete => "complete",
            Outcome::NotRun => "not_run",
            Outcome::InDoubt => "in_doubt",
            Outcome::CallerLeft => "caller_left",
        };
        let labels = [class_label(class), KeyValue::new("outcome", outcome)];
        self.requests.add(1, &labels);
    }

    /// Records a first token, `wait` after the request arrived.
    pub(crate) fn record_first_token(&self, class: Class, wait: Duration) {
        self.tokens.add(1, &[class_label(class)]);
        self.first_token
            .record(wait.as_secs_f64(), &[class_label(class)]);
    }

    /// Records a further token, `wait` after the previous one.
    pub(crate) fn record_next_token(&self, class: Class, wait: Duration) {
        self.tokens.add(1, &[class_label(class)]);
        self.between_tokens
            .record(wait.as_secs_f64(), &[class_label(class)]);
    }

    /// Records the first decision on a request, `wait` after the request arrived.
    pub(crate) fn record_decision(&self, class: Class, wait: Duration) {
        self.decision
            .record(wait.as_secs_f64(), &[class_label(class)]);
    }

    /// Counts an order to an engine by kind and result.
    pub(crate) fn record_order(&self, order: &'static str, result: &'static str) {
        let labels = [
            KeyValue::new("order", order),
            KeyValue::new("result", result),
        ];
        self.orders.add(1, &labels);
    }

    /// Counts the bytes of a control message.
    pub(crate) fn record_control_bytes(&self, message: &'static str, bytes: usize) {
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        self.control_bytes
            .add(bytes, &[KeyValue::new("message", message)]);
    }

    /// Counts a chunk that was dropped because it did not belong to its attempt.
    pub(crate) fn record_chunk_dropped(&self) {
        self.chunks_dropped.add(1, &[]);
    }

    /// Counts a failed attempt.
    pub(crate) fn record_attempt_failed(&self) {
        self.attempts_failed.add(1, &[]);
    }
}

fn class_label(class: Class) -> KeyValue {
    KeyValue::new("class", class.name())
}
