//! Whether a scenario makes sense, before anything starts.

use crate::faults::RESTART_INTERVAL_S;

use super::load::{KeyError, Reason};
use super::{Changes, Control, Depth, Fault, FaultKind, Fleet, Load, Node, Scenario};

/// Longest run, in seconds.
const DURATION_MOST_S: f64 = 3600.0;
/// Longest time of any other kind, in seconds.
const TIME_MOST_S: f64 = 600.0;
/// Shortest time that must not be nothing, in seconds.
const TIME_LEAST_S: f64 = 0.001;
/// Longest work, in milliseconds.
const WORK_MOST_MS: f64 = 10_000.0;
/// Most calls or changes a second.
const RATE_MOST: f64 = 1_000_000.0;
/// Deepest calls.
const HOPS_MOST: u32 = 64;
/// Most hollow copies.
const HOLLOW_MOST: u32 = 10_000;
/// Most real balancers; with the tool and what starts it they stay under 200 processes.
const REAL_MOST: u32 = 190;
/// Least hollow copies of a service.
const COPIES_OF_SERVICE: u32 = 2;
/// Fewest descriptors with which a balancer starts.
const SOCKETS_LEAST: u32 = 48;
/// How far the sum of shares may be from 1.
const SHARES_TOLERANCE: f64 = 1e-6;

impl Scenario {
    /// Checks every key.
    ///
    /// # Errors
    /// The first key that makes no sense, and why.
    pub fn check(&self) -> Result<(), KeyError> {
        if self.name.is_empty() {
            return Err(KeyError::new("name", Reason::Unfit("is empty")));
        }
        range("duration_s", self.duration_s, TIME_LEAST_S, DURATION_MOST_S)?;
        range("ready_within_s", self.ready_within_s, TIME_LEAST_S, TIME_MOST_S)?;
        self.fleet.check()?;
        self.load.check(&self.fleet)?;
        self.node.check()?;
        self.control.check()?;
        self.changes.check(self.duration_s)?;
        for (number, fault) in self.faults.iter().enumerate() {
            fault.check(&format!("fault.{number}"), self)?;
        }
        Ok(())
    }
}

impl Fleet {
    fn check(&self) -> Result<(), KeyError> {
        count("fleet.services", self.services, 0, HOLLOW_MOST)?;
        count("fleet.hollow", self.hollow, 0, HOLLOW_MOST)?;
        count("fleet.real", self.real, 0, REAL_MOST)?;
        count("fleet.nodes_per_real", self.nodes_per_real, 1, 256)?;
        count("fleet.regions", self.regions, 1, 16)?;
        count("fleet.zones", self.zones, self.regions, 64)?;
        count("fleet.memory_mb", self.memory_mb, 8, 4096)?;
        count("fleet.sockets", self.sockets, SOCKETS_LEAST, 65_536)?;
        unless(
            !self.zones.is_multiple_of(self.regions),
            "fleet.zones",
            "are not spread evenly over the regions",
        )?;
        unless(self.hollow + self.real == 0, "fleet.hollow", "there is no balancer at all")?;
        unless(self.hollow > 0 && self.services == 0, "fleet.services", "hollow copies need a service")?;
        unless(
            self.hollow > 0 && self.hollow / COPIES_OF_SERVICE < self.services,
            "fleet.hollow",
            "each service needs two hollow copies at least",
        )
    }
}

impl Load {
    fn check(&self, fleet: &Fleet) -> Result<(), KeyError> {
        range("load.real_calls_per_s", self.real_calls_per_s, 0.0, RATE_MOST)?;
        range("load.hollow_calls_per_s", self.hollow_calls_per_s, 0.0, RATE_MOST)?;
        range("load.direct_calls_per_s", self.direct_calls_per_s, 0.0, RATE_MOST)?;
        let (real, hollow) = (fleet.real > 0, fleet.hollow > 0);
        let no_real = "there is no real balancer";
        unless(self.real_calls_per_s > 0.0 && !real, "load.real_calls_per_s", no_real)?;
        unless(self.direct_calls_per_s > 0.0 && !real, "load.direct_calls_per_s", no_real)?;
        unless(
            self.hollow_calls_per_s > 0.0 && !hollow,
            "load.hollow_calls_per_s",
            "there is no hollow copy",
        )?;
        check_depths(&self.depths)?;
        range("load.unsafe_share", self.unsafe_share, 0.0, 1.0)?;
        range("load.leaving_share", self.leaving_share, 0.0, 1.0)?;
        range("load.deadline_s", self.deadline_s, TIME_LEAST_S, 60.0)?;
        count("load.client_retries", self.client_retries, 0, 10)
    }
}

fn check_depths(depths: &[Depth]) -> Result<(), KeyError> {
    for (number, depth) in depths.iter().enumerate() {
        count(&format!("load.depths.{number}.hops"), depth.hops, 1, HOPS_MOST)?;
        range(&format!("load.depths.{number}.share"), depth.share, 0.0, 1.0)?;
    }
    let sum: f64 = depths.iter().map(|depth| depth.share).sum();
    if (sum - 1.0).abs() > SHARES_TOLERANCE {
        return Err(KeyError::new("load.depths", Reason::Shares { sum }));
    }
    Ok(())
}

