//! Configuration reloads: what a new configuration changes, why it is rejected, and the log line about it.

use std::fmt::{self, Display, Formatter};
use std::net::SocketAddr;
use std::rc::Rc;

use stilelead_decision::interface::SettingsError;
use thiserror::Error;
use tokio::sync::mpsc::UnboundedReceiver;

use crate::config::{Config, ConfigError};
use crate::driver::Driver;

/// Why a new configuration is rejected; the old one stays in force.
#[derive(Debug, Error)]
pub enum ReloadError {
    /// The file cannot be read or is invalid.
    #[error("{0}")]
    Config(#[from] ConfigError),
    /// The settings cannot replace those in force.
    #[error("the settings cannot replace those in force: {0}")]
    Settings(#[from] SettingsError),
    /// The list has had more names since the start of the program than may be kept.
    #[error("too many different {} since the start; a restart is required", .0.plural())]
    TooManyNames(NameList),
}

/// A list of names in the settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NameList {
    /// Request classes.
    Classes,
    /// Tenants.
    Tenants,
    /// Zones.
    Zones,
    /// Machine types.
    MachineTypes,
}

impl NameList {
    /// The noun for one name of the list.
    fn singular(self) -> &'static str {
        match self {
            Self::Classes => "class",
            Self::Tenants => "tenant",
            Self::Zones => "zone",
            Self::MachineTypes => "machine type",
        }
    }

    /// The noun for several names of the list.
    fn plural(self) -> &'static str {
        match self {
            Self::Classes => "classes",
            Self::Tenants => "tenants",
            Self::Zones => "zones",
            Self::MachineTypes => "machine types",
        }
    }

    /// The noun for `count` names of the list, singular or plural.
    fn noun_for(self, count: usize) -> &'static str {
        if count == 1 { self.singular() } else { self.plural() }
    }
}

/// One difference between the old and the new configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Difference {
    /// Discovery has a new address.
    DiscoveryAddress(SocketAddr),
    /// Names were added to a list.
    Added {
        /// The list of names.
        list: NameList,
        /// The number of names that the difference concerns.
        count: usize,
    },
    /// Names were removed from a list; they are no longer accepted.
    Removed {
        /// The list of names.
        list: NameList,
        /// The number of names that the difference concerns.
        count: usize,
    },
    /// Values of names on both lists have changed.
    Changed {
        /// The list of names.
        list: NameList,
        /// The number of names that the difference concerns.
        count: usize,
    },
    /// An integer setting has changed.
    Integer {
        /// The key of the setting.
        name: &'static str,
        /// The old value.
        from: u64,
        /// The new value.
        to: u64,
    },
    /// A setting, or a value in a group of settings, has changed; named by its key.
    Setting(&'static str),
}

impl Display for Difference {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match *self {
            Self::DiscoveryAddress(address) => write!(f, "discovery at {address}"),
            Self::Added { list, count } => write!(f, "{count} {} added", list.noun_for(count)),
            Self::Removed { list, count } => write!(f, "{count} {} removed", list.noun_for(count)),
            Self::Changed { list, count } => write!(f, "{count} {} changed", list.noun_for(count)),
            Self::Integer { name, from, to } => write!(f, "{name} {from} to {to}"),
            Self::Setting(name) => f.write_str(name),
        }
    }
}

/// The differences between an old and a new configuration.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Changes {
    /// The differences that have taken effect.
    pub applied: Vec<Difference>,
    /// The keys whose new values take effect only after a restart.
    pub restart_required: Vec<&'static str>,
}

impl Changes {
    /// Whether the full list must be requested again: names of zones or machine types were added or removed,
    /// and the entries of the current list were read with the old names.
    #[must_use]
    pub fn needs_full_list(&self) -> bool {
        let changes_member_names = |difference: &Difference| match difference {
            Difference::Added { list, .. } | Difference::Removed { list, .. } => {
                matches!(list, NameList::Zones | NameList::MachineTypes)
            }
            _ => false,
        };
        self.applied.iter().any(changes_member_names)
    }
}

impl Display for Changes {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        if self.applied.is_empty() {
            f.write_str("nothing has changed")?;
        }
        for (index, difference) in self.applied.iter().enumerate() {
            let separator = if index > 0 { ", " } else { "" };
            write!(f, "{separator}{difference}")?;
        }
        if !self.restart_required.is_empty() {
            write!(f, "; requires a restart: {}", self.restart_required.join(", "))?;
        }
        Ok(())
    }
}

/// Puts each new configuration in force, either completely or not at all, and logs the result in one line.
pub async fn apply_reloads(
    driver: Rc<Driver>,
    mut new_configs: UnboundedReceiver<Result<Config, ConfigError>>,
) {
    while let Some(config) = new_configs.recv().await {
        match config.map_err(ReloadError::from).and_then(|config| driver.reconfigure(config)) {
            Ok(changes) => tracing::info!("configuration applied: {changes}"),
            Err(error) => {
                tracing::warn!("the new configuration is rejected, the old one stays in force: {error}")
            }
        }
    }
}
