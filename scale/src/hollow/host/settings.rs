//! Configurations of copies: those that they start with, and those that they are given while they run.

use std::time::Instant;

use stilelead::config::Config;
use stilelead::reload::ReloadError;
use stilelead_decision::Event;

use super::Host;
use crate::hollow::HollowError;
use crate::hollow::copy::HollowCopy;
use crate::hollow::plan::without_list;
use crate::topology::CopyId;

impl Host {
    /// A copy as it starts, with the list as it is now and the settings that it was given last.
    pub(super) fn new_copy(&self, number: usize, life: u64) -> Result<HollowCopy, HollowError> {
        let error = |cause| HollowError::Configuration { copy: self.name(number), cause };
        let topology = &self.plan.topology;
        let copy = &topology.copies[number];
        let config = match self.replaced.get(&number) {
            Some(text) => Config::parse(text, |_| None)
                .map(|config| Config { known: Some(self.control.list(copy.target)), ..config }),
            None => Config::parse(&self.plan.configuration(CopyId(number), &self.control), |_| None),
        };
        let config = config.map_err(error)?;
        let region = topology.region(copy.zone);
        HollowCopy::start(config, self.clock, region, life).map_err(|cause| error(cause.into()))
    }

    /// A copy is given a new configuration, as by SIGHUP. One that cannot be used leaves the old one in force.
    pub fn reload(&mut self, copy: usize, text: &str, handed_over: Instant) {
        self.catch_up();
        match self.change_settings(copy, text) {
            Ok(in_force) => {
                let took = in_force.saturating_duration_since(handed_over);
                self.record.measured().settings_in_force_us.add(took);
                if let Some(settings) = without_list(text) {
                    self.replaced.insert(copy, settings);
                }
            }
            Err(error) => {
                tracing::debug!(copy = self.name(copy), %error, "the old settings stay in force");
                self.record.measured().settings_missed += 1;
            }
        }
        self.run_steps();
    }

    /// Puts a configuration in force as the balancer does; returns when the decisions had taken it in.
    fn change_settings(&mut self, copy: usize, text: &str) -> Result<Instant, ReloadError> {
        let config = Config::parse(text, |_| None)?;
        let state = &mut self.copies[copy];
        let (new, changes) = state.in_force.replaced_by(config, state.sockets.get())?;
        let old = std::mem::replace(&mut state.in_force, new);
        let (settings, discovery) = (state.in_force.settings(), state.in_force.discovery());
        if settings != old.settings() {
            self.decide(copy, Event::SettingsChanged(Box::new(settings)));
        }
        let in_force = Instant::now();
        let whole = changes.needs_full_list();
        let subscription = &mut self.copies[copy].subscription;
        if whole {
            subscription.request_full_list();
        }
        if subscription.set_address(discovery) || whole {
            self.decide(copy, Event::DiscoveryMoved);
        }
        Ok(in_force)
    }
}
