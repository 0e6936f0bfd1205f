//! The methods of `auburnspoke.v1.Operator`.

use std::rc::Rc;

use super::v1;
use crate::config::commit::{Accepted, Error};
use crate::config::convert;
use crate::gateway::Shared;
use crate::member::{Member, State, View};
use crate::node::control::{self, Control};
use crate::node::remote::Remote;
use crate::outcome::{Outcome, Reason, Refusal};
use crate::route;

/// Runs functions on the control thread.
type Call = Remote<Control>;

/// A change of the configuration.
pub enum Change {
    /// Replaces the whole document.
    Config(v1::ApplyConfigRequest),
    /// Adds or replaces a service.
    Service(v1::ApplyServiceRequest),
    /// Adds or replaces an endpoint.
    Endpoint(v1::AddEndpointRequest),
    /// Removes an endpoint.
    Remove(v1::RemoveEndpointRequest),
}

impl Change {
    const fn dry_run(&self) -> bool {
        match self {
            Self::Config(request) => request.dry_run,
            Self::Service(request) => request.dry_run,
            Self::Endpoint(request) => request.dry_run,
            Self::Remove(_) => false,
        }
    }
}

/// Commits a change, and applies it on this node immediately.
pub async fn change(call: &Call, change: Change) -> Outcome<v1::ApplyConfigResponse> {
    let changed = call
        .call(|control| async move {
            let requested_at = control.now();
            let dry_run = change.dry_run();
            let result = commit(&control, change).await;
            if let Ok(accepted) = &result
                && !dry_run
            {
                control.committed(requested_at, accepted.document.clone());
            }
            result.map(|accepted| v1::ApplyConfigResponse {
                version: accepted.document.version,
                diff: accepted.diff,
                dry_run,
            })
        })
        .await;
    match changed {
        None => control_busy(),
        Some(Ok(response)) => Outcome::Done(response),
        Some(Err(error)) => error.into_outcome(),
    }
}

async fn commit(control: &Rc<Control>, change: Change) -> Result<Accepted, Error> {
    let stamp = Control::stamp();
    let operator = &control.operator;
    match change {
        Change::Config(request) => operator.apply(stamp, request).await,
        Change::Service(request) => operator.apply_service(stamp, request).await,
        Change::Endpoint(request) => operator.add_endpoint(stamp, request).await,
        Change::Remove(request) => operator.remove_endpoint(stamp, request).await,
    }
}

/// Returns the configuration in the table.
pub async fn config(call: &Call) -> Outcome<v1::GetConfigResponse> {
    let got = call.call(|control| async move { control.operator.get().await });
    match got.await {
        None => control_busy(),
        Some(Ok(document)) => Outcome::Done(v1::GetConfigResponse {
            version: document.version,
            config: Some(convert::to_schema(&document)),
        }),
        Some(Err(error)) => error.into_outcome(),
    }
}

/// Returns past changes, newest first.
pub async fn history(
    call: &Call,
    request: v1::ConfigHistoryRequest,
) -> Outcome<v1::ConfigHistoryResponse> {
    let got =
        call.call(move |control| async move { control.operator.history(request.limit).await });
    match got.await {
        None => control_busy(),
        Some(Ok(history)) => Outcome::Done(history),
        Some(Err(error)) => error.into_outcome(),
    }
}

/// Returns the version that each member has in force, as known to this node.
pub fn status(shared: &Shared) -> v1::ConfigStatusResponse {
    let view = shared.view.read();
    let version = shared.in_force.read().document.version;
    let nodes = view.members.iter().filter(|m| m.state != State::Dead);
    let nodes: Vec<v1::NodeVersion> = nodes
        .map(|member| v1::NodeVersion {
            node: member.name.to_string(),
            version: member.config_version,
        })
        .collect();
    let newest = nodes.iter().map(|node| node.version).max().unwrap_or(0);
    let version = version.max(newest);
    v1::ConfigStatusResponse {
        version,
        in_force: version > 0 && nodes.iter().all(|node| node.version == version),
        nodes,
    }
}

/// Returns the load of each endpoint as its dispatcher reports it.
pub async fn endpoints(call: &Call, shared: &Shared) -> Outcome<v1::ListEndpointsResponse> {
    let loads = call.call(|control| async move { control.loads().await });
    let Some(loads) = loads.await else {
        return control_busy();
    };
    let config = shared.in_force.load();
    let view = shared.view.read();
    let statuses = config.document.endpoints.values().map(|endpoint| {
        let dispatcher = route::dispatcher(&view, &endpoint.name, &endpoint.zone);
        let seen = control::busiest(&loads, &endpoint.name);
        let load = seen.map(|(_, load)| load).unwrap_or_default();
        v1::EndpointStatus {
            endpoint: Some(convert::endpoint(endpoint)),
            dispatcher: dispatcher.map_or_else(String::new, |m| m.name.to_string()),
            online_running: load.online,
            batch_running: load.batch,
            queued: load.queued,
        }
    });
    Outcome::Done(v1::ListEndpointsResponse {
        endpoints: statuses.collect(),
    })
}

/// Starts the shutdown of a node.
pub async fn drain(call: &Call, request: v1::DrainRequest) -> Outcome<v1::DrainResponse> {
    let drained = call.call(move |control| async move { control.drain(&request.node).await });
    match drained.await {
        None => control_busy(),
        Some(Some(in_flight)) => Outcome::Done(v1::DrainResponse { in_flight }),
        Some(None) => {
            Outcome::MayHaveRun(Refusal::new(Reason::LinkFailed).with_message(
                "the node does not answer; check its state with `auburnspoke members`",
            ))
        }
    }
}

/// Converts the members to their schema message.
pub fn members(view: &View) -> v1::ListMembersResponse {
    v1::ListMembersResponse {
        members: view.members.iter().map(member).collect(),
    }
}

fn member(member: &Member) -> v1::Member {
    v1::Member {
        name: member.name.to_string(),
        address: member.address.to_string(),
        link: member.link.to_string(),
        control: member.control.to_string(),
        zone: member.zone.to_string(),
        state: state(member.state).into(),
        incarnation: member.incarnation,
        config_version: member.config_version,
    }
}

const fn state(state: State) -> v1::MemberState {
    match state {
        State::Alive => v1::MemberState::Alive,
        State::Suspect => v1::MemberState::Suspect,
        State::Dead => v1::MemberState::Dead,
        State::Leaving => v1::MemberState::Leaving,
    }
}

fn control_busy<T>() -> Outcome<T> {
    Outcome::NotRun(
        Refusal::new(Reason::Overloaded)
            .with_message("the node's control thread is busy; use another node"),
    )
}
