use super::*;
use crate::script::Script;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpListener;
use tokio::task::LocalSet;

/// The time that the client of a request has.
const CLIENT_TIME: Duration = Duration::from_secs(20);
/// What of it is gone before the request can be sent.
const HELD_UP: Duration = Duration::from_millis(200);
const DEADLINE_HEADER: &str = "req-deadline-ms: ";

/// A request of operation 0 whose client has this time from now.
fn request_to(node: &TcpListener, context: &Context, time: Duration) -> OutgoingRequest {
    context.record(Observation::OperationStarted { operation: 0, at: context.now(), class: 0 });
    let address = node.local_addr().expect("its address");
    OutgoingRequest { request: 0, operation: 0, node: 0, address, expires_at: context.now() + time }
}

fn context() -> Context {
    Context::new(Script::default(), "no node is started".into()).expect("a folder")
}

/// Reads the head of a request, and answers that it is refused. Returns the time that the client told.
async fn refuse_one(node: &TcpListener) -> Duration {
    let (mut stream, _) = node.accept().await.expect("a connection");
    let mut lines = BufReader::new(&mut stream).lines();
    let mut told = None;
    while let Some(line) = lines.next_line().await.expect("a head").filter(|line| !line.is_empty()) {
        told = line.strip_prefix(DEADLINE_HEADER).map(|ms| ms.parse().expect("milliseconds")).or(told);
    }
    stream
        .write_all(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
        .await
        .expect("an answer");
    Duration::from_millis(told.expect("a time"))
}

/// The time that a client told was that of its start: the node was held to less than it had been told.
#[tokio::test]
async fn a_client_tells_what_is_left_of_its_time_when_it_sends() {
    let node = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let (context, pool) = (context(), Pool::default());
    let request = request_to(&node, &context, CLIENT_TIME);
    std::thread::sleep(HELD_UP);
    let both = async { tokio::join!(exchange(&context, &pool, request), refuse_one(&node)) };
    let (answer, told) = LocalSet::new().run_until(both).await;
    assert_eq!(answer.map(|answer| answer.answer), Some(FinalAnswer::Rejected));
    assert!(told <= CLIENT_TIME - HELD_UP, "{told:?}");
}

/// A request was sent after its client had given up, and the node's answer to it was judged late.
#[tokio::test]
async fn a_client_that_has_given_up_sends_nothing() {
    let node = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let (context, pool) = (context(), Pool::default());
    let request = request_to(&node, &context, Duration::ZERO);
    std::thread::sleep(Duration::from_millis(1));
    let answer = tokio::select! {
        answer = async { LocalSet::new().run_until(exchange(&context, &pool, request)).await } => answer,
        told = refuse_one(&node) => panic!("sent with {told:?} left"),
    };
    assert!(answer.is_none());
    let verdict = context.judge.replace(crate::judge::Judge::new(&context.script)).verdict();
    assert_eq!((verdict.accepted, verdict.violation_counts), (0, [0; 4]));
}
