//! The control thread: what the node learns from the platform and its peers,
//! published for the traffic threads.

use std::time::Duration;

use eyre::{Result, WrapErr};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;

use crate::gateway::Shared;
use crate::member::shell::{self, Event, Handle, Setup};

use crate::platform::http::Client;
use crate::platform::{Table as _, Vm};

/// How often the platform is asked.
const POLL: Duration = Duration::from_millis(500);
/// The row that holds the configuration in force.
pub const CONFIG_ROW: &str = "config/current";

/// What membership starts with.
pub struct Membership {
    /// Identity, seeds and counters.
    pub setup: Setup,
    /// The socket of the control address.
    pub socket: tokio::net::UdpSocket,
}

/// Starts the control services on this thread.
pub fn start(shared: &Shared, membership: Membership, client: Client) -> Handle {
    let me = &membership.setup.me;
    let vm = Vm {
        name: me.name.clone(),
        link: me.link.clone(),
        control: me.control.clone(),
        address: me.address.clone(),
        zone: me.zone.clone(),
        leaving: false,
    };
    actix_rt::spawn(register(client.clone(), vm));
    let (handle, events) = shell::start(membership.setup, membership.socket, client.clone());
    actix_rt::spawn(listen(events));
    actix_rt::spawn(follow_config(shared.clone(), client, handle.clone()));
    handle
}

/// Tells the stand-in platform that this VM runs; a real platform knows.
async fn register(client: Client, vm: Vm) {
    while client.register(vm.clone()).await.is_err() {
        actix_rt::time::sleep(POLL).await;
    }
}

async fn listen(mut events: mpsc::Receiver<Event>) {
    while events.recv().await.is_some() {}
}

async fn follow_config(shared: Shared, client: Client, handle: Handle) {
    loop {
        if let Ok(Some(row)) = client.get(CONFIG_ROW).await
            && row.version > shared.config.read().version
            && let Ok(mut document) = serde_json::from_slice::<crate::config::Document>(&row.value)
        {
            document.version = row.version;
            shared.config.publish(document);
            handle.in_force(row.version);
        }
        actix_rt::time::sleep(POLL).await;
    }
}

/// A number that tells this process from others of the same name: the wall
/// clock first, so that a later process usually has the higher one, then chance.
pub fn boot() -> u64 {
    (crate::clock::unix_millis() << 20) | (rand::random::<u64>() & 0xF_FFFF)
}

/// Waits until the process is told to stop.
///
/// # Errors
/// When signals can't be received.
pub async fn terminated() -> Result<()> {
    let mut terminate = signal(SignalKind::terminate()).wrap_err("can't wait for SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).wrap_err("can't wait for SIGINT")?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Registers membership's counters.
pub fn counts(metrics: &mut crate::metric::Metrics) -> shell::Counts {
    let counts = shell::Counts::default();
    metrics.extend(|registry| counts.register(registry));
    counts
}
