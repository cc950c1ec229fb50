//! Client connections: the phase of each, the timeouts of the phases, the limit on idle connections, and the
//! choice of a connection to close when a further client waits.
//!
//! [`ConnectionTable`] contains all connections and requests their close. [`TrackedConnection`] is an entry
//! of the table while the connection is served. [`ClientStream`](stream::ClientStream) wraps its socket and
//! updates its phase on reads and writes.

mod counts;
mod framing;
mod receiving;
mod state;
mod stream;
mod table;
mod tracked;

pub use counts::ConnectionCounts;
pub use table::ConnectionTable;
pub use tracked::TrackedConnection;

#[cfg(test)]
mod tests;
