//! Socket activation: listening sockets that the service manager opened before the node started
//! (sd_listen_fds(3)).

use listenfd::ListenFd;
use std::io;
use std::net::TcpListener;
use thiserror::Error;

/// The name that sd_listen_fds(3) gives to an unnamed socket.
const UNNAMED: &str = "unknown";

/// An error in the sockets that the service manager passed.
#[derive(Debug, Error)]
pub enum ActivationError {
    #[error("the service manager passed a socket \"{0}\", but there is no listener of this name")]
    UnknownName(String),
    #[error("the service manager passed two sockets \"{0}\", but a listener can use only one")]
    Duplicate(String),
    #[error("the socket \"{0}\" that the service manager passed is not a listening TCP socket: {1}")]
    Unusable(String, io::Error),
}

/// The passed sockets, each with the name of its listener.
#[derive(Debug, Default)]
pub struct ActivationSockets(Vec<(String, TcpListener)>);

impl ActivationSockets {
    /// Takes the sockets that the environment describes, and matches them to the listeners by name. If there
    /// is one socket and one listener, the name of the socket is ignored.
    pub fn from_env(listeners: &[&str]) -> Result<Self, ActivationError> {
        // Read before `ListenFd::from_env` removes the other variables.
        let names = std::env::var("LISTEN_FDNAMES").unwrap_or_default();
        let mut names = names.split(':');
        let mut descriptors = ListenFd::from_env();
        let mut sockets: Vec<(String, TcpListener)> = Vec::new();
        for index in 0..descriptors.len() {
            let passed_name = names.next().filter(|name| !name.is_empty()).unwrap_or(UNNAMED);
            let name = match listeners {
                [listener] if descriptors.len() == 1 => listener,
                _ => passed_name,
            };
            if !listeners.contains(&name) {
                return Err(ActivationError::UnknownName(name.to_owned()));
            }
            if sockets.iter().any(|(other, _)| other == name) {
                return Err(ActivationError::Duplicate(name.to_owned()));
            }
            let socket = descriptors.take_tcp_listener(index);
            let socket = socket.map_err(|error| ActivationError::Unusable(name.to_owned(), error))?;
            sockets.extend(socket.map(|socket| (name.to_owned(), socket)));
        }
        Ok(Self(sockets))
    }

    /// Removes and returns the socket for the listener with this name, if there is one.
    pub fn take(&mut self, listener: &str) -> Option<TcpListener> {
        let index = self.0.iter().position(|(name, _)| name == listener)?;
        Some(self.0.swap_remove(index).1)
    }
}
