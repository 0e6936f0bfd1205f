//! What operators may ask: the methods of `auburnspoke.v1.Operator`.

use super::v1;
use crate::clock::Time;
use crate::config::{Document, Endpoint, Kind, Organisation, Service};
use crate::member::{Member, State, View};

/// The schema's form of the members.
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
        heard_ms: Time::ZERO.as_millis(),
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

/// The document that a message describes, without a version.
pub fn document(config: &v1::Config) -> Document {
    Document {
        version: 0,
        services: config
            .services
            .iter()
            .map(|s| (s.name.as_str().into(), service(s)))
            .collect(),
        endpoints: config
            .endpoints
            .iter()
            .map(|e| (e.name.as_str().into(), endpoint(e)))
            .collect(),
        organisations: config
            .organisations
            .iter()
            .map(|o| (o.name.as_str().into(), organisation(o)))
            .collect(),
    }
}

fn service(service: &v1::Service) -> Service {
    Service {
        name: service.name.as_str().into(),
        kind: match service.kind() {
            v1::ServiceKind::Plain => Kind::Plain,
            v1::ServiceKind::Model | v1::ServiceKind::Unspecified => Kind::Model,
        },
        model: service.model.as_str().into(),
        model_version: service.model_version.as_str().into(),
        adapters: service.adapters.iter().map(|a| a.as_str().into()).collect(),
        deadline_ms: service.deadline_ms,
        max_tokens: service.max_tokens,
        replicas: service.replicas,
        latency_weight: service.latency_weight,
    }
}

fn endpoint(endpoint: &v1::Endpoint) -> Endpoint {
    Endpoint {
        name: endpoint.name.as_str().into(),
        address: endpoint.address.as_str().into(),
        zone: endpoint.zone.as_str().into(),
        services: endpoint
            .services
            .iter()
            .map(|s| s.as_str().into())
            .collect(),
        checks_fencing: endpoint.checks_fencing,
        slots: endpoint.slots,
        leaving: endpoint.leaving,
    }
}

fn organisation(organisation: &v1::Organisation) -> Organisation {
    Organisation {
        name: organisation.name.as_str().into(),
        rate: organisation.rate,
        concurrency: organisation.concurrency,
        weight: organisation.weight.max(1),
    }
}
