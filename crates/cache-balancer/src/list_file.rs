//! A pool's list in a file: read at the start, and again whenever it has changed.

use crate::config::operator::{list_text, read_list};
use crate::input::DriverInput;
use crate::log::log;
use std::path::PathBuf;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::spawn_blocking;
use tokio::time::sleep;

/// The file is looked at so often. A watch by the kernel would be sooner, and would have to follow a file that is
/// replaced, a folder that is moved and a link that leads elsewhere: reading a few kilobytes does it all.
const LOOK: Duration = Duration::from_secs(1);

/// Hands the driver each list that the file has held, for as long as the driver lives. A file that is of no use is one
/// log line for each fault, and the list that was there goes on.
pub async fn watch(path: PathBuf, events: UnboundedSender<DriverInput>) {
    let (mut seq, mut seen) = (0, None);
    loop {
        let file = path.clone();
        // Not on the one thread of all requests: a share that is away, or a pipe, may let the reader wait.
        let read = spawn_blocking(move || list_text(&file)).await;
        let Ok(text) = read.map(|read| read.map_err(|error| error.to_string())) else { return };
        // What was read is what is compared and what is taken: the file may change at any moment.
        if seen.as_ref() != Some(&text) {
            let list = text.as_ref().map_err(Clone::clone);
            match list.and_then(|text| read_list(&path, text, seq + 1).map_err(|error| error.to_string())) {
                Ok(listing) => {
                    seq += 1;
                    if events.send(DriverInput::EndpointList(listing)).is_err() {
                        return;
                    }
                }
                Err(error) => log(&error, seq),
            }
            seen = Some(text);
        }
        sleep(LOOK).await;
    }
}

fn log(error: &str, seq: u64) {
    log!("{error}");
    log!("list not taken; {}", if seq == 0 { "there is none yet" } else { "the one before holds" });
}
