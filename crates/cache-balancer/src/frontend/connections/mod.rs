//! The connections of clients: what phase each is in, how long it may stay in it, how many idle ones are
//! kept, and which one is closed when a further client waits.
//!
//! [`ConnectionTable`] has all connections, and closes them; a [`TrackedConnection`] is one of them while it
//! is served; its [`ClientStream`](stream::ClientStream) is the socket, which reports to the table what
//! passes on it.

mod framing;
mod state;
mod stream;
mod table;
mod tracked;

pub use table::ConnectionTable;
pub use tracked::TrackedConnection;

#[cfg(test)]
mod tests;
