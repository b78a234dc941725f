//! The configuration in force, and the one that takes its place while the program runs.

use std::net::SocketAddr;
use std::time::Duration;

use rustc_hash::FxHashMap;
use stilelead_decision::Settings;
use stilelead_decision::interface::{Class, ClassId, DiscoveryMode, Tenant, ZoneId};
use stilelead_simulator::setup::Names;

use crate::config::Config;
use crate::reload::{Changes, NameList, Part, ReloadError};

/// Part of the settings' idle limit after which a kept connection is closed: one that the upstream closes as a
/// request is written ends that request as a reset.
const KEEP_PART: f64 = 0.7;
/// Names of one list that may be given out in all, those no longer in use included: each holds memory until the end.
const NAMES_MOST: usize = 4096;

/// The longest time without asking that is passed on from the settings. Over HTTP whatever discovery has counts as told
/// 6 s after it can be reached, whatever call failed; of 10 s the module leaves 4 s between calls, and an answer takes
/// time too.
const ASK_WITHIN_MOST: Duration = Duration::from_secs(10);

type Positions = FxHashMap<String, usize>;

/// All positions that were ever given out; the names of requests in flight keep theirs.
#[derive(Debug, Clone)]
struct GivenOut {
    classes: Positions,
    tenants: Positions,
    zones: Positions,
    kinds: Positions,
}

/// A configuration that is in force.
#[derive(Debug)]
pub struct InForce {
    name: String,
    listen: SocketAddr,
    seed: u64,
    discovery: SocketAddr,
    sockets: usize,
    names: Names,
    given_out: GivenOut,
    settings: Settings,
    connect_timeout: Duration,
}

impl InForce {
    /// A configuration at the start of the program.
    #[must_use]
    pub fn start(config: Config) -> Self {
        let names = config.loaded.names;
        let given_out = GivenOut {
            classes: names.classes.clone(),
            tenants: names.tenants.clone(),
            zones: names.zones.clone(),
            kinds: names.kinds.clone(),
        };
        Self {
            name: config.name,
            listen: config.listen,
            seed: config.seed,
            discovery: config.discovery,
            sockets: config.sockets,
            names,
            given_out,
            settings: config.loaded.settings,
            connect_timeout: config.loaded.connect_timeout,
        }
    }

    /// What is in force once `config` has taken the place of this one, and what that changes. Known names keep their
    /// positions, new ones are appended; one that `config` does not have keeps its place and is no longer accepted.
    /// `descriptors` are in use now. The list of upstreams in `config` is not taken: discovery has spoken since.
    ///
    /// # Errors
    /// The settings cannot follow those in force.
    pub fn succeeded_by(&self, config: Config, descriptors: usize) -> Result<(Self, Changes), ReloadError> {
        let names = config.loaded.names;
        let classes = carry_over(NameList::Classes, &self.given_out.classes, &names.classes)?;
        let tenants = carry_over(NameList::Tenants, &self.given_out.tenants, &names.tenants)?;
        let zones = carry_over(NameList::Zones, &self.given_out.zones, &names.zones)?;
        let kinds = carry_over(NameList::Kinds, &self.given_out.kinds, &names.kinds)?;
        let told = config.loaded.settings;
        let retired = vec![Tenant { quota: Some(0.0) }; self.settings.tenants.len()];
        let settings = Settings {
            classes: placed(self.settings.classes.clone(), &told.classes, &classes.positions),
            tenants: placed(retired, &told.tenants, &tenants.positions),
            zone: ZoneId(zones.positions[told.zone.0]),
            zone_count: zones.given_out.len(),
            machine_type_count: kinds.given_out.len(),
            ..told
        };
        settings.validate_replacement_of(&self.settings)?;
        let names = Names {
            classes: classes.in_use,
            tenants: tenants.in_use,
            zones: zones.in_use,
            kinds: kinds.in_use,
            load_fields: names.load_fields,
        };
        let given_out = GivenOut {
            classes: classes.given_out,
            tenants: tenants.given_out,
            zones: zones.given_out,
            kinds: kinds.given_out,
        };
        let next = Self {
            name: self.name.clone(),
            listen: self.listen,
            seed: self.seed,
            discovery: config.discovery,
            sockets: if config.sockets > descriptors { config.sockets } else { self.sockets },
            names,
            given_out,
            settings,
            connect_timeout: config.loaded.connect_timeout,
        };
        let waiting = [
            ("name", config.name != next.name),
            ("listen", config.listen != next.listen),
            ("seed", config.seed != next.seed),
            ("limits.sockets", config.sockets != next.sockets),
        ];
        let waiting = waiting.into_iter().filter(|(_, differs)| *differs).map(|(name, _)| name).collect();
        let changes = Changes { applied: self.parts_changed(&next), waiting };
        Ok((next, changes))
    }

