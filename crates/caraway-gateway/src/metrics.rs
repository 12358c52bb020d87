//! [`Metrics`] of the daemon; docs/GATEWAY-METRICS.md lists them.
//!
//! Labels hold kinds of request, outcomes, reasons and topics only, so that the number of series
//! does not grow with adapters or endpoints.

use std::{cell::RefCell, collections::HashSet, time::Duration};

use caraway_accounts::AccountId;
use caraway_metrics::{Exporter, MetricInfo};
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram},
};

/// Upper bounds of the histogram buckets for durations, in seconds.
const DURATION_BUCKETS_SECONDS: [f64; 12] = [
    0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.0, 2.0, 5.0, 12.0,
];

/// Number of client accounts that have series of their own.
const MAX_NAMED_ACCOUNTS: usize = 32;

/// Every metric of the daemon with its unit and labels.
pub const METRICS: &[MetricInfo] = &[
    MetricInfo::new(
        "caraway_gateway_requests_total",
        "requests",
        &["kind", "outcome"],
    ),
    MetricInfo::new("caraway_gateway_answer_seconds", "seconds", &["kind"]),
    MetricInfo::new("caraway_gateway_place_seconds", "seconds", &[]),
    MetricInfo::new(
        "caraway_gateway_attempts_failed_total",
        "attempts",
        &["why"],
    ),
    MetricInfo::new("caraway_gateway_repeats_total", "requests", &["kind"]),
    MetricInfo::new("caraway_gateway_orders_total", "orders", &["order", "end"]),
    MetricInfo::new("caraway_gateway_load_seconds", "seconds", &[]),
    MetricInfo::new(
        "caraway_gateway_store_calls_total",
        "calls",
        &["topic", "result"],
    ),
    MetricInfo::new("caraway_gateway_config_version", "version", &[]),
    MetricInfo::new("caraway_gateway_in_flight", "requests", &[]),
    MetricInfo::new("caraway_gateway_waiting", "requests", &[]),
    MetricInfo::new("caraway_gateway_holding", "zones", &[]),
    MetricInfo::new("caraway_gateway_log_lines_dropped", "lines", &[]),
    MetricInfo::new("caraway_gateway_endpoint_limits", "endpoints", &[]),
    MetricInfo::new("caraway_gateway_limited_sends_total", "requests", &["kind"]),
    MetricInfo::new(
        "caraway_gateway_permits_denied_total",
        "requests",
        &["kind"],
    ),
    MetricInfo::new("caraway_gateway_held_back", "requests", &[]),
    MetricInfo::new("caraway_gateway_quarantines", "quarantines", &[]),
    MetricInfo::new("caraway_gateway_quarantined_total", "requests", &[]),
    MetricInfo::new("caraway_gateway_frames_skipped_total", "frames", &[]),
    MetricInfo::new(
        "caraway_gateway_account_requests_total",
        "requests",
        &["account", "result"],
    ),
    MetricInfo::new(
        "caraway_gateway_quota_units_total",
        "units",
        &["account", "result"],
    ),
    MetricInfo::new("caraway_gateway_keys_refused_total", "requests", &[]),
    MetricInfo::new("caraway_gateway_accounts_exhausted", "accounts", &[]),
    MetricInfo::new("caraway_gateway_requests_shed_total", "requests", &[]),
    MetricInfo::new("caraway_gateway_shed_share", "share", &[]),
    MetricInfo::new("caraway_gateway_timer_lateness_seconds", "seconds", &[]),
];

/// The instruments of the daemon.
#[derive(Debug)]
pub(crate) struct Metrics {
    exporter: Exporter,
    requests: Counter<u64>,
    answer_time: Histogram<f64>,
    placement_time: Histogram<f64>,
    failed_attempts: Counter<u64>,
    retries: Counter<u64>,
    orders: Counter<u64>,
    order_time: Histogram<f64>,
    store_calls: Counter<u64>,
    config_version: Gauge<u64>,
    in_flight: Gauge<u64>,
    waiting: Gauge<u64>,
    held_zones: Gauge<u64>,
    lines_dropped: Gauge<u64>,
    endpoint_limits: Gauge<u64>,
    limited_sends: Counter<u64>,
    permits_denied: Counter<u64>,
    held_back: Gauge<u64>,
    quarantines: Gauge<u64>,
    quarantined: Counter<u64>,
    skipped_frames: Counter<u64>,
    account_requests: Counter<u64>,
    quota_units: Counter<f64>,
    refused_keys: Counter<u64>,
    exhausted_accounts: Gauge<u64>,
    /// The accounts that have series of their own.
    named_accounts: RefCell<HashSet<AccountId>>,
    shed_requests: Counter<u64>,
    shed_share: Gauge<f64>,
    timer_lateness: Gauge<f64>,
}

