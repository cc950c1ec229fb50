//! Reads the endpoint list of a pool from a file, at start-up and whenever the file changes.

use crate::config::operator::{list_text, read_list};
use crate::input::DriverInput;
use crate::log::log;
use std::path::PathBuf;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::spawn_blocking;
use tokio::time::sleep;

/// The interval at which the file is read. Kernel notifications would report changes sooner, but would have
/// to follow replaced files, moved directories and changed links. Reading a few kilobytes covers all these
/// cases.
const READ_INTERVAL: Duration = Duration::from_secs(1);

/// Sends each new list in the file to the driver until the driver stops. Errors in the file are logged, one
/// line each, and the previous list stays in use.
pub async fn watch(path: PathBuf, driver_inputs: UnboundedSender<DriverInput>) {
    let (mut version, mut last_read) = (0, None);
    loop {
        let file = path.clone();
        // Not on the thread that serves requests, because an unreachable network share or a pipe can block
        // the read.
        let read = spawn_blocking(move || list_text(&file)).await;
        let Ok(text) = read.map(|read| read.map_err(|error| error.to_string())) else { return };
        // The file can change at any moment, so the text that is compared must also be the one that is
        // parsed.
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
    log!(
        "list rejected; {}",
        if version == 0 { "no list has been loaded yet" } else { "the previous list stays in use" }
    );
}
