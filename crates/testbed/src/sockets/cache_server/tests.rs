use super::connection::MIN_IDLE_CHECK_INTERVAL;
use super::*;

use crate::script::Script;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::task::LocalSet;
use tokio::time::{sleep, timeout, Instant};

/// Far longer than any of these tests takes.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Runs a test with local tasks. A test that hangs fails after [`TEST_TIMEOUT`].
async fn run_local(test: impl std::future::Future<Output = ()>) {
    timeout(TEST_TIMEOUT, LocalSet::new().run_until(test)).await.expect("the test did not end in time");
}

/// Starts a single cache server that closes connections that are idle for `idle_timeout`.
async fn start_one_server(idle_timeout: Duration) -> Rc<Context> {
    let mut script = Script::default();
    script.server_kinds.truncate(1);
    (script.server_kinds[0].count, script.server_kinds[0].idle_timeout) = (1, Some(idle_timeout));
    let context = Rc::new(Context::new(script, "unused: no node is started".into()).unwrap());
    start_all(&context).await.unwrap();
    context
}

fn address(context: &Context) -> SocketAddr {
    let state = context.state.borrow();
    state.servers[state.server_at[0]].address
}

#[tokio::test]
async fn an_idle_connection_is_closed_unless_it_is_half_open() {
    run_local(async {
        let context = start_one_server(Duration::from_millis(20)).await;
        let mut idle = TcpStream::connect(address(&context)).await.unwrap();
        assert_eq!(idle.read(&mut [0; 1]).await.unwrap(), 0, "closed without a reset");
        let mut half_open = TcpStream::connect(address(&context)).await.unwrap();
        // Waits until the server has accepted the connection.
        while context.state.borrow().processes[0].connections == 0 {
            sleep(MIN_IDLE_CHECK_INTERVAL).await;
        }
        context.state.borrow().connection_state_lost_at[0].set(Some(Instant::now()));
        let mut other = TcpStream::connect(address(&context)).await.unwrap();
        let (mut from_half_open, mut from_other) = ([0; 1], [0; 1]);
        tokio::select! {
            read = half_open.read(&mut from_half_open) => panic!("{read:?}"),
            closed = other.read(&mut from_other) => assert_eq!(closed.unwrap(), 0),
        }
    })
    .await;
}

#[tokio::test]
async fn a_restart_under_a_new_id_can_keep_the_address() {
    run_local(async {
        let context = start_one_server(Duration::from_secs(60)).await;
        let before = address(&context);
        stop(&context, 0);
        restart(&context, 0, false, true).await;
        assert_eq!(address(&context), before);
        let state = context.state.borrow();
        let names: Vec<_> = state.servers.iter().map(|server| server.name.as_str()).collect();
        assert_eq!(names, ["fast-box-0", "fast-box-0.1"]);
        assert!(state.processes[1].alive && context.error.borrow().is_none());
    })
    .await;
}

#[tokio::test]
async fn a_restart_at_an_occupied_address_aborts_the_run_with_an_error_that_names_it() {
    run_local(async {
        let context = start_one_server(Duration::from_secs(60)).await;
        let address = address(&context);
        stop(&context, 0);
        // The address becomes free when the accepting task is notified that the process has ended.
        let _other = loop {
            match TcpListener::bind(address).await {
                Ok(listener) => break listener,
                Err(_) => tokio::task::yield_now().await,
            }
        };
        restart(&context, 0, true, true).await;
        context.aborted.notified().await;
        let error = context.error.borrow().as_ref().map(ToString::to_string).unwrap();
        assert!(error.starts_with(&format!("a cache server does not start again at {address}: ")), "{error}");
        assert!(context.state.borrow().processes.len() == 1);
    })
    .await;
}