/// Values of the gauges, which are read when the metrics are scraped.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct GaugeValues {
    /// Version of the configuration in force; 0 when there is none.
    pub(crate) config_version: u64,
    /// Requests in flight.
    pub(crate) in_flight: u64,
    /// Requests that wait at this instance's placers.
    pub(crate) waiting: u64,
    /// Availability zones whose endpoints this instance holds.
    pub(crate) held_zones: u64,
    /// Log lines that were dropped because the queue was full.
    pub(crate) lines_dropped: u64,
    /// Endpoints with a limit on the rate of their requests.
    pub(crate) endpoint_limits: u64,
    /// Requests that the placers of the held zones have held back so far for lack of a permit.
    pub(crate) held_back: u64,
    /// Quarantines of prompts in force.
    pub(crate) quarantines: u64,
    /// Client accounts that have used up their quota.
    pub(crate) exhausted_accounts: u64,
    /// Part of the requests that is refused for lack of processor time.
    pub(crate) shed_share: f64,
    /// By how much timers are late.
    pub(crate) timer_lateness: Duration,
}

impl Metrics {
    /// Registers the instruments.
    ///
    /// # Errors
    ///
    /// Returns an error if the exporter can't be set up.
    pub(crate) fn new() -> anyhow::Result<Self> {
        let exporter = Exporter::new("caraway-gateway")?;
        let meter = &exporter.meter;
        let counter = |name: &'static str| meter.u64_counter(name).build();
        let gauge = |name: &'static str| meter.u64_gauge(name).build();
        let fraction = |name: &'static str| meter.f64_gauge(name).build();
        let histogram =
            |name: &'static str| exporter.duration_histogram(name, &DURATION_BUCKETS_SECONDS);
        Ok(Self {
            requests: counter("caraway_gateway_requests"),
            answer_time: histogram("caraway_gateway_answer_seconds"),
            placement_time: histogram("caraway_gateway_place_seconds"),
            failed_attempts: counter("caraway_gateway_attempts_failed"),
            retries: counter("caraway_gateway_repeats"),
            orders: counter("caraway_gateway_orders"),
            order_time: histogram("caraway_gateway_load_seconds"),
            store_calls: counter("caraway_gateway_store_calls"),
            config_version: gauge("caraway_gateway_config_version"),
            in_flight: gauge("caraway_gateway_in_flight"),
            waiting: gauge("caraway_gateway_waiting"),
            held_zones: gauge("caraway_gateway_holding"),
            lines_dropped: gauge("caraway_gateway_log_lines_dropped"),
            endpoint_limits: gauge("caraway_gateway_endpoint_limits"),
            limited_sends: counter("caraway_gateway_limited_sends"),
            permits_denied: counter("caraway_gateway_permits_denied"),
            held_back: gauge("caraway_gateway_held_back"),
            quarantines: gauge("caraway_gateway_quarantines"),
            quarantined: counter("caraway_gateway_quarantined"),
            skipped_frames: counter("caraway_gateway_frames_skipped"),
            account_requests: counter("caraway_gateway_account_requests"),
            quota_units: meter.f64_counter("caraway_gateway_quota_units").build(),
            refused_keys: counter("caraway_gateway_keys_refused"),
            exhausted_accounts: gauge("caraway_gateway_accounts_exhausted"),
            named_accounts: RefCell::default(),
            shed_requests: counter("caraway_gateway_requests_shed"),
            shed_share: fraction("caraway_gateway_shed_share"),
            timer_lateness: fraction("caraway_gateway_timer_lateness_seconds"),
            exporter,
        })
    }

