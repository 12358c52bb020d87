//! Prints a [`Report`] as plain-text tables.

use std::fmt;

use crate::{
    report::{Line, Report, Times},
    rules::Rules,
};

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{}, {:.1} s, seed {}\n",
            self.deployment, self.seconds, self.seed
        )?;
        outcomes(f, &self.workloads)?;
        if !self.endings.is_empty() {
            writeln!(f, "\nOther endings")?;
            for (ending, count) in &self.endings {
                writeln!(f, "  {count:>6}  {ending}")?;
            }
        }
        times(f, "\nFirst token, ms", &self.workloads, |l| l.first_token)?;
        times(f, "\nBetween tokens, ms", &self.workloads, |l| {
            l.between_tokens
        })?;
        stalls(f, &self.workloads)?;
        engines(f, self)?;
        rules(f, &self.rules)
    }
}

fn outcomes(f: &mut fmt::Formatter<'_>, lines: &[Line]) -> fmt::Result {
    writeln!(
        f,
        "{:<20}{:>8}{:>10}{:>9}{:>10}{:>8}",
        "Requests", "sent", "answered", "not run", "in doubt", "failed"
    )?;
    for line in lines {
        writeln!(
            f,
            "  {:<18}{:>8}{:>10}{:>9}{:>10}{:>8}",
            line.label, line.sent, line.answered, line.not_run, line.in_doubt, line.failed
        )?;
    }
    Ok(())
}

fn times(
    f: &mut fmt::Formatter<'_>,
    title: &str,
    lines: &[Line],
    pick: impl Fn(&Line) -> Times,
) -> fmt::Result {
    heading(f, title, "")?;
    for line in lines {
        row(f, line.label, pick(line), "")?;
    }
    Ok(())
}

fn stalls(f: &mut fmt::Formatter<'_>, lines: &[Line]) -> fmt::Result {
    heading(f, "\nLoad stall, ms", "stalled")?;
    for line in lines {
        row(f, line.label, line.load_stall, &line.stalled.to_string())?;
    }
    Ok(())
}

fn heading(f: &mut fmt::Formatter<'_>, title: &str, more: &str) -> fmt::Result {
    let width = if title.starts_with('\n') { 21 } else { 20 };
    writeln!(
        f,
        "{title:<width$}{:>8}{:>10}{:>9}{:>10}{more:>8}",
        "count", "p50", "p95", "p99"
    )
}

fn row(f: &mut fmt::Formatter<'_>, label: &str, times: Times, more: &str) -> fmt::Result {
    if times.count == 0 {
        return Ok(());
    }
    writeln!(
        f,
        "  {label:<18}{:>8}{:>10.1}{:>9.1}{:>10.1}{more:>8}",
        times.count, times.p50, times.p95, times.p99
    )
}

fn engines(f: &mut fmt::Formatter<'_>, report: &Report) -> fmt::Result {
    let sums = &report.engines;
    writeln!(f, "\nEngines")?;
    writeln!(f, "  runs {}, tokens {}", sums.runs, sums.tokens)?;
    writeln!(
        f,
        "  batch fill {:.2} of a step's requests, {:.1}% of the places, over {} steps",
        sums.mean_fill,
        100.0 * sums.fill_share,
        sums.steps
    )?;
    writeln!(
        f,
        "  prompt bytes saved by prefix caches {:.1}%",
        100.0 * sums.prefix_share
    )?;
    writeln!(
        f,
        "  loads {}, failed {}, for {} adapter versions",
        sums.loads, sums.failed_loads, sums.adapters
    )
}

fn rules(f: &mut fmt::Formatter<'_>, rules: &Rules) -> fmt::Result {
    writeln!(
        f,
        "\n{:<44}{:>10}{:>12}",
        "What must hold", "checks", "violations"
    )?;
    for (rule, count) in &rules.0 {
        writeln!(
            f,
            "  {:<42}{:>10}{:>12}",
            rule.text(),
            count.checks,
            count.violations
        )?;
        for example in &count.examples {
            writeln!(f, "    {example}")?;
        }
    }
    writeln!(f, "\n{} violations", rules.violations())
}
