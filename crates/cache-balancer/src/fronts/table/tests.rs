use super::*;

fn worth_keeping(descriptors: usize, in_use: usize) -> usize {
    Table::new(descriptors, (descriptors - 24) / 2).worth_keeping(in_use)
}

// Guards against a bound that suits one size of node: it follows the descriptors and what is in use.
#[test]
fn half_of_the_free_places_may_lie_idle() {
    assert_eq!([0, 21, 85, 1000].map(|n| worth_keeping(256, n)), [42, 32, 0, 0]);
    assert_eq!([0, 845, 21_845].map(|n| worth_keeping(65_536, n)), [10_922, 10_500, 0]);
    // So few descriptors that the node's own share, not the clients', is the smaller.
    assert_eq!([0, 4].map(|n| worth_keeping(40, n)), [4, 2]);
}

/// A client's end of a connection, and its place in a table of its own.
fn connected() -> (std::net::TcpStream, Place) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a listener");
    let client = std::net::TcpStream::connect(listener.local_addr().expect("its address")).expect("a client");
    let (socket, _) = listener.accept().expect("its other end");
    socket.set_nonblocking(true).expect("a socket for the runtime");
    let socket = TcpStream::from_std(socket).expect("a socket of the runtime");
    (client, Place::new(Rc::new(Table::new(256, 116)), socket))
}

// Guards against a next request that hides in hyper's buffer when the connection closes.
#[tokio::test]
async fn a_request_ends_where_its_head_and_body_do_however_the_bytes_come() {
    let (_client, place) = connected();
    let fresh = || {
        place.state.body.set(None);
        place.state.line.set(Line::None);
        place.state.clone()
    };
    let heads =
        ["GET / HTTP/1.1\r\nA: b\r\n\r\n", "GET / HTTP/1.1\nA: b\n\n", "\r\n\r\nGET / HTTP/1.1\r\n\r\n"];
    for head in heads {
        let text = format!("{head}bodyGET /next");
        for cut in 1..text.len() {
            let (state, mut read, mut from) = (fresh(), 0, 0);
            for piece in [&text[..cut], &text[cut..]] {
                let mut piece = piece.as_bytes();
                while !piece.is_empty() && read < head.len() + 4 {
                    let taken = state.measure(piece);
                    (read, piece) = (read + taken, &piece[taken..]);
                    if read == head.len() && from == 0 {
                        from = read;
                        state.body.set(Some(4));
                    }
                }
            }
            assert_eq!((from, read), (head.len(), head.len() + 4), "{head:?} cut at {cut}");
        }
    }
}

/// A connection that answers every request at once, as the front does, with a way to its stage.
struct Served {
    client: std::net::TcpStream,
    state: Rc<State>,
    asked: Rc<Cell<usize>>,
    stage: watch::Sender<ShutdownPhase>,
    ended: tokio::task::JoinHandle<()>,
}

/// Far longer than anything here takes: a wait that reaches it has failed.
const PATIENCE: Duration = Duration::from_secs(20);
const ASKS: &[u8] = b"GET / HTTP/1.1\r\nHost: s\r\n\r\n";

impl Served {
    fn start() -> Self {
        let (client, place) = connected();
        let (stage, watched) = watch::channel(ShutdownPhase::Serving);
        let (state, asked) = (place.state.clone(), Rc::new(Cell::new(0)));
        let count = asked.clone();
        let ended = tokio::task::spawn_local(async move {
            let (place, count, watched) = (&place, &count, &watched);
            let service = hyper::service::service_fn(|_| {
                place.asked(0);
                async move {
                    place.opened();
                    count.set(count.get() + 1);
                    let mut answer = hyper::Response::new(http_body_util::Empty::<bytes::Bytes>::new());
                    if *watched.borrow() == ShutdownPhase::Closing {
                        answer
                            .headers_mut()
                            .insert("connection", hyper::http::HeaderValue::from_static("close"));
                    }
                    place.answered();
                    Ok::<_, std::convert::Infallible>(answer)
                }
            });
            let serving = hyper::server::conn::http1::Builder::new().serve_connection(place.watch(), service);
            place.drive(serving, |serving| serving.graceful_shutdown(), watched.clone()).await;
        });
        Self { client, state, asked, stage, ended }
    }