    fn parts_changed(&self, next: &Self) -> Vec<Part> {
        let (old, new) = (&self.settings, &next.settings);
        let mut parts = Vec::new();
        if self.discovery != next.discovery {
            parts.push(Part::Discovery(next.discovery));
        }
        let class = |place: usize| old.classes[place] != new.classes[place];
        let tenant = |place: usize| old.tenants[place] != new.tenants[place];
        let alike = |_| false;
        parts.extend(list_parts(NameList::Classes, &self.names.classes, &next.names.classes, class));
        parts.extend(list_parts(NameList::Tenants, &self.names.tenants, &next.names.tenants, tenant));
        parts.extend(list_parts(NameList::Zones, &self.names.zones, &next.names.zones, alike));
        parts.extend(list_parts(NameList::Kinds, &self.names.kinds, &next.names.kinds, alike));
        let counts = [
            ("copies", u64::from(old.replica_count), u64::from(new.replica_count)),
            ("number", u64::from(old.replica_index), u64::from(new.replica_index)),
            ("tier", old.tier as u64, new.tier as u64),
            ("sockets", self.sockets as u64, next.sockets as u64),
        ];
        let moved = counts.into_iter().filter(|(_, from, to)| from != to);
        parts.extend(moved.map(|(name, from, to)| Part::Count { name, from, to }));
        let figures = [
            ("zone", old.zone != new.zone),
            ("over-share worth", old.over_quota_value != new.over_quota_value),
            ("how lists come", old.discovery != new.discovery),
            ("deadlines passed on", old.propagates_deadline != new.propagates_deadline),
            ("caps", old.capabilities != new.capabilities || self.connect_timeout != next.connect_timeout),
            ("rules", old.rules != new.rules),
            ("prices", old.costs != new.costs),
            ("load report", self.names.load_fields != next.names.load_fields),
        ];
        parts
            .extend(figures.into_iter().filter(|(_, differs)| *differs).map(|(name, _)| Part::Figures(name)));
        parts
    }

    /// What the decisions are told.
    #[must_use]
    pub fn settings(&self) -> Settings {
        let mut settings = self.settings.clone();
        if settings.discovery == DiscoveryMode::Push {
            // Over HTTP these lists come on a watch too, but count as told without one, however lately it was asked.
            settings.discovery = DiscoveryMode::Subscribe;
            settings.rules.max_poll_interval = None;
        }
        settings.rules.max_poll_interval =
            settings.rules.max_poll_interval.map(|span| span.min(ASK_WITHIN_MOST));
        settings
    }

    /// The names that are accepted.
    #[must_use]
    pub fn names(&self) -> &Names {
        &self.names
    }

    /// Where discovery listens.
    #[must_use]
    pub fn discovery(&self) -> SocketAddr {
        self.discovery
    }

    /// Descriptors that the process may hold.
    #[must_use]
    pub fn sockets(&self) -> usize {
        self.sockets
    }

    /// How long a connection may take to come up.
    #[must_use]
    pub fn connect_timeout(&self) -> Duration {
        self.connect_timeout
    }

    /// How long an idle connection to an upstream is kept.
    #[must_use]
    pub fn keep(&self) -> Duration {
        self.settings.capabilities.keepalive_timeout.mul_f64(KEEP_PART)
    }

    /// How long a client that is refused is asked to stay away.
    #[must_use]
    pub fn retry_after(&self) -> Option<Duration> {
        self.settings.capabilities.max_retry_after
    }

    /// How a class's requests may be repeated and how long its clients wait.
    #[must_use]
    pub fn class(&self, class: ClassId) -> Option<&Class> {
        self.settings.classes.get(class.0)
    }

    /// The longest that clients of the classes accepted wait.
    #[must_use]
    pub fn longest_deadline(&self) -> Duration {
        let classes = self.names.classes.values().map(|&place| &self.settings.classes[place]);
        classes.map(|class| class.deadline).max().unwrap_or_default()
    }
}

/// A list of names whose positions go on.
struct CarriedOver {
    given_out: Positions,
    in_use: Positions,
    /// Positions of the new list's names, in the order of that list.
    positions: Vec<usize>,
}

fn carry_over(list: NameList, given_out: &Positions, new: &Positions) -> Result<CarriedOver, ReloadError> {
    let mut given_out = given_out.clone();
    let mut names: Vec<_> = new.iter().collect();
    names.sort_unstable_by_key(|(_, position)| **position);
    let mut positions = Vec::with_capacity(names.len());
    for (name, _) in &names {
        let next = given_out.len();
        positions.push(*given_out.entry((*name).clone()).or_insert(next));
    }
    if given_out.len() > NAMES_MOST {
        return Err(ReloadError::TooManyNames(list));
    }
    let in_use = names.iter().map(|(name, _)| (*name).clone()).zip(positions.iter().copied()).collect();
    Ok(CarriedOver { given_out, in_use, positions })
}

/// Figures at their positions, in place of those that stand there.
fn placed<T: Clone>(mut figures: Vec<T>, new: &[T], positions: &[usize]) -> Vec<T> {
    for (figure, &position) in new.iter().zip(positions) {
        match figures.get_mut(position) {
            Some(place) => *place = figure.clone(),
            // Positions beyond are given out in this order.
            None => figures.push(figure.clone()),
        }
    }
    figures
}

fn list_parts(
    list: NameList,
    old: &Positions,
    new: &Positions,
    differs: impl Fn(usize) -> bool,
) -> impl Iterator<Item = Part> {
    let missing =
        |from: &Positions, to: &Positions| from.keys().filter(|name| !to.contains_key(*name)).count();
    let changed = old.iter().filter(|(name, place)| new.contains_key(*name) && differs(**place)).count();
    let parts = [
        Part::Added { list, count: missing(new, old) },
        Part::Removed { list, count: missing(old, new) },
        Part::Changed { list, count: changed },
    ];
    parts.into_iter().filter(|part| {
        !matches!(
            part,
            Part::Added { count: 0, .. } | Part::Removed { count: 0, .. } | Part::Changed { count: 0, .. }
        )
    })
}

#[cfg(test)]
mod tests;
