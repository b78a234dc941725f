//! The kinds of slopes with their sizes, scenarios and figures.

use clap::ValueEnum;
use serde::Serialize;
use thiserror::Error;

use crate::fit::Point;
use crate::report::{Latency, Report};
use crate::scenario::Scenario;
use crate::scenario::load::{ScenarioError, check_machine, parse};
use crate::scenario::machine::{Machine, MachineError};

/// A kind of slope, named after the size that varies.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum SlopeKind {
    /// Hollow balancers, with lists of constant length.
    Copies,
    /// Entries in the list of one idle real balancer.
    ListEntries,
    /// Changes per second of the list of one idle real balancer.
    Changes,
    /// Calls per second through one real balancer.
    Calls,
    /// Hops of calls through a ring of real balancers.
    Depth,
}

/// Unit of the sizes of a slope.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Axis {
    /// Plural name of the varied quantity, such as "hops".
    pub name: &'static str,
    /// Singular name of the varied quantity, such as "hop".
    #[serde(rename = "one")]
    pub singular: &'static str,
}

/// A figure that is computed from the report of each run.
pub(super) struct Figure {
    pub(super) name: &'static str,
    pub(super) unit: &'static str,
    /// Computes the figure's points from the report and the size of a run.
    pub(super) measure: fn(&Report, f64) -> Vec<Point>,
}

/// The scenario of a slope at one size.
#[derive(Debug, Clone)]
pub struct SizedScenario {
    /// Value of the varied quantity in this scenario.
    pub size: f64,
    /// Scenario to run.
    pub scenario: Scenario,
}

/// Why a slope cannot be measured.
#[derive(Debug, Error)]
pub enum SlopeScenarioError {
    /// Its scenario is invalid or needs more than this machine allows.
    #[error(transparent)]
    Scenario(#[from] ScenarioError),
    /// The limits of the machine cannot be determined.
    #[error(transparent)]
    Machine(#[from] MachineError),
}

/// Microseconds of processor time per second that one percent of a core is.
const US_PER_CORE_PERCENT: f64 = 10_000.0;
/// Kilobytes in a megabyte.
const KB_PER_MB: f64 = 1024.0;
/// Milliseconds in a second.
const MS_PER_S: f64 = 1000.0;
/// Hollow balancers and nodes per service in the slope over balancers; keeps the length of lists constant.
const HOLLOW_PER_SERVICE: u32 = 20;

const COPIES_SCENARIO: &str = include_str!("copies.toml");
const LIST_ENTRIES_SCENARIO: &str = include_str!("list-entries.toml");
const CHANGES_SCENARIO: &str = include_str!("changes.toml");
const CALLS_SCENARIO: &str = include_str!("calls.toml");
const DEPTH_SCENARIO: &str = include_str!("depth.toml");

impl SlopeKind {
    /// Name of the slope on the command line and in reports.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Copies => "copies",
            Self::ListEntries => "list-entries",
            Self::Changes => "changes",
            Self::Calls => "calls",
            Self::Depth => "depth",
        }
    }

    /// What the slope varies, with its plural and singular name.
    pub(super) fn axis(self) -> Axis {
        match self {
            Self::Copies => Axis { name: "copies", singular: "copy" },
            Self::ListEntries => Axis { name: "entries of the list", singular: "entry" },
            Self::Changes => Axis { name: "changes a second", singular: "change a second" },
            Self::Calls => Axis { name: "calls a second", singular: "call a second" },
            Self::Depth => Axis { name: "hops", singular: "hop" },
        }
    }

    /// Scenarios of the slope, one for each size; the slope over depths measures all of its sizes in one run.
    ///
    /// # Errors
    /// A scenario is invalid or needs more than this machine allows.
    pub fn scenarios(self, seed: u64) -> Result<Vec<SizedScenario>, SlopeScenarioError> {
        let machine = Machine::detect()?;
        let mut scenarios = Vec::new();
        for size in self.sizes() {
            let file = format!("slope {}", self.name());
            let mut overrides = self.overrides(*size);
            overrides.push(format!("seed={seed}"));
            let scenario = parse(file.as_ref(), self.scenario_text(), &overrides)?;
            check_machine(file.as_ref(), &scenario, &machine)?;
            scenarios.push(SizedScenario { size: f64::from(*size), scenario });
        }
        Ok(scenarios)
    }

