//! Conversion of the document to the types of the schema.

use super::{Document, Endpoint, Kind, Organisation, Service, row};
use crate::name::Name;
use crate::rpc::v1;

/// Converts a document to the schema's type.
pub fn to_schema(document: &Document) -> v1::Config {
    v1::Config {
        services: document.services.values().map(service).collect(),
        endpoints: document.endpoints.values().map(endpoint).collect(),
        organisations: document.organisations.values().map(organisation).collect(),
    }
}

/// Converts a service to the schema's type.
pub fn service(service: &Service) -> v1::Service {
    let kind = match service.kind {
        Kind::Model => v1::ServiceKind::Model,
        Kind::Plain => v1::ServiceKind::Plain,
    };
    v1::Service {
        name: service.name.to_string(),
        kind: kind.into(),
        model: service.model.to_string(),
        model_version: service.model_version.to_string(),
        adapters: texts(&service.adapters),
        deadline_ms: service.deadline_ms,
        max_tokens: service.max_tokens,
        replicas: service.replicas,
        latency_weight: service.latency_weight,
    }
}

/// Converts an endpoint to the schema's type.
pub fn endpoint(endpoint: &Endpoint) -> v1::Endpoint {
    v1::Endpoint {
        name: endpoint.name.to_string(),
        address: endpoint.address.to_string(),
        zone: endpoint.zone.to_string(),
        services: texts(&endpoint.services),
        checks_fencing: endpoint.checks_fencing,
        slots: endpoint.slots,
        leaving: endpoint.leaving,
    }
}

/// Converts a change to the schema's type.
pub fn change(change: row::Change) -> v1::Change {
    v1::Change {
        version: change.version,
        author: change.author,
        note: change.note,
        at_ms: change.at_ms,
        diff: change.diff,
    }
}

fn organisation(organisation: &Organisation) -> v1::Organisation {
    v1::Organisation {
        name: organisation.name.to_string(),
        rate: organisation.rate,
        concurrency: organisation.concurrency,
        weight: organisation.weight,
    }
}

fn texts(names: &[Name]) -> Vec<String> {
    names.iter().map(ToString::to_string).collect()
}
