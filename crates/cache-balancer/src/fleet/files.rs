//! Derives the configuration files of a fleet's instances from one file. Each instance gets its own name,
//! addresses and hand-over socket.

use crate::config::operator::{self, FileError};
use crate::config::{Config, HandoverConfig, Listener};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// An error in deriving or writing the files of a fleet's instances.
#[derive(Debug, Error)]
pub enum FilesError {
    #[error("{0}")]
    File(#[from] FileError),
    #[error("listener {listener}: instance {instance} would need port {port}, expected at most 65535")]
    Port { listener: String, port: u32, instance: usize },
    #[error(
        "{0} would be the address of two listeners: leave as many ports between them as there are instances"
    )]
    DuplicateAddress(SocketAddr),
    #[error("{path}: {error}", path = .0.display(), error = .1)]
    Unwritable(PathBuf, io::Error),
}

/// Derives the configuration of each instance from the file at `path`. The hand-over sockets are in `folder`.
pub fn configs(path: &Path, folder: &Path, instances: usize) -> Result<Vec<Config>, FilesError> {
    let base = operator::load(path)?;
    let mut instance_by_address = BTreeMap::new();
    (0..instances)
        .map(|instance| {
            let listeners = base
                .listeners
                .iter()
                .map(|listener| with_port_offset(listener, instance))
                .collect::<Result<_, _>>()?;
            let mut config = Config { name: format!("{}-{instance}", base.name), listeners, ..base.clone() };
            for Listener { address, .. } in
                config.listeners.iter().filter(|listener| listener.address.port() != 0)
            {
                if instance_by_address.insert(*address, instance).is_some() {
                    return Err(FilesError::DuplicateAddress(*address));
                }
            }
            let socket = folder.join(format!("{instance}.sock"));
            config.handover = Some(match base.handover.clone() {
                Some(handover) => HandoverConfig { socket, ..handover },
                None => HandoverConfig::with_socket(socket),
            });
            for pool in &mut config.pools {
                pool.settings.nodes = instances as u32;
            }
            Ok(config)
        })
        .collect()
}

/// Returns the listener with its port increased by `instance`. Port 0, which the system replaces, stays 0.
fn with_port_offset(listener: &Listener, instance: usize) -> Result<Listener, FilesError> {
    let Listener { name, mut address } = listener.clone();
    if address.port() != 0 {
        let port = u32::from(address.port()) + instance as u32;
        let valid_port =
            u16::try_from(port).map_err(|_| FilesError::Port { listener: name.clone(), port, instance });
        address.set_port(valid_port?);
    }
    Ok(Listener { name, address })
}

/// Returns the path of an instance's configuration file.
pub fn path(folder: &Path, instance: usize) -> PathBuf {
    folder.join(format!("{instance}.toml"))
}

/// Writes the files of all instances. Each file replaces the previous one atomically.
pub fn write(folder: &Path, configs: &[Config]) -> Result<(), FilesError> {
    for (instance, config) in configs.iter().enumerate() {
        let (path, temporary) = (path(folder, instance), folder.join(format!("{instance}.new")));
        let written = std::fs::write(&temporary, operator::effective(config))
            .and_then(|()| std::fs::rename(&temporary, &path));
        written.map_err(|error| FilesError::Unwritable(path, error))?;
    }
    Ok(())
}
