use super::framing::RequestFraming;
use super::state::{ConnectionState, Phase, RESPONSE_DELIVERY};
use super::{ConnectionTable, TrackedConnection};
use crate::shutdown_phase::ShutdownPhase;
use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;

fn max_idle(descriptors: usize, in_use: usize) -> usize {
    ConnectionTable::new(descriptors, (descriptors - 24) / 2).max_idle(in_use)
}

/// A limit that suits one size of node would close the connections of a larger one, or fill a smaller one: it
/// follows the descriptors and what is in use.
#[test]
fn half_of_the_free_capacity_may_be_idle() {
    assert_eq!([0, 21, 85, 1000].map(|n| max_idle(256, n)), [42, 32, 0, 0]);
    assert_eq!([0, 845, 21_845].map(|n| max_idle(65_536, n)), [10_922, 10_500, 0]);
    // So few descriptors that the node's own part, not the clients', is the smaller.
    assert_eq!([0, 4].map(|n| max_idle(40, n)), [4, 2]);
}

/// A client's end of a connection, and the connection in this table.
fn connect(table: &Rc<ConnectionTable>) -> (std::net::TcpStream, TrackedConnection) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a listener");
    let client = std::net::TcpStream::connect(listener.local_addr().expect("its address")).expect("a client");
    let (socket, _) = listener.accept().expect("its other end");
    socket.set_nonblocking(true).expect("a socket for the runtime");
    let socket = TcpStream::from_std(socket).expect("a socket of the runtime");
    (client, TrackedConnection::new(table.clone(), socket))
}

fn table() -> Rc<ConnectionTable> {
    Rc::new(ConnectionTable::new(256, 116))
}

/// A next request that is handed to hyper too early hides in its buffer, and is lost when the connection
/// closes.
#[test]
fn a_request_ends_where_its_head_and_body_do_however_the_bytes_come() {
    let heads =
        ["GET / HTTP/1.1\r\nA: b\r\n\r\n", "GET / HTTP/1.1\nA: b\n\n", "\r\n\r\nGET / HTTP/1.1\r\n\r\n"];
    for head in heads {
        let text = format!("{head}bodyGET /next");
        for cut in 1..text.len() {
            let (framing, mut read, mut from) = (RequestFraming::default(), 0, 0);
            for piece in [&text[..cut], &text[cut..]] {
                let mut piece = piece.as_bytes();
                while !piece.is_empty() && read < head.len() + 4 {
                    let taken = framing.measure(piece);
                    (read, piece) = (read + taken, &piece[taken..]);
                    if read == head.len() && from == 0 {
                        from = read;
                        framing.head_read(4);
                    }
                }
            }
            assert_eq!((from, read), (head.len(), head.len() + 4), "{head:?} cut at {cut}");
        }
    }
}

/// A connection that responds to every request at once, as the frontend does, with a way to set its shutdown phase.
struct ServedConnection {
    client: std::net::TcpStream,
    state: Rc<ConnectionState>,
    requests: Rc<Cell<usize>>,
    shutdown_phase: watch::Sender<ShutdownPhase>,
    ended: tokio::task::JoinHandle<()>,
}

/// Far longer than anything here takes: a wait that reaches it has failed.
const WAIT_LIMIT: Duration = Duration::from_secs(20);
const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nHost: s\r\n\r\n";

impl ServedConnection {
    fn start() -> Self {
        let (client, connection) = connect(&table());
        let (shutdown_phase, watched) = watch::channel(ShutdownPhase::Serving);
        let (state, requests) = (connection.state.clone(), Rc::new(Cell::new(0)));
        let count = requests.clone();
        let ended = tokio::task::spawn_local(async move {
            let (connection, count, watched) = (&connection, &count, &watched);
            let service = hyper::service::service_fn(|_| {
                connection.head_read(0);
                async move {
                    connection.request_read();
                    count.set(count.get() + 1);
                    let mut response = hyper::Response::new(http_body_util::Empty::<bytes::Bytes>::new());
                    if *watched.borrow() == ShutdownPhase::Closing {
                        response
                            .headers_mut()
                            .insert("connection", hyper::http::HeaderValue::from_static("close"));
                    }
                    connection.response_ready();
                    Ok::<_, std::convert::Infallible>(response)
                }
            });
            let serving =
                hyper::server::conn::http1::Builder::new().serve_connection(connection.stream(), service);
            connection.drive(serving, |serving| serving.graceful_shutdown(), watched.clone()).await;
        });
        Self { client, state, requests, shutdown_phase, ended }
    }

