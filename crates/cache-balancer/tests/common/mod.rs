//! Test fixtures on loopback: node processes, and stand-ins for cache servers, discovery, clients and the
//! service manager.

#![allow(
    dead_code,
    unused_imports,
    reason = "each test file compiles this module separately and uses a part of it"
)]

mod cache_server;
mod client;
mod discovery;
mod files;
mod http;
mod manager;
mod node;
mod operator_file;
mod program;
mod wait;

pub use cache_server::*;
pub use client::*;
pub use discovery::*;
pub use files::*;
pub use http::*;
pub use manager::*;
pub use node::*;
pub use operator_file::*;
pub use program::*;
pub use wait::*;
