//! Validates a scenario before anything starts.

use crate::faults::RESTART_INTERVAL_S;

use super::load::{KeyError, Reason};
use super::{Changes, Control, Depth, Fault, FaultKind, Fleet, Load, Node, Scenario};

/// Maximum duration of a run, in seconds.
const MAX_DURATION_S: f64 = 3600.0;
/// Maximum of any time in a scenario except the duration of the run, in seconds.
const MAX_TIME_S: f64 = 600.0;
/// Minimum of a time that must not be 0, in seconds (in milliseconds for `node.work_ms`).
const MIN_TIME_S: f64 = 0.001;
/// Maximum processing time of a request or connection, in milliseconds.
const MAX_WORK_MS: f64 = 10_000.0;
/// Maximum calls per second.
const MAX_RATE_PER_S: f64 = 1_000_000.0;
/// Maximum number of hops of a call.
const MAX_HOPS: u32 = 64;
/// Maximum number of hollow (simulated) balancers, and of their services.
const MAX_HOLLOW_BALANCERS: u32 = 10_000;
/// Maximum number of real balancers; keeps them, the tool and what starts it under 200 processes.
const MAX_REAL_BALANCERS: u32 = 190;
/// Minimum number of hollow (simulated) balancers per service.
const MIN_HOLLOW_PER_SERVICE: u32 = 2;
/// Minimum descriptor limit with which a balancer starts.
const MIN_SOCKETS: u32 = 48;
/// Maximum distance of a sum of shares from 1.
const SHARE_SUM_TOLERANCE: f64 = 1e-6;

impl Scenario {
    /// Checks the value of every key.
    ///
    /// # Errors
    /// The first key with an invalid value, and why it is invalid.
    pub fn check(&self) -> Result<(), KeyError> {
        if self.name.is_empty() {
            return Err(KeyError::new("name", Reason::Invalid("is empty")));
        }
        check_range("duration_s", self.duration_s, MIN_TIME_S, MAX_DURATION_S)?;
        check_range("ready_within_s", self.ready_within_s, MIN_TIME_S, MAX_TIME_S)?;
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
        check_count("fleet.services", self.services, 0, MAX_HOLLOW_BALANCERS)?;
        check_count("fleet.hollow", self.hollow, 0, MAX_HOLLOW_BALANCERS)?;
        check_count("fleet.real", self.real, 0, MAX_REAL_BALANCERS)?;
        check_count("fleet.nodes_per_real", self.nodes_per_real, 1, 256)?;
        check_count("fleet.regions", self.regions, 1, 16)?;
        check_count("fleet.zones", self.zones, self.regions, 64)?;
        check_count("fleet.memory_mb", self.memory_mb, 8, 4096)?;
        check_count("fleet.sockets", self.sockets, MIN_SOCKETS, 65_536)?;
        reject_if(
            !self.zones.is_multiple_of(self.regions),
            "fleet.zones",
            "must be a multiple of fleet.regions",
        )?;
        reject_if(self.hollow + self.real == 0, "fleet.hollow", "must be above 0 if fleet.real is 0")?;
        reject_if(
            self.hollow > 0 && self.services == 0,
            "fleet.services",
            "must be above 0 if fleet.hollow is",
        )?;
        reject_if(
            self.hollow > 0 && self.hollow / MIN_HOLLOW_PER_SERVICE < self.services,
            "fleet.hollow",
            "each service needs at least two hollow balancers",
        )
    }
}

