//! Prints a [`Report`] as plain-text tables.

use std::fmt;

use crate::{
    report::{Percentiles, Report, WorkloadSummary},
    rules::RuleCounts,
};

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{}, {:.1} s, seed {}\n",
            self.deployment, self.seconds, self.seed
        )?;
        write_outcomes(f, &self.workloads)?;
        if !self.endings.is_empty() {
            writeln!(f, "\nOther endings")?;
            for (ending, count) in &self.endings {
                writeln!(f, "  {count:>6}  {ending}")?;
            }
        }
        write_percentiles(f, "\nFirst token, ms", &self.workloads, |w| w.first_token)?;
        write_percentiles(f, "\nBetween tokens, ms", &self.workloads, |w| {
            w.between_tokens
        })?;
        write_stalls(f, &self.workloads)?;
        write_engines(f, self)?;
        write_rules(f, &self.rules)
    }
}

fn write_outcomes(f: &mut fmt::Formatter<'_>, workloads: &[WorkloadSummary]) -> fmt::Result {
    writeln!(
        f,
        "{:<20}{:>8}{:>10}{:>9}{:>10}{:>8}",
        "Requests", "sent", "answered", "not run", "in doubt", "failed"
    )?;
    for workload in workloads {
        writeln!(
            f,
            "  {:<18}{:>8}{:>10}{:>9}{:>10}{:>8}",
            workload.label,
            workload.sent,
            workload.answered,
            workload.not_run,
            workload.in_doubt,
            workload.failed
        )?;
    }
    Ok(())
}

fn write_percentiles(
    f: &mut fmt::Formatter<'_>,
    title: &str,
    workloads: &[WorkloadSummary],
    select: impl Fn(&WorkloadSummary) -> Percentiles,
) -> fmt::Result {
    write_heading(f, title, "")?;
    for workload in workloads {
        write_row(f, workload.label, select(workload), "")?;
    }
    Ok(())
}

fn write_stalls(f: &mut fmt::Formatter<'_>, workloads: &[WorkloadSummary]) -> fmt::Result {
    write_heading(f, "\nLoad stall, ms", "stalled")?;
    for workload in workloads {
        write_row(
            f,
            workload.label,
            workload.load_stall,
            &workload.stalled.to_string(),
        )?;
    }
    Ok(())
}

fn write_heading(f: &mut fmt::Formatter<'_>, title: &str, last_column: &str) -> fmt::Result {
    // The line break at the start of a title counts towards its width.
    let width = if title.starts_with('\n') { 21 } else { 20 };
    writeln!(
        f,
        "{title:<width$}{:>8}{:>10}{:>9}{:>10}{last_column:>8}",
        "count", "p50", "p95", "p99"
    )
}

fn write_row(
    f: &mut fmt::Formatter<'_>,
    label: &str,
    percentiles: Percentiles,
    last_column: &str,
) -> fmt::Result {
    if percentiles.count == 0 {
        return Ok(());
    }
    writeln!(
        f,
        "  {label:<18}{:>8}{:>10.1}{:>9.1}{:>10.1}{last_column:>8}",
        percentiles.count, percentiles.p50, percentiles.p95, percentiles.p99
    )
}

fn write_engines(f: &mut fmt::Formatter<'_>, report: &Report) -> fmt::Result {
    let summary = &report.engines;
    writeln!(f, "\nEngines")?;
    writeln!(f, "  runs {}, tokens {}", summary.runs, summary.tokens)?;
    writeln!(
        f,
        "  batch fill {:.2} of a step's requests, {:.1}% of the places, over {} steps",
        summary.mean_fill,
        100.0 * summary.fill_share,
        summary.steps
    )?;
    writeln!(
        f,
        "  prompt bytes saved by prefix caches {:.1}%",
        100.0 * summary.prefix_share
    )?;
    writeln!(
        f,
        "  loads {}, failed {}, for {} adapter versions",
        summary.loads, summary.failed_loads, summary.adapters
    )
}

fn write_rules(f: &mut fmt::Formatter<'_>, rules: &RuleCounts) -> fmt::Result {
    writeln!(
        f,
        "\n{:<44}{:>10}{:>12}",
        "What must hold", "checks", "violations"
    )?;
    for (rule, count) in &rules.0 {
        writeln!(
            f,
            "  {:<42}{:>10}{:>12}",
            rule.description(),
            count.checks,
            count.violations
        )?;
        for example in &count.examples {
            writeln!(f, "    {example}")?;
        }
    }
    writeln!(f, "\n{} violations", rules.violations())
}