    /// Waits until the connection has had so many requests and is at this.
    async fn reach(&self, asked: usize, phase: Phase) {
        let reached = async {
            while (self.asked.get(), self.state.phase.get()) != (asked, phase) {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        };
        let waited = tokio::time::timeout(PATIENCE, reached).await;
        assert!(
            waited.is_ok(),
            "{asked}, {phase:?} in vain: {}, {:?}",
            self.asked.get(),
            self.state.phase.get()
        );
    }

    fn send(&self, bytes: &[u8]) {
        io::Write::write_all(&mut &self.client, bytes).expect("a socket that takes it");
    }

    /// What the client read until the node closed its side: the number of answers.
    async fn answers(self) -> usize {
        let client = self.client;
        client.set_read_timeout(Some(PATIENCE)).expect("a time limit");
        let read = tokio::task::spawn_blocking(move || {
            let mut read = String::new();
            io::Read::read_to_string(&mut &client, &mut read).map(|_| read.matches("HTTP/1.1 200").count())
        });
        let answers = read.await.expect("a reader").expect("an end, and no reset");
        self.ended.await.expect("the connection's end");
        answers
    }
}

// Guards against a request that is lost because it comes in the very moment in which its resting connection is closed: it
// stands in the socket, and the runtime has not polled for it yet.
#[tokio::test]
async fn a_request_that_crosses_the_close_of_a_resting_connection_is_answered() {
    let all = async {
        // At the node's end, with its request whole in the socket, half of it there, and half of it read.
        for (ahead, read_ahead) in [(ASKS.len(), false), (7, false), (7, true)] {
            let served = Served::start();
            served.send(ASKS);
            served.reach(1, Phase::Idle).await;
            served.send(&ASKS[..ahead]);
            if read_ahead {
                served.reach(1, Phase::Asking).await;
            }
            served.stage.send_replace(ShutdownPhase::Closing);
            tokio::task::yield_now().await;
            served.send(&ASKS[ahead..]);
            assert_eq!(served.answers().await, 2, "{ahead} bytes, read {read_ahead}");
        }
        // Ended for want of room, or for its age.
        let served = Served::start();
        served.send(ASKS);
        served.reach(1, Phase::Idle).await;
        served.state.end();
        served.send(ASKS);
        served.reach(2, Phase::Idle).await;
        assert!(!served.state.leaving.get() && served.state.tally.idle.borrow().len() == 1);
        served.state.end();
        assert_eq!(served.answers().await, 2);
    };
    tokio::task::LocalSet::new().run_until(all).await;
}

// The first request of a connection that the node has just accepted is on its way, however little there is of it yet.
#[tokio::test]
async fn a_connection_accepted_as_the_node_ends_is_given_time_for_its_first_request() {
    let all = async {
        let served = Served::start();
        served.stage.send_replace(ShutdownPhase::Closing);
        tokio::task::yield_now().await;
        served.send(ASKS);
        assert_eq!(served.answers().await, 1);
        // And no more than that where nothing comes.
        let silent = Served::start();
        silent.stage.send_replace(ShutdownPhase::Closing);
        assert_eq!(silent.answers().await, 0);
    };
    tokio::task::LocalSet::new().run_until(all).await;
}

// A table that is full ends no connection that a request has just met.
#[tokio::test]
async fn room_is_made_by_a_connection_that_no_request_has_met() {
    let table = Rc::new(Table::new(256, 116));
    let (mut places, mut clients) = (Vec::new(), Vec::new());
    for _ in 0..2 {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a listener");
        clients.push(
            std::net::TcpStream::connect(listener.local_addr().expect("its address")).expect("a client"),
        );
        let (socket, _) = listener.accept().expect("its other end");
        socket.set_nonblocking(true).expect("a socket for the runtime");
        let place = Place::new(table.clone(), TcpStream::from_std(socket).expect("a socket of the runtime"));
        place.state.enter(Phase::Idle);
        places.push(place);
    }
    io::Write::write_all(&mut &clients[0], ASKS).expect("a socket that takes it");
    assert!(table.make_room());
    assert_eq!([&places[0], &places[1]].map(|place| place.state.leaving.get()), [false, true]);
    assert!(!table.make_room());
}
