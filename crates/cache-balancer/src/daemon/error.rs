//! Errors that keep a node from starting or from applying a configuration.

use super::graceful_restart::TakeoverError;
use crate::config::{operator, platform, MIN_CONNECTIONS};
use crate::handover::HandoverError;
use crate::service_manager::ActivationError;
use std::io;
use std::net::SocketAddr;
use thiserror::Error;
use tokio::task::JoinError;

/// An error that prevents a configuration from being applied.
#[derive(Debug, Error)]
pub enum ConfigureError {
    #[error("{0}")]
    Platform(#[from] platform::ConfigError),
    #[error("{0}")]
    Operator(#[from] operator::FileError),
    #[error(
        "{descriptors} descriptors are too few: the node reserves {reserved}, and \
         connections need at least {}",
        2 * MIN_CONNECTIONS
    )]
    Descriptors { descriptors: usize, reserved: usize },
    #[error("cannot listen on {address}: {error}")]
    Listen { address: SocketAddr, error: io::Error },
    #[error("listener {name}: the inherited socket cannot be used: {error}")]
    InheritedSocket { name: String, error: io::Error },
    #[error("hand_over.socket: {0}")]
    HandoverSocket(io::Error),
    #[error("the task that reads the configuration failed: {0}")]
    NotRead(#[from] JoinError),
}

/// An error that prevents a node from starting, or stops it.
#[derive(Debug, Error)]
pub enum StartError {
    #[error("{0}")]
    Configure(#[from] ConfigureError),
    /// The runtime could not be created, or a system call during startup failed.
    #[error("{0}")]
    System(#[from] io::Error),
    #[error("{0}")]
    Activation(#[from] ActivationError),
    #[error("{0}")]
    Handover(#[from] HandoverError),
    #[error("{0}")]
    Takeover(#[from] TakeoverError),
}
