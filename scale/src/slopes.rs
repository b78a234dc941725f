//! Slopes: the same small scenario at several sizes, and what one more of the size costs.

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

/// All slopes that were asked for.
#[derive(Debug, Clone, Serialize)]
pub struct SlopesReport {
    /// The seed of all chance.
    pub seed: u64,
    /// A run of it did not come to its end.
    pub partial: bool,
    /// Why.
    pub partial_reason: Option<String>,
    /// The slopes.
    pub slopes: Vec<Slope>,
}

/// One slope.
#[derive(Debug, Clone, Serialize)]
pub struct Slope {
    /// Its name.
    pub name: SlopeKind,
    /// What its sizes count.
    pub sizes: Axis,
    /// Seconds that it took.
    pub took_s: f64,
    /// What was measured at each size, with the line through it.
    pub figures: Vec<FittedFigure>,
}

/// A figure at each size, with the line through it.
#[derive(Debug, Clone, Serialize)]
pub struct FittedFigure {
    /// Its name.
    pub name: &'static str,
    /// Its unit; that of the slope is this for one more of the size.
    pub unit: &'static str,
    /// What was measured.
    pub points: Vec<Point>,
    /// The line; `None` where too little was measured.
    pub fit: Option<Fit>,
}

/// Measures slopes one after another; stops at the first run that is partial.
///
/// # Errors
/// A scenario of a slope makes no sense, or this machine cannot carry it.
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
            info!(slope = kind.name(), size = sized.size, "measures");
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

/// The points that a run gives: one at its size, or one for each depth.
fn points(figure: &Figure, size: f64, report: &Report) -> Vec<Point> {
    (figure.measure)(report, size)
}

/// The table of slopes.
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

/// Four figures.
fn four_digits(value: f64) -> String {
    if value == 0.0 {
        return "0".to_owned();
    }
    let decimals = (3.0 - value.abs().log10().floor()).clamp(0.0, 9.0) as usize;
    format!("{value:.decimals$}")
}
