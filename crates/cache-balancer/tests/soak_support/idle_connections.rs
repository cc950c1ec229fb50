//! Idle connections. On a third of them nothing was sent, on a third a request was answered, and on a third a
//! request was sent only in part.

use crate::common::{read_request, Client};
use std::net::SocketAddr;

/// Opens connections of all three kinds. They stay open until the returned clients are dropped.
pub fn open(address: SocketAddr, connections: usize) -> Vec<Client> {
    (0..connections).map(|number| connect(address, number)).collect()
}

fn connect(address: SocketAddr, number: usize) -> Client {
    let mut client = Client::connect(address);
    match number % 3 {
        0 => {}
        1 => drop(client.try_request("GET /healthz HTTP/1.1\r\nHost: s\r\n\r\n")),
        _ => client.send(&read_request("read", 1, 500)[..40]),
    }
    client
}