impl Load {
    fn check(&self, fleet: &Fleet) -> Result<(), KeyError> {
        check_range("load.real_calls_per_s", self.real_calls_per_s, 0.0, MAX_RATE_PER_S)?;
        check_range("load.hollow_calls_per_s", self.hollow_calls_per_s, 0.0, MAX_RATE_PER_S)?;
        check_range("load.direct_calls_per_s", self.direct_calls_per_s, 0.0, MAX_RATE_PER_S)?;
        let (real, hollow) = (fleet.real > 0, fleet.hollow > 0);
        let no_real_balancer = "there is no real balancer";
        reject_if(self.real_calls_per_s > 0.0 && !real, "load.real_calls_per_s", no_real_balancer)?;
        reject_if(self.direct_calls_per_s > 0.0 && !real, "load.direct_calls_per_s", no_real_balancer)?;
        reject_if(
            self.hollow_calls_per_s > 0.0 && !hollow,
            "load.hollow_calls_per_s",
            "there is no hollow balancer",
        )?;
        check_depths(&self.depths)?;
        check_range("load.unsafe_share", self.unsafe_share, 0.0, 1.0)?;
        check_range("load.leaving_share", self.leaving_share, 0.0, 1.0)?;
        check_range("load.deadline_s", self.deadline_s, MIN_TIME_S, 60.0)?;
        check_count("load.client_retries", self.client_retries, 0, 10)
    }
}

fn check_depths(depths: &[Depth]) -> Result<(), KeyError> {
    for (number, depth) in depths.iter().enumerate() {
        check_count(&format!("load.depths.{number}.hops"), depth.hops, 1, MAX_HOPS)?;
        check_range(&format!("load.depths.{number}.share"), depth.share, 0.0, 1.0)?;
    }
    let sum: f64 = depths.iter().map(|depth| depth.share).sum();
    if (sum - 1.0).abs() > SHARE_SUM_TOLERANCE {
        return Err(KeyError::new("load.depths", Reason::ShareSum { sum }));
    }
    Ok(())
}

impl Node {
    fn check(&self) -> Result<(), KeyError> {
        check_count("node.cores", self.cores, 1, 1024)?;
        check_range("node.work_ms", self.work_ms, MIN_TIME_S, MAX_WORK_MS)?;
        check_count("node.queue", self.queue, 0, 1_000_000)?;
        check_range("node.cold_s", self.cold_s, 0.0, MAX_TIME_S)?;
        check_range("node.cold_share", self.cold_share, 0.001, 1.0)?;
        check_range("node.fall_multiple", self.fall_multiple, 1.0, 1000.0)?;
        check_range("node.fall_s", self.fall_s, MIN_TIME_S, MAX_TIME_S)?;
        check_range("node.connect_ms", self.connect_ms, 0.0, MAX_WORK_MS)?;
        check_count("node.connections", self.connections, 1, 1_000_000)?;
        check_range("node.error_share", self.error_share, 0.0, 1.0)?;
        check_range("node.reset_share", self.reset_share, 0.0, 1.0)?;
        let sum = self.error_share + self.reset_share;
        reject_if(sum > 1.0, "node.reset_share", "must not exceed 1 together with node.error_share")
    }
}

impl Control {
    fn check(&self) -> Result<(), KeyError> {
        check_count("control.replicas", self.replicas, 1, 3)?;
        check_range("control.calls_per_s", self.calls_per_s, 0.1, MAX_RATE_PER_S)?;
        check_count("control.queue", self.queue, 0, 1_000_000)?;
        check_range("control.heartbeat_s", self.heartbeat_s, 0.01, MAX_TIME_S)?;
        check_count("control.history", self.history, 0, 10_000_000)?;
        check_count("control.padding_entries", self.padding_entries, 0, 100_000)
    }
}

impl Changes {
    fn check(&self, duration_s: f64) -> Result<(), KeyError> {
        check_range("changes.lists_per_s", self.lists_per_s, 0.0, 10_000.0)?;
        for (number, at_s) in self.settings_at_s.iter().enumerate() {
            let key = format!("changes.settings_at_s.{number}");
            check_range(&key, *at_s, 0.0, MAX_DURATION_S)?;
            check_ends_in_load(&key, *at_s, duration_s)?;
        }
        Ok(())
    }
}

