//! Reads the endpoint list of a pool from a file, at start-up and whenever the file changes.

use crate::config::operator::{list_text, read_list, MAX_LIST_BYTES};
use crate::endpoint_list::RESERVED_PER_BYTE;
use crate::input::DriverInput;
use crate::log::log;
use crate::memory::{MemoryAccount, Reservation};
use balancer_core::memory_budget::MemoryUse;
use std::path::{Path, PathBuf};
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
pub async fn watch(path: PathBuf, memory: MemoryAccount, driver_inputs: UnboundedSender<DriverInput>) {
    let (mut version, mut last_read) = (0, None);
    loop {
        let (file, account) = (path.clone(), memory.clone());
        // Not on the thread that serves requests, because an unreachable network share or a pipe can block
        // the read.
        let read = spawn_blocking(move || read_text(&file, &account)).await;
        let Ok(read) = read else { return };
        // The memory is reserved until the list has been parsed.
        let (text, _memory) = match read {
            Ok((text, memory)) => (Ok(text), Some(memory)),
            Err(error) => (Err(error), None),
        };
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

/// Reads the text of the file, after reserving the memory for it and for the list.
fn read_text(path: &Path, account: &MemoryAccount) -> Result<(String, Reservation), String> {
    let length = std::fs::metadata(path).map_or(0, |metadata| metadata.len()).min(MAX_LIST_BYTES);
    let memory = account.reserve(MemoryUse::List, length as usize * RESERVED_PER_BYTE);
    let memory = memory.map_err(|error| format!("{}: the list does not fit: {error}", path.display()))?;
    let text = list_text(path).map_err(|error| error.to_string())?;
    Ok((text, memory))
}

fn log_rejected(error: &str, version: u64) {
    log!("{error}");
    log!(
        "list rejected; {}",
        if version == 0 { "no list has been loaded yet" } else { "the previous list stays in use" }
    );
}
