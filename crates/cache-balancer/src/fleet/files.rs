//! The files of a fleet's instances, made from one: each has a name, addresses and a hand-over of its own.

use crate::config::operator::{self, FileError};
use crate::config::{Config, HandOver, Listener};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Why there is no fleet of a file.
#[derive(Debug, Error)]
pub enum FilesError {
    #[error("{0}")]
    File(#[from] FileError),
    #[error("listener {listener}: there is no port {port} for instance {instance}")]
    Port { listener: String, port: u32, instance: usize },
    #[error(
        "{0} would be the address of two listeners: leave as many ports between them as there are instances"
    )]
    Twice(SocketAddr),
    #[error("{path}: {error}", path = .0.display(), error = .1)]
    Unwritable(PathBuf, io::Error),
}

/// What is made of the file of this path for so many instances: each one's configuration, in order.
pub fn configurations(path: &Path, folder: &Path, instances: usize) -> Result<Vec<Config>, FilesError> {
    let base = operator::load(path)?;
    let mut taken = BTreeMap::new();
    (0..instances)
        .map(|instance| {
            let listeners =
                base.listeners.iter().map(|listener| moved(listener, instance)).collect::<Result<_, _>>()?;
            let mut config = Config { name: format!("{}-{instance}", base.name), listeners, ..base.clone() };
            for Listener { address, .. } in config.listeners.iter().filter(|one| one.address.port() != 0) {
                if taken.insert(*address, instance).is_some() {
                    return Err(FilesError::Twice(*address));
                }
            }
            let socket = folder.join(format!("{instance}.sock"));
            config.hand_over = Some(match base.hand_over.clone() {
                Some(hand_over) => HandOver { socket, ..hand_over },
                None => HandOver::at(socket),
            });
            for pool in &mut config.pools {
                pool.settings.nodes = instances as u32;
            }
            Ok(config)
        })
        .collect()
}

/// Each instance listens on the ports behind those of the one before.
fn moved(listener: &Listener, instance: usize) -> Result<Listener, FilesError> {
    let Listener { name, mut address } = listener.clone();
    if address.port() != 0 {
        let port = u32::from(address.port()) + instance as u32;
        let fits =
            u16::try_from(port).map_err(|_| FilesError::Port { listener: name.clone(), port, instance });
        address.set_port(fits?);
    }
    Ok(Listener { name, address })
}

/// Where an instance's file is.
pub fn path(folder: &Path, instance: usize) -> PathBuf {
    folder.join(format!("{instance}.toml"))
}

/// Writes the files of all instances, each in one step.
pub fn write(folder: &Path, configurations: &[Config]) -> Result<(), FilesError> {
    for (instance, config) in configurations.iter().enumerate() {
        let (path, beside) = (path(folder, instance), folder.join(format!("{instance}.new")));
        let written = std::fs::write(&beside, operator::effective(config))
            .and_then(|()| std::fs::rename(&beside, &path));
        written.map_err(|error| FilesError::Unwritable(path, error))?;
    }
    Ok(())
}
