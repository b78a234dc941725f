//! A configuration that is put in force while the program runs: what it changes, why it is refused, and the line that
//! tells the operator.

use std::fmt::{self, Display, Formatter};
use std::net::SocketAddr;
use std::rc::Rc;

use stilelead_decision::interface::SettingsError;
use thiserror::Error;
use tokio::sync::mpsc::UnboundedReceiver;

use crate::config::{Config, ConfigError};
use crate::driver::Driver;

/// Why the old configuration stays in force.
#[derive(Debug, Error)]
pub enum ReloadError {
    /// The file cannot be used.
    #[error("{0}")]
    Config(#[from] ConfigError),
    /// The settings cannot follow those in force.
    #[error("the settings cannot follow those in force: {0}")]
    Settings(#[from] SettingsError),
    /// More names than may be given out until a restart.
    #[error("too many {} by name since the start", .0.plural())]
    TooManyNames(NameList),
}

/// A list of names in the settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NameList {
    /// Classes of requests.
    Classes,
    /// Tenants.
    Tenants,
    /// Zones.
    Zones,
    /// Kinds of machine.
    Kinds,
}

impl NameList {
    fn singular(self) -> &'static str {
        match self {
            Self::Classes => "class",
            Self::Tenants => "tenant",
            Self::Zones => "zone",
            Self::Kinds => "kind",
        }
    }

    fn plural(self) -> &'static str {
        match self {
            Self::Classes => "classes",
            Self::Tenants => "tenants",
            Self::Zones => "zones",
            Self::Kinds => "kinds",
        }
    }

    fn counted(self, count: usize) -> &'static str {
        if count == 1 { self.singular() } else { self.plural() }
    }
}

/// A part of the configuration that has changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Part {
    /// Where discovery listens.
    Discovery(SocketAddr),
    /// Names that were not accepted before.
    Added {
        /// Of what.
        list: NameList,
        /// How many.
        count: usize,
    },
    /// Names that are no longer accepted.
    Removed {
        /// Of what.
        list: NameList,
        /// How many.
        count: usize,
    },
    /// Names whose figures are others.
    Changed {
        /// Of what.
        list: NameList,
        /// How many.
        count: usize,
    },
    /// A whole number.
    Count {
        /// Its name.
        name: &'static str,
        /// What it was.
        from: u64,
        /// What it is.
        to: u64,
    },
    /// Other figures, by the name of their group.
    Figures(&'static str),
}

impl Display for Part {
    fn fmt(&self, to: &mut Formatter<'_>) -> fmt::Result {
        match *self {
            Self::Discovery(address) => write!(to, "discovery at {address}"),
            Self::Added { list, count } => write!(to, "{count} {} added", list.counted(count)),
            Self::Removed { list, count } => write!(to, "{count} {} removed", list.counted(count)),
            Self::Changed { list, count } => write!(to, "{count} {} changed", list.counted(count)),
            Self::Count { name, from, to: now } => write!(to, "{name} {from} to {now}"),
            Self::Figures(name) => to.write_str(name),
        }
    }
}

/// What a new configuration has changed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Changes {
    /// In force now.
    pub applied: Vec<Part>,
    /// Not before a restart.
    pub waiting: Vec<&'static str>,
}

impl Changes {
    /// Whether zones or kinds of machine go by other names: the list in hand was read by the old ones.
    #[must_use]
    pub fn renames_members(&self) -> bool {
        let renames = |part: &Part| match part {
            Part::Added { list, .. } | Part::Removed { list, .. } => {
                matches!(list, NameList::Zones | NameList::Kinds)
            }
            _ => false,
        };
        self.applied.iter().any(renames)
    }
}

impl Display for Changes {
    fn fmt(&self, to: &mut Formatter<'_>) -> fmt::Result {
        if self.applied.is_empty() {
            to.write_str("nothing has changed")?;
        }
        for (number, part) in self.applied.iter().enumerate() {
            let between = if number > 0 { ", " } else { "" };
            write!(to, "{between}{part}")?;
        }
        if !self.waiting.is_empty() {
            write!(to, "; waits for a restart: {}", self.waiting.join(", "))?;
        }
        Ok(())
    }
}

/// Puts each configuration that replaces another in force, whole or not at all, and says so in one line.
pub async fn follow(driver: Rc<Driver>, mut replaced: UnboundedReceiver<Result<Config, ConfigError>>) {
    while let Some(config) = replaced.recv().await {
        match config.map_err(ReloadError::from).and_then(|config| driver.reconfigure(config)) {
            Ok(changes) => tracing::info!("configuration applied: {changes}"),
            Err(error) => tracing::warn!("goes on with the old configuration: {error}"),
        }
    }
}
