//! Prints a report as an aligned text table.

use std::fmt::{self, Display, Formatter};

use crate::report::{AttemptsPerCall, Delay, Latency, MeanMax, Recovery, Report};

/// Cell text for a missing value.
const NO_VALUE: &str = "-";
/// Spaces between columns.
const COLUMN_GAP: usize = 2;

/// Rows of cells, printed with columns that are aligned within each section.
#[derive(Debug, Clone, Default)]
pub struct Table {
    sections: Vec<Section>,
}

#[derive(Debug, Clone, Default)]
struct Section {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Starts a section. Sections are separated by an empty line.
    pub fn start_section(&mut self) {
        self.sections.push(Section::default());
    }

    /// Adds a row to the current section.
    pub fn add_row<T: Display>(&mut self, cells: impl IntoIterator<Item = T>) {
        let row = cells.into_iter().map(|cell| cell.to_string()).collect();
        match self.sections.last_mut() {
            Some(section) => section.rows.push(row),
            None => self.sections.push(Section { rows: vec![row] }),
        }
    }
}

impl Section {
    fn widths(&self) -> Vec<usize> {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or_default();
        let width = |column| {
            self.rows.iter().filter_map(move |row| row.get(column)).map(|cell: &String| cell.chars().count())
        };
        (0..columns).map(|column| width(column).max().unwrap_or_default()).collect()
    }
}

impl Display for Table {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let non_empty = self.sections.iter().filter(|section| !section.rows.is_empty());
        for (number, section) in non_empty.enumerate() {
            if number > 0 {
                writeln!(formatter)?;
            }
            section.fmt(formatter)?;
        }
        Ok(())
    }
}

impl Display for Section {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let widths = self.widths();
        for row in &self.rows {
            let mut line = String::new();
            for (cell, width) in row.iter().zip(&widths) {
                line.push_str(&format!("{cell:<width$}", width = width + COLUMN_GAP));
            }
            writeln!(formatter, "{}", line.trim_end())?;
        }
        Ok(())
    }
}

/// Builds the table of a report.
#[must_use]
pub fn report_table(report: &Report) -> Table {
    let mut table = Table::default();
    add_run(&mut table, report);
    table.start_section();
    add_calls(&mut table, report);
    table.start_section();
    add_latencies(&mut table, report);
    table.start_section();
    add_attempts(&mut table, "attempts a call, real", &report.attempts_per_call);
    add_attempts(&mut table, "attempts a call, hollow", &report.hollow_attempts_per_call);
    table.start_section();
    add_control(&mut table, report);
    table.start_section();
    add_delays(&mut table, report);
    table.start_section();
    for recovery in &report.recovery_s {
        add_fault(&mut table, recovery);
    }
    table
}

fn add_run(table: &mut Table, report: &Report) {
    let partial = report.partial_reason.as_ref().map(|reason| format!("partial: {reason}"));
    table.add_row(["run".to_owned(), report.name.clone(), partial.unwrap_or("whole".to_owned())]);
    if !report.scale.is_empty() {
        table.add_row(["scaled", &report.scale]);
    }
    table.add_row(["seed".to_owned(), report.seed.to_string()]);
    table.add_row(["load".to_owned(), format!("{:.1} s", report.duration_s)]);
    table.add_row([
        "balancers".to_owned(),
        format!("{} real", report.real),
        format!("{} hollow", report.hollow),
    ]);
}

fn add_calls(table: &mut Table, report: &Report) {
    table.add_row(["", "calls", "served", "refused", "failed", "lost", "left"]);
    let rows = [("all calls", report.all), ("real", report.real_calls), ("hollow", report.hollow_calls)];
    for (name, counts) in rows {
        let figures = [
            counts.calls,
            counts.served,
            counts.refused,
            counts.failed,
            counts.lost,
            counts.client_disconnected,
        ];
        table.add_row(std::iter::once(name.to_owned()).chain(figures.map(|figure| figure.to_string())));
    }
    table.add_row(["run twice".to_owned(), report.duplicated.to_string()]);
    table.add_row(["cold nodes fallen".to_owned(), report.cold_node_collapses.to_string()]);
}

fn add_latencies(table: &mut Table, report: &Report) {
    table.add_row(["latency", "p50", "p99", "p99.9", "calls"]);
    let added = report.added_latency_us;
    let added = added.map(|added| [added.p50, added.p99, added.p999].map(|us| format!("{us} us")));
    if let Some(added) = added {
        table.add_row(std::iter::once("added, one hop".to_owned()).chain(added));
    }
    add_latency(table, "straight", report.direct_latency_us);
    add_latency(table, "client's lag", report.client_lag_us);
    for (hops, figures) in &report.depth_latency_us {
        add_latency(table, &format!("real, {hops} deep"), *figures);
    }
    for (hops, figures) in &report.hollow_depth_latency_us {
        add_latency(table, &format!("hollow, {hops} deep (modelled)"), *figures);
    }
}

