//! A pool's list in a file: read at the start, and again whenever it has changed.

use crate::config::operator::{load_servers, FileError};
use crate::input::Input;
use std::path::PathBuf;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::sleep;

/// The file is looked at so often. A watch by the kernel would be sooner, and would have to follow a file that is
/// replaced, a folder that is moved and a link that leads elsewhere: reading a few kilobytes does it all.
const LOOK: Duration = Duration::from_secs(1);

/// Hands the driver each list that the file has held, for as long as the driver lives. A file that is of no use is one
/// log line for each fault, and the list that was there goes on.
pub async fn watch(path: PathBuf, events: UnboundedSender<Input>) {
    let (mut seq, mut seen) = (0, None);
    loop {
        let now = std::fs::read(&path).ok();
        if seen.as_ref() != Some(&now) {
            seen = Some(now);
            match load_servers(&path, seq + 1) {
                Ok(listing) => {
                    seq += 1;
                    if events.send(Input::Listing(listing)).is_err() {
                        return;
                    }
                }
                Err(error) => log(&error, seq),
            }
        }
        sleep(LOOK).await;
    }
}

fn log(error: &FileError, seq: u64) {
    eprintln!("{error}");
    eprintln!("list not taken; {}", if seq == 0 { "there is none yet" } else { "the one before holds" });
}
