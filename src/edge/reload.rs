//! Settings that change while a node runs.

use std::path::PathBuf;
use std::time::Duration;

use tokio::signal::unix::Signal;
use tokio::time::sleep;

use crate::event;
use crate::platform::settings;
use crate::site::Site;

/// How often the settings file is looked at for changes without a signal.
const SETTINGS_POLL: Duration = Duration::from_secs(2);

/// Reads the settings again at SIGHUP and when the file changes. Nothing in it
/// may change while the process runs but its seeds, which only a start needs;
/// a file that is wrong is reported and changes nothing.
pub async fn watch(path: PathBuf, mut site: Site, mut hangup: Signal) {
    loop {
        let signalled = tokio::select! {
            _ = hangup.recv() => true,
            () = sleep(SETTINGS_POLL) => false,
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