fn add_latency(table: &mut Table, name: &str, latency: Option<Latency>) {
    let Some(latency) = latency else { return };
    let times = [latency.p50, latency.p99, latency.p999].map(|us| format!("{us} us"));
    let count = latency.count.to_string();
    table.add_row(std::iter::once(name.to_owned()).chain(times).chain([count]));
}

fn add_attempts(table: &mut Table, name: &str, attempts: &AttemptsPerCall) {
    if attempts.by_hop.is_empty() {
        return;
    }
    let mut by_hop = attempts.by_hop.iter().map(|(hop, share)| format!("hop {hop}: {share:.3}"));
    let (first, last) = (by_hop.next(), by_hop.next_back());
    let deepest = attempts.deepest_over_first.map(|share| format!("deepest over first: {share:.3}"));
    table.add_row(std::iter::once(name.to_owned()).chain(first).chain(last).chain(deepest));
}

fn add_control(table: &mut Table, report: &Report) {
    table.add_row(["by balancer", "mean", "max"]);
    let rows: [(&str, Option<MeanMax>, &str); 6] = [
        ("control, bytes", report.control_bytes_per_s, "B/s"),
        ("control, core", report.control_core_percent, "%"),
        ("core", report.balancer_core_percent, "%"),
        ("memory", report.memory_mb, "MB"),
        ("descriptors", report.descriptors, ""),
        ("wake-ups", report.wakeups_per_s, "1/s"),
    ];
    for (name, figures, unit) in rows {
        let cell = |value: f64| format!("{value:.2} {unit}").trim_end().to_owned();
        let cells =
            figures.map_or([NO_VALUE.to_owned(), NO_VALUE.to_owned()], |of| [cell(of.mean), cell(of.max)]);
        table.add_row(std::iter::once(name.to_owned()).chain(cells));
    }
    if let Some(core) = report.hollow_core_percent {
        let late = report.hollow_max_lag_ms.map(|ms| format!("late by {ms:.1} ms at most"));
        table.add_row(["hollow copy, core".to_owned(), format!("{core:.3} %")].into_iter().chain(late));
    }
    if let (Some(core), Some(memory)) = (report.tool_core_percent, report.tool_memory_mb) {
        table.add_row(["the tool itself".to_owned(), format!("{core:.0} %"), format!("{memory:.0} MB")]);
    }
    let rejected = format!("{} turned away", report.control_rejected_calls);
    table.add_row(["calls to control".to_owned(), report.control_calls.to_string(), rejected]);
}

fn add_delays(table: &mut Table, report: &Report) {
    table.add_row(["changes", "p50", "p99", "max", "copies"]);
    let stale =
        report.balancers_with_stale_list.map(|balancers| format!("{balancers} copies behind at the end"));
    let changed = ["lists changed".to_owned(), report.list_changes.to_string()];
    table.add_row(changed.into_iter().chain(stale));
    add_delay(table, "list told", report.list_delivery_s);
    add_delay(table, "list in force", report.list_in_force_s);
    let settings = report.settings_in_force_s;
    add_delay(table, "settings in force", settings.delay);
    if settings.delay.is_some() || settings.missed > 0 {
        table.add_row(["settings missed by".to_owned(), settings.missed.to_string()]);
    }
}

fn add_delay(table: &mut Table, name: &str, delay: Option<Delay>) {
    let Some(delay) = delay else { return };
    let times = [delay.p50, delay.p99, delay.max].map(|seconds| format!("{seconds:.3} s"));
    table.add_row(std::iter::once(name.to_owned()).chain(times).chain([delay.count.to_string()]));
}

fn add_fault(table: &mut Table, recovery: &Recovery) {
    let share =
        |share: Option<f64>| share.map_or(NO_VALUE.to_owned(), |share| format!("{:.1} %", share * 100.0));
    table.add_row([
        format!("fault {:?}", recovery.kind),
        format!("{:.1}..{:.1} s", recovery.at_s, recovery.ends_s),
        format!("served before {}", share(recovery.share_before)),
        format!("lowest {}", share(recovery.lowest_share)),
        recovery.recovery_s.map_or("not back".to_owned(), |seconds| format!("back in {seconds:.1} s")),
    ]);
}