    /// Waits until the connection has had this number of requests and is in this phase.
    async fn reach(&self, requests: usize, phase: Phase) {
        let reached = async {
            while (self.requests.get(), self.state.phase()) != (requests, phase) {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        };
        let waited = tokio::time::timeout(WAIT_LIMIT, reached).await;
        assert!(
            waited.is_ok(),
            "{requests}, {phase:?} in vain: {}, {:?}",
            self.requests.get(),
            self.state.phase()
        );
    }

    fn send(&self, bytes: &[u8]) {
        io::Write::write_all(&mut &self.client, bytes).expect("a socket that takes it");
    }

    /// The number of responses that the client reads until the node closes its side.
    async fn responses(self) -> usize {
        let client = self.client;
        client.set_read_timeout(Some(WAIT_LIMIT)).expect("a time limit");
        let read = tokio::task::spawn_blocking(move || {
            let mut read = String::new();
            io::Read::read_to_string(&mut &client, &mut read).map(|_| read.matches("HTTP/1.1 200").count())
        });
        let responses = read.await.expect("a reader").expect("an end, and no reset");
        self.ended.await.expect("the connection's end");
        responses
    }
}

/// A request was lost when it arrived in the very moment in which its idle connection was closed: it stood in
/// the socket, and the runtime had not polled for it yet. The client saw a reset. A close that does not ask
/// the socket brings it back.
#[tokio::test]
async fn a_request_that_crosses_the_close_of_an_idle_connection_is_served() {
    let all = async {
        // At the node's end, with its request whole in the socket, half of it there, and half of it read.
        for (ahead, read_ahead) in [(REQUEST.len(), false), (7, false), (7, true)] {
            let served = ServedConnection::start();
            served.send(REQUEST);
            served.reach(1, Phase::Idle).await;
            served.send(&REQUEST[..ahead]);
            if read_ahead {
                served.reach(1, Phase::ReadingRequest).await;
            }
            served.shutdown_phase.send_replace(ShutdownPhase::Closing);
            tokio::task::yield_now().await;
            served.send(&REQUEST[ahead..]);
            assert_eq!(served.responses().await, 2, "{ahead} bytes, read {read_ahead}");
        }
        // Ended for want of room, or for its age.
        let served = ServedConnection::start();
        served.send(REQUEST);
        served.reach(1, Phase::Idle).await;
        served.state.ask_to_close();
        served.send(REQUEST);
        served.reach(2, Phase::Idle).await;
        assert!(!served.state.is_closing() && served.state.usage.idle.borrow().len() == 1);
        served.state.ask_to_close();
        assert_eq!(served.responses().await, 2);
    };
    tokio::task::LocalSet::new().run_until(all).await;
}

/// The first request of a connection that the node has just accepted is on its way, however little there is
/// of it yet: closed at once as the node shut down, its client would see a reset.
#[tokio::test]
async fn a_connection_accepted_at_shutdown_gets_time_for_its_first_request() {
    let all = async {
        let served = ServedConnection::start();
        served.shutdown_phase.send_replace(ShutdownPhase::Closing);
        tokio::task::yield_now().await;
        served.send(REQUEST);
        assert_eq!(served.responses().await, 1);
        // And no more than that where nothing comes.
        let silent = ServedConnection::start();
        silent.shutdown_phase.send_replace(ShutdownPhase::Closing);
        assert_eq!(silent.responses().await, 0);
    };
    tokio::task::LocalSet::new().run_until(all).await;
}

/// Connections whose clients kept them open and sent nothing held the node up for a second after its close, past the
/// platform's earliest kill.
#[tokio::test]
async fn a_connection_without_a_response_on_its_way_ends_though_its_client_holds_it() {
    let all = async {
        for requests in [0, 1] {
            let served = ServedConnection::start();
            if requests > 0 {
                served.send(REQUEST);
                served.reach(requests, Phase::Idle).await;
                tokio::time::sleep(RESPONSE_DELIVERY).await;
            }
            served.shutdown_phase.send_replace(ShutdownPhase::Closing);
            let ended = tokio::time::timeout(WAIT_LIMIT, served.ended).await;
            assert!(ended.is_ok(), "{requests} requests");
            drop(served.client);
        }
        // A response that was written just now may not have been read: its connection is read on.
        let recent = ServedConnection::start();
        recent.send(REQUEST);
        recent.reach(1, Phase::Idle).await;
        recent.shutdown_phase.send_replace(ShutdownPhase::Closing);
        recent.reach(1, Phase::Lingering).await;
        assert_eq!(recent.responses().await, 1);
    };
    tokio::task::LocalSet::new().run_until(all).await;
}

/// A full table evicted a connection on which a request had just arrived, and its client saw a reset.
#[tokio::test]
async fn room_is_made_by_a_connection_on_which_no_request_has_arrived() {
    let table = table();
    let connected = [connect(&table), connect(&table)];
    connected.iter().for_each(|(_, connection)| connection.state.enter(Phase::Idle));
    io::Write::write_all(&mut &connected[0].0, REQUEST).expect("a socket that takes it");
    assert!(table.evict_one());
    assert_eq!([0, 1].map(|i: usize| connected[i].1.state.is_closing()), [false, true]);
    assert!(!table.evict_one());
}
