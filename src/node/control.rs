//! The control thread: what the node learns from the platform and its peers,
//! published for the traffic threads.

use std::time::Duration;

use eyre::{Result, WrapErr};
use tokio::signal::unix::{SignalKind, signal};

use crate::gateway::Shared;
use crate::member::{Member, State, View};
use crate::platform::http::Client;
use crate::platform::{Roster as _, Table as _, Vm};

/// How often the platform is asked.
const POLL: Duration = Duration::from_millis(500);
/// The row that holds the configuration in force.
pub const CONFIG_ROW: &str = "config/current";

/// Starts the control services on this thread.
pub fn start(shared: &Shared, own: Member, client: Client) {
    let shared = shared.clone();
    actix_rt::spawn(async move {
        let vm = Vm {
            name: own.name.clone(),
            link: own.link.clone(),
            control: own.control.clone(),
            address: own.address.clone(),
            zone: own.zone.clone(),
            leaving: false,
        };
        let mut registered = false;
        loop {
            if !registered {
                registered = client.register(vm.clone()).await.is_ok();
            }
            if let Ok(vms) = client.list().await {
                shared.view.publish(view(&own, &vms));
            }
            if let Ok(Some(row)) = client.get(CONFIG_ROW).await
                && row.version > shared.config.read().version
                && let Ok(mut document) =
                    serde_json::from_slice::<crate::config::Document>(&row.value)
            {
                document.version = row.version;
                shared.config.publish(document);
            }
            actix_rt::time::sleep(POLL).await;
        }
    });
}

fn view(own: &Member, vms: &[Vm]) -> View {
    let mut members: Vec<Member> = vms
        .iter()
        .filter(|vm| vm.name != own.name)
        .map(|vm| Member {
            name: vm.name.clone(),
            address: vm.address.clone(),
            link: vm.link.clone(),
            control: vm.control.clone(),
            zone: vm.zone.clone(),
            incarnation: 0,
            state: if vm.leaving {
                State::Leaving
            } else {
                State::Alive
            },
            config_version: 0,
        })
        .collect();
    members.push(own.clone());
    members.sort_by(|a, b| a.name.cmp(&b.name));
    View { members }
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
