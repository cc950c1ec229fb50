//! A cache server to which connections come up only when a test allows it.
#![allow(dead_code, reason = "each test file compiles this module for itself and uses a part of it")]

use crate::common::*;
use socket2::{Domain, SockAddr, Socket, Type};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

/// A cache server to which no connection comes up for now: its accept queue is full, so the system drops further SYN packets,
/// which clients send again after a second.
pub struct Unreachable {
    listener: TcpListener,
    pub address: SocketAddr,
    fillers: Vec<Socket>,
}

impl Unreachable {
    pub fn start() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&own_address().into()).unwrap();
        socket.listen(0).unwrap();
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().unwrap();
        let mut fillers = Vec::new();
        loop {
            let filler = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
            let full = filler.connect_timeout(&SockAddr::from(address), Duration::from_millis(300)).is_err();
            if full {
                return Self { listener, address, fillers };
            }
            fillers.push(filler);
        }
    }

    /// The number of connections that are being opened to it, as the system reports.
    pub fn connecting(&self) -> usize {
        let SocketAddr::V4(address) = self.address else { unreachable!() };
        let remote = format!("{:08X}:{:04X}", u32::from_ne_bytes(address.ip().octets()), address.port());
        let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
        // The third column is the remote address, the fourth the state; 02 is SYN_SENT.
        let is_connecting = |line: &&str| {
            let columns: Vec<_> = line.split_whitespace().collect();
            columns.get(2) == Some(&remote.as_str()) && columns.get(3) == Some(&"02")
        };
        table.lines().filter(is_connecting).count()
    }

    /// Lets all connections come up and returns the first that is not one of its own. None is accepted after that.
    pub fn admit(self) -> TcpStream {
        let own = self.own();
        loop {
            let (stream, from) = self.listener.accept().unwrap();
            if !own.contains(&from) {
                stream.set_read_timeout(Some(PATIENCE)).unwrap();
                return stream;
            }
        }
    }

    /// Lets all connections come up, and answers each request on them with this body.
    pub fn serve(self, body: &'static str) {
        let own = self.own();
        thread::spawn(move || {
            for stream in self.listener.incoming().map_while(Result::ok) {
                if own.contains(&stream.peer_addr().unwrap()) {
                    continue;
                }
                thread::spawn(move || {
                    let mut reader = BufReader::new(stream.try_clone().unwrap());
                    let mut stream = stream;
                    while let Ok(Some(_)) = Message::read(&mut reader) {
                        if stream.write_all(answer("200 OK", "", body).as_bytes()).is_err() {
                            return;
                        }
                    }
                });
            }
        });
    }

    /// The local addresses of the connections that fill its queue.
    fn own(&self) -> Vec<SocketAddr> {
        self.fillers.iter().map(|filler| filler.local_addr().unwrap().as_socket().unwrap()).collect()
    }
}
