//! The active configuration, that is the one in force, and its replacement by a new one while the program
//! runs.

use std::net::SocketAddr;
use std::time::Duration;

use rustc_hash::FxHashMap;
use stilelead_decision::Settings;
use stilelead_decision::interface::{Class, ClassId, DiscoveryMode, Tenant, ZoneId};
use stilelead_simulator::setup::Names;

use crate::config::Config;
use crate::memory::{BYTES_PER_MEGABYTE, MemoryPlan};
use crate::reload::{Changes, Difference, NameList, ReloadError};

/// The share of the configured keep-alive time after which an idle connection is closed. The balancer closes
/// first, because a request written to a connection that the upstream is just closing ends with a reset.
const IDLE_TIMEOUT_SHARE: f64 = 0.7;
/// The most names that one list may have had since the start, including those no longer in use: each holds
/// memory until the program ends.
const MAX_NAMES: usize = 4096;

/// The upper limit of the poll interval that is passed on from the settings. Over HTTP, a change counts as
/// delivered 6 s after discovery can be reached, whatever call failed. With an interval of 10 s the decisions
/// leave 4 s between calls, and the response takes time too.
const MAX_POLL_INTERVAL: Duration = Duration::from_secs(10);

/// The position of each name in a list of the settings.
type Positions = FxHashMap<String, usize>;

/// The positions assigned to names since the start of the program. A name keeps its position, because
/// requests in flight refer to it.
#[derive(Debug, Clone)]
struct AssignedPositions {
    /// Positions of request classes.
    classes: Positions,
    /// Positions of tenants.
    tenants: Positions,
    /// Positions of zones.
    zones: Positions,
    /// Positions of machine types.
    machine_types: Positions,
}

/// The configuration that the balancer currently uses.
#[derive(Debug)]
pub struct ActiveConfig {
    /// The name of this balancer instance; only a restart changes it.
    name: String,
    /// The address that clients connect to; only a restart changes it.
    listen: SocketAddr,
    /// The seed of the random choices; only a restart changes it.
    seed: u64,
    /// The address of discovery.
    discovery: SocketAddr,
    /// The number of file descriptors that the process may have open.
    max_descriptors: usize,
    /// The memory that the process may use, in megabytes.
    memory_mb: usize,
    /// The names that the settings accept, with their positions.
    names: Names,
    /// The positions of all names since the start, including those no longer accepted.
    assigned: AssignedPositions,
    /// The settings as written; [`ActiveConfig::settings`] adapts them to discovery over HTTP.
    settings: Settings,
    /// The time limit for establishing a connection to an upstream.
    connect_timeout: Duration,
}

impl ActiveConfig {
    /// Puts the first configuration in force, at the start of the program.
    #[must_use]
    pub fn start(config: Config) -> Self {
        let names = config.parsed_settings.names;
        let assigned = AssignedPositions {
            classes: names.classes.clone(),
            tenants: names.tenants.clone(),
            zones: names.zones.clone(),
            machine_types: names.machine_types.clone(),
        };
        Self {
            name: config.name,
            listen: config.listen,
            seed: config.seed,
            discovery: config.discovery,
            max_descriptors: config.max_descriptors,
            memory_mb: config.memory_mb,
            names,
            assigned,
            settings: config.parsed_settings.settings,
            connect_timeout: config.parsed_settings.connect_timeout,
        }
    }

