//! Metrics that the daemons export: [`MetricInfo`] describes a metric, [`Exporter`] collects the
//! metrics and encodes them in the Prometheus text format.

use opentelemetry::metrics::{Histogram, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

/// Description of an exported metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MetricInfo {
    /// Name under which the metric is exported.
    pub name: &'static str,
    /// Unit of its values.
    pub unit: &'static str,
    /// Names of its labels.
    pub labels: &'static [&'static str],
}

impl MetricInfo {
    /// Creates the description of a metric.
    #[must_use]
    pub const fn new(
        name: &'static str,
        unit: &'static str,
        labels: &'static [&'static str],
    ) -> Self {
        Self { name, unit, labels }
    }
}

/// Exports the metrics that are recorded with the instruments of its meter.
#[derive(Debug)]
pub struct Exporter {
    registry: Registry,
    /// Creates the instruments with which metrics are recorded.
    pub meter: Meter,
    /// Keeps the meter's instruments working for as long as the exporter exists.
    _provider: SdkMeterProvider,
}

impl Exporter {
    /// Creates an exporter whose meter has this name.
    ///
    /// # Errors
    ///
    /// Returns an error if the exporter can't be set up.
    pub fn new(name: &'static str) -> anyhow::Result<Self> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_scope_info()
            .without_target_info()
            .without_units()
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Ok(Self {
            registry,
            meter: provider.meter(name),
            _provider: provider,
        })
    }

    /// Creates a histogram of durations in seconds; `bounds` are the upper bounds of its buckets.
    #[must_use]
    pub fn duration_histogram(&self, name: &'static str, bounds: &[f64]) -> Histogram<f64> {
        self.meter
            .f64_histogram(name)
            .with_boundaries(bounds.to_vec())
            .build()
    }

    /// Returns every metric in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Returns an error if a metric can't be encoded.
    pub fn text(&self) -> anyhow::Result<String> {
        let mut text = String::new();
        TextEncoder::new().encode_utf8(&self.registry.gather(), &mut text)?;
        Ok(text)
    }
}
