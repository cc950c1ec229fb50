//! The daemon of one node.
//!
//! * [`startup`]: from the configuration to a node that serves, alone or in place of another process.
//! * [`serve`]: the loop that handles signals and the graceful restart.
//! * [`node`]: the parts of a node, and its reload; [`change`] compares two configurations.
//! * [`graceful_restart`]: carries out what [`balancer_core::graceful_restart`] decides.

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

/// Serves with the configuration of the platform's environment, until SIGTERM.
pub fn start() -> Result<(), StartError> {
    let config = platform::load(|name| std::env::var(name).ok()).map_err(ConfigureError::from)?;
    block_on(config, ConfigSource::Platform)
}

/// Serves with the configuration of an operator's file, until SIGTERM or until another process has taken over.
///
/// Ends with the process that started it if `with_parent` is set.
pub fn start_from(path: &Path, with_parent: bool) -> Result<(), StartError> {
    if with_parent {
        rustix::process::set_parent_process_death_signal(Some(rustix::process::Signal::TERM))
            .map_err(io::Error::from)?;
    }
    let config = operator::load(path).map_err(ConfigureError::from)?;
    block_on(limit_descriptors(config), ConfigSource::Operator(path.to_owned()))
}

fn block_on(config: Config, source: ConfigSource) -> Result<(), StartError> {
    // A node has one core: one thread, and no locks between its parts.
    let runtime = runtime::Builder::new_current_thread().enable_all().build()?;
    let result = LocalSet::new().block_on(&runtime, startup::run(config, source));
    // A read of a file that blocks must not delay the exit.
    runtime.shutdown_background();
    result
}

/// Lowers the configured number of descriptors to the system's limit.
fn limit_descriptors(mut config: Config) -> Config {
    let limit = operator::descriptor_limit();
    if config.descriptors > limit {
        log!("the system lets this process hold {limit} descriptors, not {}", config.descriptors);
        config.descriptors = limit;
    }
    config
}