    /// Computes the configuration in force after `config` replaces this one, and what that changes. Known
    /// names keep their positions and new names are appended; a name that `config` lacks keeps its position
    /// but is no longer accepted. `open_descriptors` is the number of descriptors in use now. The list of
    /// upstreams in `config` is ignored, because discovery has sent newer ones since the start.
    ///
    /// # Errors
    /// The settings cannot replace those in force.
    pub fn replaced_by(
        &self,
        config: Config,
        open_descriptors: usize,
    ) -> Result<(Self, Changes), ReloadError> {
        let names = config.parsed_settings.names;
        let classes = carry_over(NameList::Classes, &self.assigned.classes, &names.classes)?;
        let tenants = carry_over(NameList::Tenants, &self.assigned.tenants, &names.tenants)?;
        let zones = carry_over(NameList::Zones, &self.assigned.zones, &names.zones)?;
        let machine_types =
            carry_over(NameList::MachineTypes, &self.assigned.machine_types, &names.machine_types)?;
        let new_settings = config.parsed_settings.settings;
        // Tenants that the new settings lack keep their positions, but get a quota of 0.
        let removed_tenants = vec![Tenant { quota: Some(0.0) }; self.settings.tenants.len()];
        let settings = Settings {
            classes: replace_at(self.settings.classes.clone(), &new_settings.classes, &classes.positions),
            tenants: replace_at(removed_tenants, &new_settings.tenants, &tenants.positions),
            zone: ZoneId(zones.positions[new_settings.zone.0]),
            zone_count: zones.assigned.len(),
            machine_type_count: machine_types.assigned.len(),
            ..new_settings
        };
        settings.validate_replacement_of(&self.settings)?;
        let names = Names {
            classes: classes.in_use,
            tenants: tenants.in_use,
            zones: zones.in_use,
            machine_types: machine_types.in_use,
            load_fields: names.load_fields,
        };
        let assigned = AssignedPositions {
            classes: classes.assigned,
            tenants: tenants.assigned,
            zones: zones.assigned,
            machine_types: machine_types.assigned,
        };
        let next = Self {
            name: self.name.clone(),
            listen: self.listen,
            seed: self.seed,
            discovery: config.discovery,
            max_descriptors: if config.max_descriptors > open_descriptors {
                config.max_descriptors
            } else {
                self.max_descriptors
            },
            memory_mb: config.memory_mb,
            names,
            assigned,
            settings,
            connect_timeout: config.parsed_settings.connect_timeout,
        };
        let restart_only = [
            ("name", config.name != next.name),
            ("listen", config.listen != next.listen),
            ("seed", config.seed != next.seed),
            ("limits.sockets", config.max_descriptors != next.max_descriptors),
        ];
        let restart_required =
            restart_only.into_iter().filter(|(_, differs)| *differs).map(|(name, _)| name).collect();
        let changes = Changes { applied: self.differences_to(&next), restart_required };
        Ok((next, changes))
    }

    /// Lists the differences between this configuration and `next`, apart from the settings that only a
    /// restart applies.
    fn differences_to(&self, next: &Self) -> Vec<Difference> {
        let (old, new) = (&self.settings, &next.settings);
        let mut differences = Vec::new();
        if self.discovery != next.discovery {
            differences.push(Difference::DiscoveryAddress(next.discovery));
        }
        let class_differs = |position: usize| old.classes[position] != new.classes[position];
        let tenant_differs = |position: usize| old.tenants[position] != new.tenants[position];
        // Zones and machine types have no values besides their names.
        let never_differs = |_| false;
        differences.extend(name_differences(
            NameList::Classes,
            &self.names.classes,
            &next.names.classes,
            class_differs,
        ));
        differences.extend(name_differences(
            NameList::Tenants,
            &self.names.tenants,
            &next.names.tenants,
            tenant_differs,
        ));
        differences.extend(name_differences(
            NameList::Zones,
            &self.names.zones,
            &next.names.zones,
            never_differs,
        ));
        differences.extend(name_differences(
            NameList::MachineTypes,
            &self.names.machine_types,
            &next.names.machine_types,
            never_differs,
        ));
        let integers = [
            ("balancers", u64::from(old.replica_count), u64::from(new.replica_count)),
            ("me", u64::from(old.replica_index), u64::from(new.replica_index)),
            ("tier", old.tier as u64, new.tier as u64),
            ("limits.sockets", self.max_descriptors as u64, next.max_descriptors as u64),
            ("limits.memory_mb", self.memory_mb as u64, next.memory_mb as u64),
        ];
        let changed = integers.into_iter().filter(|(_, from, to)| from != to);
        differences.extend(changed.map(|(name, from, to)| Difference::Integer { name, from, to }));
        let settings = [
            ("zone", old.zone != new.zone),
            ("overShareWorth", old.over_quota_value != new.over_quota_value),
            ("settings.discovery", old.discovery != new.discovery),
            ("familyInfo.passesDeadline", old.propagates_deadline != new.propagates_deadline),
            ("caps", old.capabilities != new.capabilities || self.connect_timeout != next.connect_timeout),
            ("rules", old.rules != new.rules),
            ("prices", old.costs != new.costs),
            ("loadInfo", self.names.load_fields != next.names.load_fields),
        ];
        let changed = settings.into_iter().filter(|(_, differs)| *differs);
        differences.extend(changed.map(|(name, _)| Difference::Setting(name)));
        differences
    }

    /// The settings as the decisions use them, adapted to discovery over HTTP.
    #[must_use]
    pub fn settings(&self) -> Settings {
        let mut settings = self.settings.clone();
        if settings.discovery == DiscoveryMode::Push {
            // Over HTTP pushed lists arrive on a watch as well. A change still counts as delivered while
            // there is no watch, however recently one was requested, so that no poll interval applies.
            settings.discovery = DiscoveryMode::Subscribe;
            settings.rules.max_poll_interval = None;
        }
        settings.rules.max_poll_interval =
            settings.rules.max_poll_interval.map(|interval| interval.min(MAX_POLL_INTERVAL));
        settings
    }

