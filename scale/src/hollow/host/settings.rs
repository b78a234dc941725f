//! Configurations of copies: those that they start with, and those that they are given while they run.

use std::time::Instant;

use stilelead::config::Config;
use stilelead::reload::ReloadError;
use stilelead_decision::Event;

use super::HollowHost;
use crate::hollow::HollowError;
use crate::hollow::balancer::HollowBalancer;
use crate::hollow::plan::without_list;
use crate::topology::CopyId;

impl HollowHost {
    /// A copy as it starts, with the list as it is now and the settings that it was given last.
    pub(super) fn new_balancer(&self, number: usize, generation: u64) -> Result<HollowBalancer, HollowError> {
        let error = |cause| HollowError::Configuration { balancer: self.name(number), cause };
        let topology = &self.plan.topology;
        let balancer = &topology.copies[number];
        let config = match self.reloaded_configurations.get(&number) {
            Some(text) => Config::parse(text, |_| None)
                .map(|config| Config { known: Some(self.control.list(balancer.target)), ..config }),
            None => Config::parse(&self.plan.configuration(CopyId(number), &self.control), |_| None),
        };
        let config = config.map_err(error)?;
        let region = topology.region(balancer.zone);
        HollowBalancer::start(config, self.clock, region, generation).map_err(|cause| error(cause.into()))
    }

    /// A copy is given a new configuration, as by SIGHUP. One that cannot be used leaves the old one in force.
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
                tracing::debug!(copy = self.name(balancer), %error, "the old settings stay in force");
                self.record.measured().settings_missed += 1;
            }
        }
        self.process_steps();
    }

    /// Puts a configuration in force as the balancer does; returns when the decisions had taken it in.
    fn apply_settings(&mut self, balancer: usize, text: &str) -> Result<Instant, ReloadError> {
        let config = Config::parse(text, |_| None)?;
        let state = &mut self.balancers[balancer];
        let (new, changes) = state.in_force.replaced_by(config, state.sockets.get())?;
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
