//! Files and addresses that are unique to one test.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU32, Ordering};

/// Makes the names and addresses that this test process creates unique.
static NEXT_NUMBER: AtomicU32 = AtomicU32::new(0);

/// A temporary directory, removed when this is dropped.
pub struct TempDir(pub std::path::PathBuf);

impl TempDir {
    /// Creates an empty directory.
    pub fn new() -> Self {
        let number = NEXT_NUMBER.fetch_add(1, Ordering::SeqCst);
        let path = std::env::temp_dir().join(format!("cache-balancer-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        Self(path)
    }

    /// Writes a file in the directory and returns its path.
    pub fn write(&self, name: &str, text: &str) -> std::path::PathBuf {
        let path = self.0.join(name);
        std::fs::write(&path, text).unwrap();
        path
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Writes a configuration file under a unique name and returns its path.
pub fn write_config(text: &str) -> std::path::PathBuf {
    let number = NEXT_NUMBER.fetch_add(1, Ordering::SeqCst);
    let path = std::env::temp_dir().join(format!("cache-balancer-{}-{number}.json", std::process::id()));
    std::fs::write(&path, text).unwrap();
    path
}

/// Returns a loopback address that no other test uses, with a port on which nothing listens.
///
/// Binding a free port and releasing it again is not safe: a process that another test is just starting may
/// still hold the port, because file descriptors are inherited and closed only when the program begins. On
/// 127.0.0.1, a connection of another test may also use the port meanwhile.
pub fn unique_address() -> SocketAddr {
    let number = NEXT_NUMBER.fetch_add(1, Ordering::SeqCst) % 250;
    let [.., high, low] = std::process::id().to_be_bytes();
    (Ipv4Addr::new(127, 2 + number as u8, high, low.max(1)), 7070).into()
}
