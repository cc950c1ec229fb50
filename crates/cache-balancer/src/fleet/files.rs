//! The files of a fleet's instances, made from one file: each instance has a name, addresses and a hand-over socket of its own.

use crate::config::operator::{self, FileError};
use crate::config::{Config, HandoverConfig, Listener};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Why a file makes no fleet.
#[derive(Debug, Error)]
pub enum FilesError {
    #[error("{0}")]
    File(#[from] FileError),
    #[error("listener {listener}: there is no port {port} for instance {instance}")]
    Port { listener: String, port: u32, instance: usize },
    #[error(
        "{0} would be the address of two listeners: leave as many ports between them as there are instances"
    )]
    DuplicateAddress(SocketAddr),
    #[error("{path}: {error}", path = .0.display(), error = .1)]
    Unwritable(PathBuf, io::Error),
}

/// The configuration of each instance, made from the file at `path`. The hand-over sockets are in `folder`.
pub fn configs(path: &Path, folder: &Path, instances: usize) -> Result<Vec<Config>, FilesError> {
    let base = operator::load(path)?;
    let mut taken = BTreeMap::new();
    (0..instances)
        .map(|instance| {
            let listeners = base
                .listeners
                .iter()
                .map(|listener| shifted(listener, instance))
                .collect::<Result<_, _>>()?;
            let mut config = Config { name: format!("{}-{instance}", base.name), listeners, ..base.clone() };
            for Listener { address, .. } in config.listeners.iter().filter(|one| one.address.port() != 0) {
                if taken.insert(*address, instance).is_some() {
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

/// The listener of an instance: its port is `instance` higher, unless the system picks it.
fn shifted(listener: &Listener, instance: usize) -> Result<Listener, FilesError> {
    let Listener { name, mut address } = listener.clone();
    if address.port() != 0 {
        let port = u32::from(address.port()) + instance as u32;
        let fits =
            u16::try_from(port).map_err(|_| FilesError::Port { listener: name.clone(), port, instance });
        address.set_port(fits?);
    }
    Ok(Listener { name, address })
}

/// The path of the file of an instance.
pub fn path(folder: &Path, instance: usize) -> PathBuf {
    folder.join(format!("{instance}.toml"))
}

/// Writes the files of all instances, each in one step.
pub fn write(folder: &Path, configs: &[Config]) -> Result<(), FilesError> {
    for (instance, config) in configs.iter().enumerate() {
        let (path, beside) = (path(folder, instance), folder.join(format!("{instance}.new")));
        let written = std::fs::write(&beside, operator::effective(config))
            .and_then(|()| std::fs::rename(&beside, &path));
        written.map_err(|error| FilesError::Unwritable(path, error))?;
    }
    Ok(())
}