    /// The names that the settings accept, with their positions.
    #[must_use]
    pub fn names(&self) -> &Names {
        &self.names
    }

    /// The address of discovery.
    #[must_use]
    pub fn discovery(&self) -> SocketAddr {
        self.discovery
    }

    /// The number of file descriptors that the process may have open.
    #[must_use]
    pub fn max_descriptors(&self) -> usize {
        self.max_descriptors
    }

    /// How the memory that the process may use is divided.
    #[must_use]
    pub fn memory_plan(&self) -> MemoryPlan {
        MemoryPlan::for_limit(self.memory_mb.saturating_mul(BYTES_PER_MEGABYTE))
    }

    /// The time limit for establishing a connection to an upstream.
    #[must_use]
    pub fn connect_timeout(&self) -> Duration {
        self.connect_timeout
    }

    /// The time after which an idle connection to an upstream is closed.
    #[must_use]
    pub fn idle_timeout(&self) -> Duration {
        self.settings.capabilities.keepalive_timeout.mul_f64(IDLE_TIMEOUT_SHARE)
    }

    /// The longest `Retry-After` that a refused client may be given; `None` if the header is not to be sent.
    #[must_use]
    pub fn max_retry_after(&self) -> Option<Duration> {
        self.settings.capabilities.max_retry_after
    }

    /// The settings of a class: whether its requests may be retried, and its deadline.
    #[must_use]
    pub fn class(&self, class: ClassId) -> Option<&Class> {
        self.settings.classes.get(class.0)
    }

    /// The longest deadline of the accepted classes.
    #[must_use]
    pub fn longest_deadline(&self) -> Duration {
        let classes = self.names.classes.values().map(|&position| &self.settings.classes[position]);
        classes.map(|class| class.deadline).max().unwrap_or_default()
    }
}

/// The positions of one list of names after a new configuration.
struct CarriedOver {
    /// The positions of all names since the start of the program.
    assigned: Positions,
    /// The positions of the names that the new configuration has.
    in_use: Positions,
    /// The positions of the new configuration's names, in the order of its list.
    positions: Vec<usize>,
}

/// Assigns positions to the names of a new list: names known before keep theirs, others get the next free
/// ones.
fn carry_over(list: NameList, assigned: &Positions, new: &Positions) -> Result<CarriedOver, ReloadError> {
    let mut assigned = assigned.clone();
    let mut names: Vec<_> = new.iter().collect();
    names.sort_unstable_by_key(|(_, position)| **position);
    let mut positions = Vec::with_capacity(names.len());
    for (name, _) in &names {
        let next = assigned.len();
        positions.push(*assigned.entry((*name).clone()).or_insert(next));
    }
    if assigned.len() > MAX_NAMES {
        return Err(ReloadError::TooManyNames(list));
    }
    let in_use = names.iter().map(|(name, _)| (*name).clone()).zip(positions.iter().copied()).collect();
    Ok(CarriedOver { assigned, in_use, positions })
}

/// Replaces the value at `positions[i]` with `new[i]`, for each `i`; values for positions past the end are
/// appended.
fn replace_at<T: Clone>(mut values: Vec<T>, new: &[T], positions: &[usize]) -> Vec<T> {
    for (value, &position) in new.iter().zip(positions) {
        match values.get_mut(position) {
            Some(current) => *current = value.clone(),
            // Positions past the end were assigned in this order, so that appending keeps value and position
            // together.
            None => values.push(value.clone()),
        }
    }
    values
}

/// The names added to and removed from a list, and those on both lists whose values differ, as counts above
/// zero.
fn name_differences(
    list: NameList,
    old: &Positions,
    new: &Positions,
    differs: impl Fn(usize) -> bool,
) -> impl Iterator<Item = Difference> {
    let count_missing = |from: &Positions, in_list: &Positions| {
        from.keys().filter(|name| !in_list.contains_key(*name)).count()
    };
    let changed =
        old.iter().filter(|(name, position)| new.contains_key(*name) && differs(**position)).count();
    let differences = [
        Difference::Added { list, count: count_missing(new, old) },
        Difference::Removed { list, count: count_missing(old, new) },
        Difference::Changed { list, count: changed },
    ];
    differences.into_iter().filter(|difference| {
        !matches!(
            difference,
            Difference::Added { count: 0, .. }
                | Difference::Removed { count: 0, .. }
                | Difference::Changed { count: 0, .. }
        )
    })
}

#[cfg(test)]
mod tests;
