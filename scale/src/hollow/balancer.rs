//! One hollow copy: the decisions, the list and the watch of a balancer, without sockets for clients.

use std::cell::Cell;
use std::rc::Rc;

use rustc_hash::FxHashMap;
use stilelead::clock::Clock;
use stilelead::config::Config;
use stilelead::directory::{Change, Directory, Origin};
use stilelead::discovery::Update;
use stilelead::in_force::InForce;
use stilelead::subscription::Subscription;
use stilelead_decision::Balancer;
use stilelead_decision::interface::{AttemptNumber, ClassId, RequestId, SettingsError, TenantId, UpstreamId};

use super::calls::{AttemptId, CallClass};
use super::connections::IdleConnections;
use crate::process::settings::{CLASS_ORDER, CLASS_READ, tenant_name};
use crate::topology::RegionId;

/// An attempt whose connection does not come up.
#[derive(Debug, Clone, Copy)]
struct Connecting {
    upstream: UpstreamId,
    attempt: AttemptId,
}

/// A hollow copy.
pub(super) struct HollowBalancer {
    /// Its decisions.
    pub decisions: Balancer,
    /// The list in hand.
    pub directory: Directory,
    /// Its watch on control.
    pub subscription: Subscription,
    /// The list from its configuration, until it is taken in.
    pub initial_list: Option<Update>,
    /// The list in hand names an upstream to send to.
    pub ready: bool,
    /// The version of the list that it was last told.
    pub list_version: u64,
    /// Its watch stands and has told it something.
    pub watching: bool,
    /// Counts its processes.
    pub generation: u64,
    /// Its region.
    pub region: RegionId,
    /// Its idle connections.
    pub idle: IdleConnections,
    /// The configuration in force.
    pub in_force: InForce,
    /// Counts the descriptors of its watches.
    pub sockets: Rc<Cell<usize>>,
    /// Positions of the nodes listed.
    nodes: FxHashMap<UpstreamId, usize>,
    connecting: Vec<Connecting>,
}

impl HollowBalancer {
    /// A copy that was just started and has heard nothing yet.
    ///
    /// # Errors
    /// The settings make no sense.
    pub fn start(
        mut config: Config,
        clock: Clock,
        region: RegionId,
        generation: u64,
    ) -> Result<Self, SettingsError> {
        let (seed, initial_list) = (config.seed, config.known.take());
        let in_force = InForce::start(config);
        // A process that starts anew draws anew.
        let decisions = Balancer::new(in_force.settings(), seed.wrapping_add(generation))?;
        Ok(Self {
            decisions,
            directory: Directory::new(clock),
            subscription: Subscription::new(in_force.discovery()),
            initial_list,
            ready: false,
            list_version: 0,
            watching: false,
            generation,
            region,
            idle: IdleConnections::default(),
            in_force,
            sockets: Rc::default(),
            nodes: FxHashMap::default(),
            connecting: Vec::new(),
        })
    }

    /// Takes in an update of the list; `positions` has the fleet's nodes by name.
    pub fn apply_list(
        &mut self,
        update: &Update,
        origin: Origin,
        positions: &FxHashMap<String, usize>,
    ) -> Change {
        let change = self.directory.apply(update, origin, self.in_force.names());
        for endpoint in &update.endpoints {
            if let Some(upstream) = self.directory.id_of(&endpoint.name)
                && let Some(&node) = positions.get(&endpoint.name)
            {
                self.nodes.insert(upstream, node);
            }
        }
        let directory = &self.directory;
        self.nodes.retain(|&upstream, _| directory.contains(upstream));
        change
    }

    /// Position of the node behind an upstream.
    pub fn node(&self, upstream: UpstreamId) -> Option<usize> {
        self.nodes.get(&upstream).copied()
    }

    /// A class of calls in terms of the settings.
    pub fn class(&self, class: CallClass) -> Option<ClassId> {
        let name = match class {
            CallClass::Read => CLASS_READ,
            CallClass::Order => CLASS_ORDER,
        };
        self.in_force.names().classes.get(name).copied().map(ClassId)
    }

    /// A tenant in terms of the settings.
    pub fn tenant(&self, number: u32) -> Option<TenantId> {
        self.in_force.names().tenants.get(&tenant_name(number)).copied().map(TenantId)
    }

    /// The fields of load reports.
    pub fn load_fields(&self) -> &[String] {
        &self.in_force.names().load_fields
    }

    /// An attempt's connection does not come up for now.
    pub fn add_connecting(&mut self, upstream: UpstreamId, attempt: AttemptId) {
        self.connecting.push(Connecting { upstream, attempt });
    }

    /// An attempt is no longer connecting.
    pub fn remove_connecting(&mut self, request: RequestId, number: AttemptNumber) {
        self.connecting.retain(|connecting| connecting.attempt != AttemptId { request, number });
    }

    /// The attempts whose connection to an upstream does not come up.
    pub fn connecting_to(&self, upstream: UpstreamId) -> Vec<AttemptId> {
        let to = self.connecting.iter().filter(|connecting| connecting.upstream == upstream);
        to.map(|connecting| connecting.attempt).collect()
    }
}
