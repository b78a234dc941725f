//! Configurations of balancers: at their start, and reloaded while they run.

use std::time::Instant;

use stilelead::config::Config;
use stilelead::reload::ReloadError;
use stilelead_decision::Event;

use super::HollowHost;
use crate::hollow::HollowError;
use crate::hollow::balancer::HollowBalancer;
use crate::hollow::plan::without_list;
use crate::topology::BalancerId;

impl HollowHost {
    /// Creates a balancer with the current list and its latest settings.
    pub(super) fn new_balancer(&self, number: usize, generation: u64) -> Result<HollowBalancer, HollowError> {
        let error = |cause| HollowError::Configuration { balancer: self.balancer_name(number), cause };
        let topology = &self.plan.topology;
        let balancer = &topology.balancers[number];
        let config = match self.reloaded_configurations.get(&number) {
            Some(text) => Config::parse(text, |_| None)
                .map(|config| Config { initial_list: Some(self.control.list(balancer.target)), ..config }),
            None => Config::parse(&self.plan.configuration(BalancerId(number), &self.control), |_| None),
        };
        let config = config.map_err(error)?;
        let region = topology.region(balancer.zone);
        HollowBalancer::start(config, self.clock, region, generation).map_err(|cause| error(cause.into()))
    }

    /// Reloads a balancer's configuration, as after SIGHUP. If the new one is rejected, the old one stays in
    /// force.
    pub fn reload(&mut self, balancer: usize, text: &str, requested_at: Instant) {
        self.catch_up();
        match self.apply_settings(balancer, text) {
            Ok(in_force_at) => {
                let delay = in_force_at.saturating_duration_since(requested_at);
                self.record.measured().settings_in_force_us.add(delay);
                if let Some(settings) = without_list(text) {
                    self.reloaded_configurations.insert(balancer, settings);
                }
            }
            Err(error) => {
                tracing::debug!(
                    copy = self.balancer_name(balancer),
                    %error,
                    "the new configuration was rejected; the old settings stay in force"
                );
                self.record.measured().balancers_without_new_settings += 1;
            }
        }
        self.process_steps();
    }

    /// Puts a configuration in force as the real balancer does; returns when the decisions had the new
    /// settings.
    fn apply_settings(&mut self, balancer: usize, text: &str) -> Result<Instant, ReloadError> {
        let config = Config::parse(text, |_| None)?;
        let state = &mut self.balancers[balancer];
        let (new, changes) = state.in_force.replaced_by(config, state.watch_descriptors.get())?;
        let old = std::mem::replace(&mut state.in_force, new);
        let (settings, discovery) = (state.in_force.settings(), state.in_force.discovery());
        if settings != old.settings() {
            self.decide(balancer, Event::SettingsChanged(Box::new(settings)));
        }
        let in_force_at = Instant::now();
        let needs_full_list = changes.needs_full_list();
        let subscription = &mut self.balancers[balancer].subscription;
        if needs_full_list {
            subscription.request_full_list();
        }
        if subscription.set_address(discovery) || needs_full_list {
            self.decide(balancer, Event::DiscoveryMoved);
        }
        Ok(in_force_at)
    }
}
