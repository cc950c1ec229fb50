//! Why a node does not start, or does not take a configuration.

use super::graceful_restart::TakeoverError;
use crate::config::{operator, platform};
use crate::handover::HandoverError;
use crate::service_manager::ActivationError;
use std::io;
use std::net::SocketAddr;
use thiserror::Error;
use tokio::task::JoinError;

/// Why a configuration cannot be applied.
#[derive(Debug, Error)]
pub enum ConfigureError {
    #[error("{0}")]
    Platform(#[from] platform::ConfigError),
    #[error("{0}")]
    Operator(#[from] operator::FileError),
    #[error("{descriptors} descriptors leave no room to work beside {reserved} of the node's own")]
    Descriptors { descriptors: usize, reserved: usize },
    #[error("cannot listen on {address}: {error}")]
    Listen { address: SocketAddr, error: io::Error },
    #[error("listener {name}: the socket that another process opened cannot be used: {error}")]
    InheritedSocket { name: String, error: io::Error },
    #[error("hand_over.socket: {0}")]
    HandoverSocket(io::Error),
    #[error("the configuration was not read: {0}")]
    NotRead(#[from] JoinError),
}

/// Why a node does not start, or has to stop.
#[derive(Debug, Error)]
pub enum StartError {
    #[error("{0}")]
    Configure(#[from] ConfigureError),
    /// The runtime, or a signal handler.
    #[error("{0}")]
    System(#[from] io::Error),
    #[error("{0}")]
    Activation(#[from] ActivationError),
    #[error("{0}")]
    Handover(#[from] HandoverError),
    #[error("{0}")]
    Takeover(#[from] TakeoverError),
}
