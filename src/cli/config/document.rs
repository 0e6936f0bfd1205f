//! The configuration as operators write it, in TOML or JSON.
//!
//! Field names and defaults are those of the RPC schema; service kinds have short names. Every
//! error names its line.

use serde::{Deserialize, Serialize};

use crate::rpc::v1;

/// Weight of an organisation whose `weight` is not given.
const DEFAULT_WEIGHT: u32 = 1;
/// Latency weight of a service whose `latency_weight` is not given: midway between throughput and
/// latency.
const DEFAULT_LATENCY_WEIGHT: u32 = 50;

/// A whole configuration.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Document {
    /// The version of the configuration from which the document was made.
    pub(super) version: Option<u64>,
    #[serde(default)]
    services: Vec<Service>,
    #[serde(default)]
    endpoints: Vec<Endpoint>,
    #[serde(default)]
    organisations: Vec<Organisation>,
}

#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Kind {
    Model,
    Plain,
}

#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Service {
    name: String,
    kind: Kind,
    #[serde(default)]
    model: String,
    #[serde(default)]
    model_version: String,
    #[serde(default)]
    adapters: Vec<String>,
    #[serde(default)]
    deadline_ms: u32,
    #[serde(default)]
    max_tokens: u32,
    #[serde(default)]
    replicas: u32,
    #[serde(default = "latency_weight")]
    latency_weight: u32,
}

#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Endpoint {
    name: String,
    address: String,
    zone: String,
    services: Vec<String>,
    #[serde(default)]
    checks_fencing: bool,
    slots: u32,
    #[serde(default)]
    leaving: bool,
}

#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Organisation {
    name: String,
    #[serde(default)]
    rate: u32,
    #[serde(default)]
    concurrency: u32,
    #[serde(default = "weight")]
    weight: u32,
}

const fn latency_weight() -> u32 {
    DEFAULT_LATENCY_WEIGHT
}

const fn weight() -> u32 {
    DEFAULT_WEIGHT
}

impl Document {
    /// Converts a node's response to a document.
    pub(super) fn new(answer: v1::GetConfigResponse) -> Self {
        let config = answer.config.unwrap_or_default();
        Self {
            version: Some(answer.version),
            services: config.services.into_iter().map(Into::into).collect(),
            endpoints: config.endpoints.into_iter().map(Into::into).collect(),
            organisations: config.organisations.into_iter().map(Into::into).collect(),
        }
    }

    /// Parses JSON if the text begins with a brace, else TOML.
    ///
    /// # Errors
    /// Returns a message with the line and what was expected there.
    pub(super) fn parse(text: &str) -> Result<Self, String> {
        if text.trim_start().starts_with('{') {
            serde_json::from_str(text).map_err(|e| e.to_string())
        } else {
            toml::from_str(text).map_err(|e| e.to_string())
        }
    }

    pub(super) fn into_config(self) -> v1::Config {
        v1::Config {
            services: self.services.into_iter().map(Into::into).collect(),
            endpoints: self.endpoints.into_iter().map(Into::into).collect(),
            organisations: self.organisations.into_iter().map(Into::into).collect(),
        }
    }
}

impl From<v1::Service> for Service {
    fn from(service: v1::Service) -> Self {
        let kind = match service.kind() {
            v1::ServiceKind::Plain => Kind::Plain,
            v1::ServiceKind::Model | v1::ServiceKind::Unspecified => Kind::Model,
        };
        Self {
            name: service.name,
            kind,
            model: service.model,
            model_version: service.model_version,
            adapters: service.adapters,
            deadline_ms: service.deadline_ms,
            max_tokens: service.max_tokens,
            replicas: service.replicas,
            latency_weight: service.latency_weight,
        }
    }
}

impl From<Service> for v1::Service {
    fn from(service: Service) -> Self {
        let kind = match service.kind {
            Kind::Model => v1::ServiceKind::Model,
            Kind::Plain => v1::ServiceKind::Plain,
        };
        Self {
            name: service.name,
            kind: kind.into(),
            model: service.model,
            model_version: service.model_version,
            adapters: service.adapters,
            deadline_ms: service.deadline_ms,
            max_tokens: service.max_tokens,
            replicas: service.replicas,
            latency_weight: service.latency_weight,
        }
    }
}

impl From<v1::Endpoint> for Endpoint {
    fn from(endpoint: v1::Endpoint) -> Self {
        Self {
            name: endpoint.name,
            address: endpoint.address,
            zone: endpoint.zone,
            services: endpoint.services,
            checks_fencing: endpoint.checks_fencing,
            slots: endpoint.slots,
            leaving: endpoint.leaving,
        }
    }
}

impl From<Endpoint> for v1::Endpoint {
    fn from(endpoint: Endpoint) -> Self {
        Self {
            name: endpoint.name,
            address: endpoint.address,
            zone: endpoint.zone,
            services: endpoint.services,
            checks_fencing: endpoint.checks_fencing,
            slots: endpoint.slots,
            leaving: endpoint.leaving,
        }
    }
}

impl From<v1::Organisation> for Organisation {
    fn from(organisation: v1::Organisation) -> Self {
        Self {
            name: organisation.name,
            rate: organisation.rate,
            concurrency: organisation.concurrency,
            weight: organisation.weight,
        }
    }
}

impl From<Organisation> for v1::Organisation {
    fn from(organisation: Organisation) -> Self {
        Self {
            name: organisation.name,
            rate: organisation.rate,
            concurrency: organisation.concurrency,
            weight: organisation.weight,
        }
    }
}
