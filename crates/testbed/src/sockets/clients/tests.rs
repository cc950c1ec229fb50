use super::*;
use crate::script::Script;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpListener;
use tokio::task::LocalSet;

/// Timeout of the client.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(20);
/// Delay before the request is sent.
const SEND_DELAY: Duration = Duration::from_millis(200);
const DEADLINE_HEADER: &str = "req-deadline-ms: ";

/// Returns a request of operation 0 whose client waits for `client_timeout` from now.
fn request_to(node: &TcpListener, context: &Context, client_timeout: Duration) -> OutgoingRequest {
    context.record(Observation::OperationStarted { operation: 0, at: context.now(), class: 0 });
    let address = node.local_addr().expect("its address");
    OutgoingRequest { request: 0, operation: 0, node: 0, address, expires_at: context.now() + client_timeout }
}

fn context() -> Context {
    Context::new(Script::default(), "unused: no node is started".into()).expect("a folder")
}

/// Reads the head of a request and rejects it with status 503. Returns the time in its deadline header.
async fn reject_one(node: &TcpListener) -> Duration {
    let (mut stream, _) = node.accept().await.expect("a connection");
    let mut lines = BufReader::new(&mut stream).lines();
    let mut time_left = None;
    while let Some(line) = lines.next_line().await.expect("a head").filter(|line| !line.is_empty()) {
        time_left =
            line.strip_prefix(DEADLINE_HEADER).map(|ms| ms.parse().expect("milliseconds")).or(time_left);
    }
    stream
        .write_all(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
        .await
        .expect("an answer");
    Duration::from_millis(time_left.expect("a deadline header"))
}

/// Guards against a deadline header with the full client timeout although a part of it had passed before the
/// send. The node then had less time than the header said.
#[tokio::test]
async fn the_deadline_header_holds_the_time_left_at_the_send() {
    let node = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let (context, pool) = (context(), Pool::default());
    let request = request_to(&node, &context, CLIENT_TIMEOUT);
    std::thread::sleep(SEND_DELAY);
    let both = async { tokio::join!(exchange(&context, &pool, request), reject_one(&node)) };
    let (answer, time_left) = LocalSet::new().run_until(both).await;
    assert_eq!(answer.map(|answer| answer.answer), Some(FinalAnswer::Rejected));
    assert!(time_left <= CLIENT_TIMEOUT - SEND_DELAY, "{time_left:?}");
}

/// Guards against a request that is sent after its client's timeout, for which the judge blames the node with
/// a late answer.
#[tokio::test]
async fn a_request_is_not_sent_after_the_client_timeout() {
    let node = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let (context, pool) = (context(), Pool::default());
    let request = request_to(&node, &context, Duration::ZERO);
    std::thread::sleep(Duration::from_millis(1));
    let answer = tokio::select! {
        answer = async { LocalSet::new().run_until(exchange(&context, &pool, request)).await } => answer,
        time_left = reject_one(&node) => panic!("sent with {time_left:?} left"),
    };
    assert!(answer.is_none());
    let verdict = context.judge.replace(crate::judge::Judge::new(&context.script)).verdict();
    assert_eq!((verdict.accepted, verdict.violation_counts), (0, [0; 4]));
}
