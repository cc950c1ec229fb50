//! The socket where a successor requests a hand-over.

use rustix::process::geteuid;
use std::fs::{remove_file, rename, set_permissions, Permissions};
use std::future::pending;
use std::io;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use tokio::net::{UnixListener, UnixStream};

/// Listens at `path`, in place of any process that does. The new socket replaces that of the other process in one step.
pub(super) fn listen(path: &Path) -> io::Result<UnixListener> {
    let mut temporary = path.as_os_str().to_owned();
    temporary.push(format!(".{}", std::process::id()));
    // An earlier process of this number may have left one.
    let _ = remove_file(&temporary);
    let listener = UnixListener::bind(&temporary)?;
    // The process that gets the sockets gets the clients: no other user may request them.
    set_permissions(&temporary, Permissions::from_mode(0o600))?;
    rename(&temporary, path)?;
    Ok(listener)
}

/// Accepts the next connection; waits forever without a listener.
pub(super) async fn accept(listener: Option<&UnixListener>) -> io::Result<UnixStream> {
    match listener {
        Some(listener) => Ok(listener.accept().await?.0),
        None => pending().await,
    }
}

/// Whether the process at the other end runs as the user of this process.
pub(super) fn is_same_user(stream: &UnixStream) -> bool {
    stream.peer_cred().is_ok_and(|peer| peer.uid() == geteuid().as_raw())
}
