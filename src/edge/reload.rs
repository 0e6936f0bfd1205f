//! Detects changes of the settings file while a node runs.

use std::path::PathBuf;
use std::time::Duration;

use tokio::signal::unix::Signal;
use tokio::time::sleep;

use crate::event;
use crate::platform::settings;
use crate::site::Site;

/// Interval at which the settings file is checked for changes without a SIGHUP.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Reads the settings again on SIGHUP and when the file changes. No setting may
/// change while the process runs except the seeds, which are used only at start-up. An invalid
/// file is logged and has no effect.
pub async fn watch(path: PathBuf, mut site: Site, mut hangup: Signal) {
    loop {
        let signalled = tokio::select! {
            _ = hangup.recv() => true,
            () = sleep(POLL_INTERVAL) => false,
        };
        match settings::read(&path) {
            Ok(new) if new != site => {
                log::info!(
                    "{} signal={signalled} changed=true",
                    event::SETTINGS_RELOADED
                );
                site = new;
            }
            Ok(_) if signalled => {
                log::info!("{} signal=true changed=false", event::SETTINGS_RELOADED);
            }
            Ok(_) => {}
            Err(error) => {
                log::warn!("{} failed=true why=\"{error:#}\"", event::SETTINGS_RELOADED);
            }
        }
    }
}