impl Fault {
    fn check(&self, key: &str, scenario: &Scenario) -> Result<(), KeyError> {
        let for_s = format!("{key}.for_s");
        check_range(&format!("{key}.at_s"), self.at_s, 0.0, MAX_DURATION_S)?;
        check_range(&for_s, self.for_s, 0.0, MAX_DURATION_S)?;
        check_ends_in_load(&format!("{key}.at_s"), self.at_s, scenario.duration_s)?;
        check_ends_in_load(&for_s, self.at_s + self.for_s, scenario.duration_s)?;
        check_count(&format!("{key}.count"), self.count, 1, u32::MAX)?;
        self.check_targets(key, &scenario.fleet, scenario.control.replicas)?;
        check_ends_in_load(&format!("{key}.count"), self.ends_s(), scenario.duration_s)?;
        let needs_duration = matches!(self.kind, FaultKind::RegionCut | FaultKind::ControlLost);
        reject_if(needs_duration && self.for_s == 0.0, &for_s, "must be above 0 for a fault of this kind")?;
        let too_short = self.kind == FaultKind::Release && self.for_s < RESTART_INTERVAL_S;
        reject_if(too_short, &for_s, "is shorter than one restart, 2.4 s")
    }

    fn check_targets(&self, key: &str, fleet: &Fleet, replicas: u32) -> Result<(), KeyError> {
        let (count, place) = (format!("{key}.count"), format!("{key}.place"));
        match self.kind {
            FaultKind::MachineLost | FaultKind::Restart => {
                let nodes = fleet.hollow + fleet.real * fleet.nodes_per_real;
                check_at_most(&count, self.count, nodes, "nodes")
            }
            FaultKind::Release => check_at_most(&count, self.count, 100, "nodes in a hundred"),
            FaultKind::RackLost | FaultKind::ZoneLost => {
                check_index(&place, self.place, fleet.zones, "zones")
            }
            FaultKind::RegionCut => {
                reject_if(fleet.regions != 2, "fleet.regions", "must be 2 for a region-cut fault")?;
                check_index(&place, self.place, fleet.regions, "regions")
            }
            FaultKind::ControlLost => {
                check_index(&place, self.place, replicas, "replicas")?;
                check_at_most(&count, self.place.saturating_add(self.count), replicas, "replicas")
            }
            FaultKind::WatchesBroken => Ok(()),
            FaultKind::BalancerKilled => check_at_most(&count, self.count, fleet.real, "real balancers"),
        }
    }
}

fn check_range(key: &str, value: f64, min: f64, max: f64) -> Result<(), KeyError> {
    if !value.is_finite() {
        return Err(KeyError::new(key, Reason::NotFinite));
    }
    if value < min || value > max {
        return Err(KeyError::new(key, Reason::OutOfRange { value, min, max }));
    }
    Ok(())
}

fn check_count(key: &str, value: u32, min: u32, max: u32) -> Result<(), KeyError> {
    check_range(key, f64::from(value), f64::from(min), f64::from(max))
}

fn reject_if(condition: bool, key: &str, reason: &'static str) -> Result<(), KeyError> {
    if condition { Err(KeyError::new(key, Reason::Invalid(reason))) } else { Ok(()) }
}

fn check_ends_in_load(key: &str, ends_s: f64, duration_s: f64) -> Result<(), KeyError> {
    if ends_s > duration_s {
        return Err(KeyError::new(key, Reason::AfterLoadEnd { ends_s, duration_s }));
    }
    Ok(())
}

fn check_at_most(key: &str, value: u32, count: u32, what: &'static str) -> Result<(), KeyError> {
    if value > count {
        return Err(KeyError::new(key, Reason::TooFew { what, count: count.into() }));
    }
    Ok(())
}

fn check_index(key: &str, place: u32, count: u32, what: &'static str) -> Result<(), KeyError> {
    check_at_most(key, place.saturating_add(1), count, what)
}
