//! What the daemons' metrics have in common: [`MetricInfo`] describes one, an [`Exporter`] writes
//! them.

use opentelemetry::metrics::{Histogram, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

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

impl MetricInfo {
    /// Describes a metric.
    #[must_use]
    pub const fn new(
        name: &'static str,
        unit: &'static str,
        labels: &'static [&'static str],
    ) -> Self {
        Self { name, unit, labels }
    }
}

/// Collects the instruments of its meter and writes them.
#[derive(Debug)]
pub struct Exporter {
    registry: Registry,
    /// Makes the instruments.
    pub meter: Meter,
    _provider: SdkMeterProvider,
}

impl Exporter {
    /// Makes an exporter whose meter has this name.
    ///
    /// # Errors
    ///
    /// Returns an error when the exporter can't be set up.
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

    /// Makes a histogram of times with these upper bounds of its buckets, in seconds.
    #[must_use]
    pub fn times(&self, name: &'static str, bounds: &[f64]) -> Histogram<f64> {
        self.meter
            .f64_histogram(name)
            .with_boundaries(bounds.to_vec())
            .build()
    }

    /// Writes every metric in the text format that scrapers read.
    ///
    /// # Errors
    ///
    /// Returns an error when a metric can't be written.
    pub fn text(&self) -> anyhow::Result<String> {
        let mut text = String::new();
        TextEncoder::new().encode_utf8(&self.registry.gather(), &mut text)?;
        Ok(text)
    }
}