    fn sizes(self) -> &'static [u32] {
        match self {
            Self::Copies => &[100, 200, 400, 600],
            Self::ListEntries => &[100, 500, 1500, 4000],
            Self::Changes => &[2, 10, 30, 100],
            Self::Calls => &[54, 500, 1000, 2000],
            Self::Depth => &[27],
        }
    }

    fn scenario_text(self) -> &'static str {
        match self {
            Self::Copies => COPIES_SCENARIO,
            Self::ListEntries => LIST_ENTRIES_SCENARIO,
            Self::Changes => CHANGES_SCENARIO,
            Self::Calls => CALLS_SCENARIO,
            Self::Depth => DEPTH_SCENARIO,
        }
    }

    fn overrides(self, size: u32) -> Vec<String> {
        match self {
            Self::Copies => {
                let services = size / HOLLOW_PER_SERVICE;
                vec![format!("fleet.hollow={size}"), format!("fleet.services={services}")]
            }
            Self::ListEntries => vec![format!("control.padding_entries={size}")],
            Self::Changes => vec![format!("changes.lists_per_s={size}")],
            Self::Calls => vec![format!("load.real_calls_per_s={size}")],
            Self::Depth => Vec::new(),
        }
    }

    pub(super) fn figures(self) -> &'static [Figure] {
        match self {
            Self::Copies => &[
                Figure { name: "processor time of all copies", unit: "% of a core", measure: hollow_core },
                Figure { name: "memory of the tool", unit: "KB", measure: tool_memory },
                Figure { name: "change told, p50", unit: "ms", measure: list_delivery_p50 },
                Figure { name: "change told, max", unit: "ms", measure: list_delivery_max },
            ],
            Self::ListEntries => &[IDLE_CORE_FIGURE, MEMORY_FIGURE],
            Self::Changes => &[IDLE_CORE_FIGURE, MEMORY_FIGURE, CONTROL_BYTES_FIGURE],
            Self::Calls => &[
                Figure { name: "processor time", unit: "us a second", measure: balancer_core_us },
                Figure { name: "latency added, p50", unit: "us", measure: added_p50 },
                Figure { name: "latency added, p99", unit: "us", measure: added_p99 },
            ],
            Self::Depth => &[
                Figure { name: "latency, p50", unit: "us", measure: depth_p50 },
                Figure { name: "latency, p99", unit: "us", measure: depth_p99 },
            ],
        }
    }
}

const IDLE_CORE_FIGURE: Figure = Figure { name: "processor time", unit: "% of a core", measure: idle_core };
const MEMORY_FIGURE: Figure = Figure { name: "memory", unit: "KB", measure: memory };
const CONTROL_BYTES_FIGURE: Figure = Figure { name: "bytes from control", unit: "B/s", measure: bytes };

fn measured_point(size: f64, value: Option<f64>) -> Vec<Point> {
    value.into_iter().map(|y| Point { x: size, y }).collect()
}

fn hollow_core(report: &Report, size: f64) -> Vec<Point> {
    measured_point(size, report.hollow_core_percent.map(|percent| percent * size))
}

fn tool_memory(report: &Report, size: f64) -> Vec<Point> {
    measured_point(size, report.tool_memory_mb.map(|memory| memory * KB_PER_MB))
}

fn list_delivery_p50(report: &Report, size: f64) -> Vec<Point> {
    measured_point(size, report.list_delivery_s.map(|delay| delay.p50 * MS_PER_S))
}

fn list_delivery_max(report: &Report, size: f64) -> Vec<Point> {
    measured_point(size, report.list_delivery_s.map(|delay| delay.max * MS_PER_S))
}

fn idle_core(report: &Report, size: f64) -> Vec<Point> {
    measured_point(size, report.control_core_percent.map(|percent| percent.mean))
}

fn memory(report: &Report, size: f64) -> Vec<Point> {
    measured_point(size, report.memory_mb.map(|memory| memory.mean * KB_PER_MB))
}

fn bytes(report: &Report, size: f64) -> Vec<Point> {
    measured_point(size, report.control_bytes_per_s.map(|bytes| bytes.mean))
}

fn balancer_core_us(report: &Report, size: f64) -> Vec<Point> {
    measured_point(size, report.balancer_core_percent.map(|percent| percent.mean * US_PER_CORE_PERCENT))
}

fn added_p50(report: &Report, size: f64) -> Vec<Point> {
    measured_point(size, report.added_latency_us.map(|added| added.p50 as f64))
}

fn added_p99(report: &Report, size: f64) -> Vec<Point> {
    measured_point(size, report.added_latency_us.map(|added| added.p99 as f64))
}

fn depth_p50(report: &Report, _: f64) -> Vec<Point> {
    by_depth(report, |latency| latency.p50)
}

fn depth_p99(report: &Report, _: f64) -> Vec<Point> {
    by_depth(report, |latency| latency.p99)
}

fn by_depth(report: &Report, value: fn(&Latency) -> u64) -> Vec<Point> {
    let measured =
        report.depth_latency_us.iter().filter_map(|(hops, latency)| Some((hops, latency.as_ref()?)));
    measured.map(|(hops, latency)| Point { x: f64::from(*hops), y: value(latency) as f64 }).collect()
}