    /// Returns every metric in the Prometheus text format, with these values of the gauges.
    ///
    /// # Errors
    ///
    /// Returns an error if a metric can't be encoded.
    pub(crate) fn render(&self, gauges: GaugeValues) -> anyhow::Result<String> {
        self.config_version.record(gauges.config_version, &[]);
        self.in_flight.record(gauges.in_flight, &[]);
        self.waiting.record(gauges.waiting, &[]);
        self.held_zones.record(gauges.held_zones, &[]);
        self.lines_dropped.record(gauges.lines_dropped, &[]);
        self.endpoint_limits.record(gauges.endpoint_limits, &[]);
        self.held_back.record(gauges.held_back, &[]);
        self.quarantines.record(gauges.quarantines, &[]);
        self.exhausted_accounts
            .record(gauges.exhausted_accounts, &[]);
        self.shed_share.record(gauges.shed_share, &[]);
        let lateness = gauges.timer_lateness.as_secs_f64();
        self.timer_lateness.record(lateness, &[]);
        self.exporter.text()
    }

    /// Counts the end of a request.
    pub(crate) fn record_request(&self, kind: &'static str, outcome: &'static str) {
        let labels = [
            KeyValue::new("kind", kind),
            KeyValue::new("outcome", outcome),
        ];
        self.requests.add(1, &labels);
    }

    /// Records the time from a request to its answer or, of a stream, to its first event.
    pub(crate) fn record_answer(&self, kind: &'static str, wait: Duration) {
        let labels = [KeyValue::new("kind", kind)];
        self.answer_time.record(wait.as_secs_f64(), &labels);
    }

    /// Records the time from a request to the grant of an endpoint.
    pub(crate) fn record_placement(&self, wait: Duration) {
        self.placement_time.record(wait.as_secs_f64(), &[]);
    }

    /// Counts an attempt that failed for the reason `why`.
    pub(crate) fn record_failed_attempt(&self, why: &'static str) {
        self.failed_attempts.add(1, &[KeyValue::new("why", why)]);
    }

    /// Counts a request that is sent again after a failed attempt.
    pub(crate) fn record_retry(&self, kind: &'static str) {
        self.retries.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Counts a request that is sent to an endpoint with a limit.
    pub(crate) fn record_limited_send(&self, kind: &'static str) {
        self.limited_sends.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Counts a request that got no permit for an endpoint with a limit.
    pub(crate) fn record_permit_denied(&self, kind: &'static str) {
        self.permits_denied.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Counts a request that was refused because of a quarantine.
    pub(crate) fn record_quarantined(&self) {
        self.quarantined.add(1, &[]);
    }

    /// Counts a frame of another instance that can't be decoded.
    pub(crate) fn record_skipped_frame(&self) {
        self.skipped_frames.add(1, &[]);
    }

    /// Counts a request that has no valid key.
    pub(crate) fn record_refused_key(&self) {
        self.refused_keys.add(1, &[]);
    }

    /// Counts a request of a client account by its result.
    pub(crate) fn record_account(&self, account: &AccountId, result: &'static str) {
        let labels = [self.account_label(account), KeyValue::new("result", result)];
        self.account_requests.add(1, &labels);
    }

    /// Counts units of a client account's quota.
    pub(crate) fn record_quota(&self, account: &AccountId, result: &'static str, units: f64) {
        let labels = [self.account_label(account), KeyValue::new("result", result)];
        self.quota_units.add(units, &labels);
    }

    /// Returns the label of an account: its name, or `other` once enough accounts have series of
    /// their own.
    fn account_label(&self, account: &AccountId) -> KeyValue {
        let mut named = self.named_accounts.borrow_mut();
        if named.contains(account) {
            return KeyValue::new("account", account.clone());
        }
        if named.len() < MAX_NAMED_ACCOUNTS {
            named.insert(account.clone());
            return KeyValue::new("account", account.clone());
        }
        KeyValue::new("account", "other")
    }

    /// Counts a request that was refused for lack of processor time.
    pub(crate) fn record_shed(&self) {
        self.shed_requests.add(1, &[]);
    }

    /// Counts an order by its outcome.
    pub(crate) fn record_order(&self, order: &'static str, end: &'static str) {
        let labels = [KeyValue::new("order", order), KeyValue::new("end", end)];
        self.orders.add(1, &labels);
    }

    /// Records the duration of an order's exchange, also when it got no answer.
    pub(crate) fn record_order_time(&self, elapsed: Duration) {
        self.order_time.record(elapsed.as_secs_f64(), &[]);
    }

    /// Counts a call to the platform's store by whether it succeeded.
    pub(crate) fn record_store_call(&self, topic: &'static str, is_ok: bool) {
        let result = if is_ok { "ok" } else { "failed" };
        let labels = [
            KeyValue::new("topic", topic),
            KeyValue::new("result", result),
        ];
        self.store_calls.add(1, &labels);
    }
}
