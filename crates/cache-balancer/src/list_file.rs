//! A pool's endpoint list in a file: read at start-up, and again whenever the file has changed.

use crate::config::operator::{list_text, read_list};
use crate::input::DriverInput;
use crate::log::log;
use std::path::PathBuf;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::spawn_blocking;
use tokio::time::sleep;

/// How often the file is read. Notifications by the kernel would be sooner, and would have to follow replaced files, moved
/// directories and links that change: reading a few kilobytes covers all of them.
const READ_INTERVAL: Duration = Duration::from_secs(1);

/// Sends the driver each list that the file holds, for as long as the driver lives. A file that cannot be used is logged, a
/// line for each error, and the list before it stays in use.
pub async fn watch(path: PathBuf, driver_inputs: UnboundedSender<DriverInput>) {
    let (mut version, mut last_read) = (0, None);
    loop {
        let file = path.clone();
        // Off the thread that serves requests: a network share that is away, or a pipe, may block the reader.
        let read = spawn_blocking(move || list_text(&file)).await;
        let Ok(text) = read.map(|read| read.map_err(|error| error.to_string())) else { return };
        // The text that is compared is the one that is parsed: the file may change at any moment.
        if last_read.as_ref() != Some(&text) {
            let list = text
                .as_ref()
                .map_err(Clone::clone)
                .and_then(|text| read_list(&path, text, version + 1).map_err(|error| error.to_string()));
            match list {
                Ok(list) => {
                    version += 1;
                    if driver_inputs.send(DriverInput::EndpointList(list)).is_err() {
                        return;
                    }
                }
                Err(error) => log_rejected(&error, version),
            }
            last_read = Some(text);
        }
        sleep(READ_INTERVAL).await;
    }
}

fn log_rejected(error: &str, version: u64) {
    log!("{error}");
    log!("list rejected; {}", if version == 0 { "there is none yet" } else { "the one before stays in use" });
}
