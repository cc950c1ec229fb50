//! Unix socket on which successors request a hand-over.

use rustix::process::geteuid;
use std::fs::{remove_file, rename, set_permissions, Permissions};
use std::future::pending;
use std::io;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use tokio::net::{UnixListener, UnixStream};

/// Listens at `path`. If another process already listens there, its socket is replaced atomically.
pub(super) fn listen(path: &Path) -> io::Result<UnixListener> {
    let mut temporary = path.as_os_str().to_owned();
    temporary.push(format!(".{}", std::process::id()));
    // An earlier process with the same PID may have left its temporary socket.
    let _ = remove_file(&temporary);
    let listener = UnixListener::bind(&temporary)?;
    // A process that obtains the listening sockets receives the client connections, so other users must not
    // be able to request them.
    set_permissions(&temporary, Permissions::from_mode(0o600))?;
    rename(&temporary, path)?;
    Ok(listener)
}

/// Accepts the next connection; waits forever if there is no listener.
pub(super) async fn accept(listener: Option<&UnixListener>) -> io::Result<UnixStream> {
    match listener {
        Some(listener) => Ok(listener.accept().await?.0),
        None => pending().await,
    }
}

/// Returns whether the process at the other end runs as the same user as this one.
pub(super) fn is_same_user(stream: &UnixStream) -> bool {
    stream.peer_cred().is_ok_and(|peer| peer.uid() == geteuid().as_raw())
}
