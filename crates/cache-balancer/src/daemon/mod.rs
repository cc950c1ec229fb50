//! The daemon of one node.
//!
//! * [`startup`]: starts a node from its configuration, with or without a predecessor process to take
//!   over from.
//! * [`serve`]: runs the event loop for signals and graceful restarts.
//! * [`node`]: owns the components of a node and reloads its configuration; [`change`] compares two
//!   configurations.
//! * [`graceful_restart`]: carries out the actions that [`balancer_core::graceful_restart`] decides on.

mod change;
mod error;
mod graceful_restart;
mod listeners;
mod node;
mod pools;
mod serve;
mod startup;

pub use error::StartError;

use crate::config::{operator, platform, Config};
use crate::log::log;
use error::ConfigureError;
use std::io;
use std::path::{Path, PathBuf};
use tokio::runtime;
use tokio::task::LocalSet;

/// The source of the configuration.
#[derive(Clone, Debug)]
enum ConfigSource {
    /// The platform's environment.
    Platform,
    /// An operator's file.
    Operator(PathBuf),
}

/// Runs a node with the configuration from the platform's environment, until SIGTERM.
pub fn start() -> Result<(), StartError> {
    let config = platform::load(|name| std::env::var(name).ok()).map_err(ConfigureError::from)?;
    block_on(config, ConfigSource::Platform)
}

/// Runs a node with the configuration from an operator's file, until SIGTERM or until another process has
/// taken over.
///
/// If `with_parent` is set, this process receives SIGTERM when its parent exits.
pub fn start_from(path: &Path, with_parent: bool) -> Result<(), StartError> {
    if with_parent {
        rustix::process::set_parent_process_death_signal(Some(rustix::process::Signal::TERM))
            .map_err(io::Error::from)?;
    }
    let config = operator::load(path).map_err(ConfigureError::from)?;
    block_on(limit_descriptors(config), ConfigSource::Operator(path.to_owned()))
}

fn block_on(config: Config, source: ConfigSource) -> Result<(), StartError> {
    // A node has one core, so it runs on one thread and its components need no locks.
    let runtime = runtime::Builder::new_current_thread().enable_all().build()?;
    let result = LocalSet::new().block_on(&runtime, startup::run(config, source));
    // A blocked file read must not delay the exit.
    runtime.shutdown_background();
    result
}

/// Lowers the configured number of descriptors to the system's limit if it is higher.
fn limit_descriptors(mut config: Config) -> Config {
    let limit = operator::descriptor_limit();
    if config.descriptors > limit {
        log!("descriptors limited to {limit} by the system; {} are configured", config.descriptors);
        config.descriptors = limit;
    }
    config
}
