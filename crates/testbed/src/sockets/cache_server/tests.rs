use super::connection::MIN_IDLE_CHECK_INTERVAL;
use super::*;

use crate::script::Script;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::task::LocalSet;
use tokio::time::{sleep, timeout, Instant};

/// Far longer than anything here takes.
const PATIENCE: Duration = Duration::from_secs(30);

/// Runs tasks of one thread; one that would wait for good fails.
async fn in_a_set(test: impl std::future::Future<Output = ()>) {
    timeout(PATIENCE, LocalSet::new().run_until(test)).await.expect("waited in vain");
}

/// One cache server, in a context of its own, that closes idle connections soon.
async fn one(idle: Duration) -> Rc<Context> {
    let mut script = Script::default();
    script.server_kinds.truncate(1);
    (script.server_kinds[0].count, script.server_kinds[0].idle_timeout) = (1, Some(idle));
    let context = Rc::new(Context::new(script, "no node is started".into()).unwrap());
    start_all(&context).await.unwrap();
    context
}

fn address(context: &Context) -> SocketAddr {
    let state = context.state.borrow();
    state.servers[state.server_at[0]].address
}

#[tokio::test]
async fn an_idle_connection_is_closed_unless_it_was_forgotten() {
    in_a_set(async {
        let context = one(Duration::from_millis(20)).await;
        let mut idle = TcpStream::connect(address(&context)).await.unwrap();
        assert_eq!(idle.read(&mut [0; 1]).await.unwrap(), 0, "closed in order");
        let mut forgotten = TcpStream::connect(address(&context)).await.unwrap();
        // It is up at the server's end as well.
        while context.state.borrow().processes[0].connections == 0 {
            sleep(MIN_IDLE_CHECK_INTERVAL).await;
        }
        context.state.borrow().connections_forgotten_at[0].set(Some(Instant::now()));
        let mut other = TcpStream::connect(address(&context)).await.unwrap();
        let (mut a, mut b) = ([0; 1], [0; 1]);
        tokio::select! {
            read = forgotten.read(&mut a) => panic!("{read:?}"),
            closed = other.read(&mut b) => assert_eq!(closed.unwrap(), 0),
        }
    })
    .await;
}

#[tokio::test]
async fn a_successor_has_the_address_of_its_predecessor_and_another_name() {
    in_a_set(async {
        let context = one(Duration::from_secs(60)).await;
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
async fn an_address_that_is_taken_meanwhile_aborts_the_run_and_is_named() {
    in_a_set(async {
        let context = one(Duration::from_secs(60)).await;
        let address = address(&context);
        stop(&context, 0);
        // The process lets go of its address when it hears that it has ended.
        let _other = loop {
            match TcpListener::bind(address).await {
                Ok(listener) => break listener,
                Err(_) => tokio::task::yield_now().await,
            }
        };
        restart(&context, 0, true, true).await;
        context.aborted.notified().await;
        let failed = context.error.borrow().as_ref().map(ToString::to_string).unwrap();
        assert!(
            failed.starts_with(&format!("a cache server does not start again at {address}: ")),
            "{failed}"
        );
        assert!(context.state.borrow().processes.len() == 1);
    })
    .await;
}
