//! Runs a small scenario at several sizes and fits lines, whose slopes show what one more unit of size costs.

use std::time::Instant;

use serde::Serialize;
use tracing::info;

use crate::fit::{Fit, Point};
use crate::interrupt::Interrupt;
use crate::report::Report;
use crate::run::{Options, run};
use crate::table::Table;

mod kinds;

use kinds::{Axis, Figure};
pub use kinds::{SlopeKind, SlopeScenarioError};

/// Report of all requested slopes.
#[derive(Debug, Clone, Serialize)]
pub struct SlopesReport {
    /// Seed of all random numbers.
    pub seed: u64,
    /// Whether a run ended early.
    pub partial: bool,
    /// Why the run ended early.
    pub partial_reason: Option<String>,
    /// Measured slopes, in the requested order.
    pub slopes: Vec<Slope>,
}

/// A scenario measured at several sizes.
#[derive(Debug, Clone, Serialize)]
pub struct Slope {
    /// Kind of the slope.
    pub name: SlopeKind,
    /// What is varied, such as balancers or hops.
    pub sizes: Axis,
    /// Seconds that the measurement took.
    pub took_s: f64,
    /// Figures measured at each size, each with a fitted line.
    pub figures: Vec<FittedFigure>,
}

/// A figure measured at each size, with the fitted line.
#[derive(Debug, Clone, Serialize)]
pub struct FittedFigure {
    /// Name of the figure.
    pub name: &'static str,
    /// Unit of the values. The slope is in this unit per unit of size.
    pub unit: &'static str,
    /// Measured values by size.
    pub points: Vec<Point>,
    /// Fitted line; `None` if there are too few points.
    pub fit: Option<Fit>,
}

/// Measures slopes one after another; stops after the first run that is partial.
///
/// # Errors
/// A slope's scenario is invalid or needs more than this machine allows.
pub async fn measure(
    kinds: &[SlopeKind],
    seed: u64,
    options: &Options,
    interrupt: &Interrupt,
) -> Result<SlopesReport, SlopeScenarioError> {
    let mut report = SlopesReport { seed, partial: false, partial_reason: None, slopes: Vec::new() };
    for kind in kinds {
        let start = Instant::now();
        let mut figures: Vec<FittedFigure> = kind.figures().iter().map(FittedFigure::new).collect();
        for sized in kind.scenarios(seed)? {
            info!(slope = kind.name(), size = sized.size, "measuring");
            let run_report = run(&sized.scenario, options, interrupt.interrupted()).await;
            for (figure, fitted) in kind.figures().iter().zip(&mut figures) {
                fitted.points.extend(points(figure, sized.size, &run_report));
            }
            report.partial |= run_report.partial;
            report.partial_reason = report.partial_reason.or(run_report.partial_reason);
            if report.partial {
                break;
            }
        }
        for figure in &mut figures {
            figure.fit = Fit::of(&figure.points);
        }
        let took_s = start.elapsed().as_secs_f64();
        report.slopes.push(Slope { name: *kind, sizes: kind.axis(), took_s, figures });
        if report.partial {
            break;
        }
    }
    Ok(report)
}

impl FittedFigure {
    fn new(figure: &Figure) -> Self {
        Self { name: figure.name, unit: figure.unit, points: Vec::new(), fit: None }
    }
}

/// Points of a figure from one run: one at the run's size, or one for each depth of calls.
fn points(figure: &Figure, size: f64, report: &Report) -> Vec<Point> {
    (figure.measure)(report, size)
}

/// Builds the table of slopes.
#[must_use]
pub fn slopes_table(report: &SlopesReport) -> Table {
    let mut table = Table::default();
    for slope in &report.slopes {
        table.start_section();
        let name = slope.name.name();
        table.add_row([format!("{name}, by {}", slope.sizes.name), format!("{:.1} s", slope.took_s)]);
        for figure in &slope.figures {
            add_figure_row(&mut table, figure, slope.sizes);
        }
    }
    if let Some(reason) = &report.partial_reason {
        table.add_row([format!("partial: {reason}")]);
    }
    table
}

fn add_figure_row(table: &mut Table, figure: &FittedFigure, sizes: Axis) {
    let points = figure.points.iter().map(|point| format!("{}: {}", point.x, four_digits(point.y)));
    let name = format!("  {} ({})", figure.name, figure.unit);
    let mut cells = vec![name];
    match figure.fit {
        Some(fit) => {
            cells.push(format!("{} per {}", four_digits(fit.slope), sizes.singular));
            cells.push(format!("from {}", four_digits(fit.intercept)));
            let relative = fit.residual_relative.map(|share| format!(", {:.0} % at most", share * 100.0));
            let relative = relative.unwrap_or_default();
            cells.push(format!("residual {}{relative}", four_digits(fit.residual_rms)));
        }
        None => cells.extend(["-".to_owned(), "-".to_owned(), "-".to_owned()]),
    }
    cells.push(points.collect::<Vec<_>>().join(", "));
    table.add_row(cells);
}

/// Formats a value with four significant digits.
fn four_digits(value: f64) -> String {
    if value == 0.0 {
        return "0".to_owned();
    }
    let decimals = (3.0 - value.abs().log10().floor()).clamp(0.0, 9.0) as usize;
    format!("{value:.decimals$}")
}
