//! Building blocks of operator's files.

use super::cache_server::CacheServer;

/// A class `read` of safe requests, with a latency objective of 5 s and a deadline of 20 s.
pub const READ_CLASS: &str =
    "[[class]]\nname = \"read\"\neffect = \"safe\"\naim = \"5s\"\ndeadline = \"20s\"\n";

/// A listener `clients` on a free port of loopback.
pub const CLIENT_LISTENER: &str = "[[listener]]\nname = \"clients\"\naddress = \"127.0.0.1:0\"\n";

/// Returns the table of a server that belongs to the preceding pool.
pub fn server_table(name: &str, server: &CacheServer) -> String {
    format!("[[pool.server]]\nname = \"{name}\"\naddress = \"{}\"\n", server.address)
}