impl Node {
    fn check(&self) -> Result<(), KeyError> {
        count("node.cores", self.cores, 1, 1024)?;
        range("node.work_ms", self.work_ms, TIME_LEAST_S, WORK_MOST_MS)?;
        count("node.queue", self.queue, 0, 1_000_000)?;
        range("node.cold_s", self.cold_s, 0.0, TIME_MOST_S)?;
        range("node.cold_share", self.cold_share, 0.001, 1.0)?;
        range("node.fall_multiple", self.fall_multiple, 1.0, 1000.0)?;
        range("node.fall_s", self.fall_s, TIME_LEAST_S, TIME_MOST_S)?;
        range("node.connect_ms", self.connect_ms, 0.0, WORK_MOST_MS)?;
        count("node.connections", self.connections, 1, 1_000_000)?;
        range("node.error_share", self.error_share, 0.0, 1.0)?;
        range("node.reset_share", self.reset_share, 0.0, 1.0)?;
        let both = self.error_share + self.reset_share;
        unless(both > 1.0, "node.reset_share", "with node.error_share it is more than all requests")
    }
}

impl Control {
    fn check(&self) -> Result<(), KeyError> {
        count("control.replicas", self.replicas, 1, 3)?;
        range("control.calls_per_s", self.calls_per_s, 0.1, RATE_MOST)?;
        count("control.queue", self.queue, 0, 1_000_000)?;
        range("control.heartbeat_s", self.heartbeat_s, 0.01, TIME_MOST_S)?;
        count("control.history", self.history, 0, 10_000_000)?;
        count("control.padding_entries", self.padding_entries, 0, 100_000)
    }
}

impl Changes {
    fn check(&self, duration_s: f64) -> Result<(), KeyError> {
        range("changes.lists_per_s", self.lists_per_s, 0.0, 10_000.0)?;
        for (number, at_s) in self.settings_at_s.iter().enumerate() {
            let key = format!("changes.settings_at_s.{number}");
            range(&key, *at_s, 0.0, DURATION_MOST_S)?;
            ends_in_time(&key, *at_s, duration_s)?;
        }
        Ok(())
    }
}

impl Fault {
    fn check(&self, key: &str, scenario: &Scenario) -> Result<(), KeyError> {
        let for_s = format!("{key}.for_s");
        range(&format!("{key}.at_s"), self.at_s, 0.0, DURATION_MOST_S)?;
        range(&for_s, self.for_s, 0.0, DURATION_MOST_S)?;
        ends_in_time(&format!("{key}.at_s"), self.at_s, scenario.duration_s)?;
        ends_in_time(&for_s, self.at_s + self.for_s, scenario.duration_s)?;
        count(&format!("{key}.count"), self.count, 1, u32::MAX)?;
        self.check_places(key, &scenario.fleet, scenario.control.replicas)?;
        ends_in_time(&format!("{key}.count"), self.ends_s(), scenario.duration_s)?;
        let lasts = matches!(self.kind, FaultKind::RegionCut | FaultKind::ControlLost);
        unless(lasts && self.for_s == 0.0, &for_s, "a fault of this kind lasts some time")?;
        let short = self.kind == FaultKind::Release && self.for_s < RESTART_INTERVAL_S;
        unless(short, &for_s, "is shorter than one restart, 2.4 s")
    }

    fn check_places(&self, key: &str, fleet: &Fleet, replicas: u32) -> Result<(), KeyError> {
        let (count, place) = (format!("{key}.count"), format!("{key}.place"));
        match self.kind {
            FaultKind::MachineLost | FaultKind::Restart => {
                let nodes = fleet.hollow + fleet.real * fleet.nodes_per_real;
                at_most(&count, self.count, nodes, "nodes")
            }
            FaultKind::Release => at_most(&count, self.count, 100, "nodes in a hundred"),
            FaultKind::RackLost | FaultKind::ZoneLost => below(&place, self.place, fleet.zones, "zones"),
            FaultKind::RegionCut => {
                unless(fleet.regions != 2, "fleet.regions", "a cut is modelled between two regions")?;
                below(&place, self.place, fleet.regions, "regions")
            }
            FaultKind::ControlLost => {
                below(&place, self.place, replicas, "replicas")?;
                at_most(&count, self.place.saturating_add(self.count), replicas, "replicas")
            }
            FaultKind::WatchesBroken => Ok(()),
            FaultKind::BalancerKilled => at_most(&count, self.count, fleet.real, "real balancers"),
        }
    }
}

fn range(key: &str, value: f64, least: f64, most: f64) -> Result<(), KeyError> {
    if !value.is_finite() {
        return Err(KeyError::new(key, Reason::NotFinite));
    }
    if value < least || value > most {
        return Err(KeyError::new(key, Reason::Outside { value, least, most }));
    }
    Ok(())
}

fn count(key: &str, value: u32, least: u32, most: u32) -> Result<(), KeyError> {
    range(key, f64::from(value), f64::from(least), f64::from(most))
}

fn unless(wrong: bool, key: &str, reason: &'static str) -> Result<(), KeyError> {
    if wrong { Err(KeyError::new(key, Reason::Unfit(reason))) } else { Ok(()) }
}

fn ends_in_time(key: &str, ends_s: f64, duration_s: f64) -> Result<(), KeyError> {
    if ends_s > duration_s {
        return Err(KeyError::new(key, Reason::TooLate { ends_s, duration_s }));
    }
    Ok(())
}

fn at_most(key: &str, value: u32, count: u32, what: &'static str) -> Result<(), KeyError> {
    if value > count {
        return Err(KeyError::new(key, Reason::NoSuch { what, count: count.into() }));
    }
    Ok(())
}

fn below(key: &str, place: u32, count: u32, what: &'static str) -> Result<(), KeyError> {
    at_most(key, place.saturating_add(1), count, what)
}
