//! A hollow balancer: the decisions, endpoint list and discovery watch of a balancer, without sockets for
//! clients.

use std::cell::Cell;
use std::rc::Rc;

use rustc_hash::FxHashMap;
use stilelead::active_config::ActiveConfig;
use stilelead::clock::Clock;
use stilelead::config::Config;
use stilelead::directory::{AppliedUpdate, Directory, UpdateSource};
use stilelead::discovery::Update;
use stilelead::subscription::Subscription;
use stilelead_decision::Balancer;
use stilelead_decision::interface::{AttemptNumber, ClassId, RequestId, SettingsError, TenantId, UpstreamId};

use super::calls::{AttemptId, CallClass};
use super::connections::IdleConnections;
use crate::process::settings::{CLASS_ORDER, CLASS_READ, tenant_name};
use crate::topology::RegionId;

/// An attempt whose connection is still being established because the node cannot be reached.
#[derive(Debug, Clone, Copy)]
struct Connecting {
    upstream: UpstreamId,
    attempt: AttemptId,
}

/// A hollow balancer: one simulated in this process, with the decision module of the real one.
pub(super) struct HollowBalancer {
    /// The decision module, which chooses upstreams, timeouts and retries.
    pub decisions: Balancer,
    /// The upstreams of the latest list.
    pub directory: Directory,
    /// The discovery watch on the control plane.
    pub subscription: Subscription,
    /// The list from the configuration, until it has been applied.
    pub initial_list: Option<Update>,
    /// Whether the current list contains an upstream that takes requests.
    pub ready: bool,
    /// Version of the latest list that was received.
    pub list_version: u64,
    /// Whether the watch is open and has delivered a list or change.
    pub watching: bool,
    /// Number of restarts of the balancer's process; a timer set before a restart is ignored.
    pub generation: u64,
    /// Region of the balancer; a cut between regions makes the nodes of other regions unreachable.
    pub region: RegionId,
    /// Idle connections to nodes.
    pub idle_connections: IdleConnections,
    /// The configuration in force.
    pub in_force: ActiveConfig,
    /// Number of descriptors that the watches use.
    pub watch_descriptors: Rc<Cell<usize>>,
    /// Node indices of the listed upstreams.
    nodes: FxHashMap<UpstreamId, usize>,
    connecting: Vec<Connecting>,
}

impl HollowBalancer {
    /// A balancer that has just started and has not received a list yet.
    ///
    /// # Errors
    /// The settings are invalid.
    pub fn start(
        mut config: Config,
        clock: Clock,
        region: RegionId,
        generation: u64,
    ) -> Result<Self, SettingsError> {
        let (seed, initial_list) = (config.seed, config.initial_list.take());
        let in_force = ActiveConfig::start(config);
        // A restarted process draws different random numbers.
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
            idle_connections: IdleConnections::default(),
            in_force,
            watch_descriptors: Rc::default(),
            nodes: FxHashMap::default(),
            connecting: Vec::new(),
        })
    }

    /// Applies an update of the list; `node_indices` maps the names of the fleet's nodes to their indices.
    pub fn apply_list(
        &mut self,
        update: &Update,
        origin: UpdateSource,
        node_indices: &FxHashMap<String, usize>,
    ) -> AppliedUpdate {
        let change = self.directory.apply(update, origin, self.in_force.names());
        for endpoint in &update.endpoints {
            if let Some(upstream) = self.directory.id_of(&endpoint.name)
                && let Some(&node) = node_indices.get(&endpoint.name)
            {
                self.nodes.insert(upstream, node);
            }
        }
        let directory = &self.directory;
        self.nodes.retain(|&upstream, _| directory.contains(upstream));
        change
    }

    /// Index of an upstream's node; `None` if it is not a node of this fleet.
    pub fn node(&self, upstream: UpstreamId) -> Option<usize> {
        self.nodes.get(&upstream).copied()
    }

    /// The class as the settings number it; `None` if they do not contain it.
    pub fn class(&self, class: CallClass) -> Option<ClassId> {
        let name = match class {
            CallClass::Read => CLASS_READ,
            CallClass::Order => CLASS_ORDER,
        };
        self.in_force.names().classes.get(name).copied().map(ClassId)
    }

    /// The tenant as the settings number it; `None` if they do not contain it.
    pub fn tenant(&self, number: u32) -> Option<TenantId> {
        self.in_force.names().tenants.get(&tenant_name(number)).copied().map(TenantId)
    }

    /// Names of the load report fields that the settings use.
    pub fn load_fields(&self) -> &[String] {
        &self.in_force.names().load_fields
    }

    /// Notes that an attempt waits for a connection that cannot be established at the moment.
    pub fn add_connecting(&mut self, upstream: UpstreamId, attempt: AttemptId) {
        self.connecting.push(Connecting { upstream, attempt });
    }

    /// Removes an attempt that no longer waits for a connection, if it did.
    pub fn remove_connecting(&mut self, request: RequestId, number: AttemptNumber) {
        self.connecting.retain(|connecting| connecting.attempt != AttemptId { request, number });
    }

    /// The attempts that wait for a connection to an upstream.
    pub fn connecting_to(&self, upstream: UpstreamId) -> Vec<AttemptId> {
        let attempts_to_upstream =
            self.connecting.iter().filter(|connecting| connecting.upstream == upstream);
        attempts_to_upstream.map(|connecting| connecting.attempt).collect()
    }
}
