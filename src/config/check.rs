//! Validates a document sent by an operator. It reports every problem in one
//! pass, each with its place, so that one round of corrections is enough.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

use super::{Document, Endpoint, Kind, Organisation, Service, row};
use crate::name::{self, Name};
use crate::rpc::v1;

/// Maximum number of services in a document.
pub const MAX_SERVICES: usize = 200;
/// Maximum number of endpoints in a document.
pub const MAX_ENDPOINTS: usize = 4_000;
/// Maximum number of organisations in a document.
pub const MAX_ORGANISATIONS: usize = 10_000;
/// Maximum size of a document as a table row, in bytes. Every node reads all of
/// it after each change.
pub const MAX_BYTES: usize = 1024 * 1024;
/// Maximum deadline of a request, in milliseconds.
pub const MAX_DEADLINE_MS: u32 = 3_600_000;
/// Default deadline of a service, in milliseconds.
pub const DEFAULT_DEADLINE_MS: u32 = 30_000;
/// Default token limit of a model service.
pub const DEFAULT_MAX_TOKENS: u32 = 1_024;
/// Maximum number of concurrent sequences of an endpoint.
pub const MAX_SLOTS: u32 = 4_096;
const MAX_LATENCY_WEIGHT: u32 = 100;

/// A problem in a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Place of the problem, such as `services[2].name`.
    pub place: String,
    /// What is wrong and what to write instead.
    pub message: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.message)
    }
}

impl From<Problem> for v1::Problem {
    fn from(problem: Problem) -> Self {
        Self {
            place: problem.place,
            message: problem.message,
        }
    }
}

/// Converts a configuration from an operator into a document of version 0.
///
/// # Errors
/// All problems, in the order of the document.
pub fn document(config: &v1::Config) -> Result<Document, Vec<Problem>> {
    let mut check = Check::default();
    let mut document = Document::default();
    check.count("services", config.services.len(), MAX_SERVICES);
    check.count("endpoints", config.endpoints.len(), MAX_ENDPOINTS);
    check.count(
        "organisations",
        config.organisations.len(),
        MAX_ORGANISATIONS,
    );
    if !check.problems.is_empty() {
        return Err(check.problems);
    }
    for (at, service) in config.services.iter().enumerate() {
        let place = format!("services[{at}]");
        let service = check.service(&place, service);
        check.unique(&place, &service.name, &document.services);
        document.services.insert(service.name.clone(), service);
    }
    for (at, endpoint) in config.endpoints.iter().enumerate() {
        let place = format!("endpoints[{at}]");
        let endpoint = check.endpoint(&place, endpoint, &document);
        check.unique(&place, &endpoint.name, &document.endpoints);
        document.endpoints.insert(endpoint.name.clone(), endpoint);
    }
    for (at, organisation) in config.organisations.iter().enumerate() {
        let place = format!("organisations[{at}]");
        let organisation = check.organisation(&place, organisation);
        check.unique(&place, &organisation.name, &document.organisations);
        document
            .organisations
            .insert(organisation.name.clone(), organisation);
    }
    let bytes = row::encode(&document).len();
    if bytes > MAX_BYTES {
        let message = format!("takes {bytes} bytes; at most {MAX_BYTES} are allowed");
        check.add("document", message);
    }
    if check.problems.is_empty() {
        Ok(document)
    } else {
        Err(check.problems)
    }
}

#[derive(Default)]
struct Check<'a> {
    problems: Vec<Problem>,
    /// Place of the first use of each address.
    addresses: BTreeMap<&'a str, String>,
}

impl<'a> Check<'a> {
    fn add<P, M>(&mut self, place: P, message: M)
    where
        P: Into<String>,
        M: Into<String>,
    {
        self.problems.push(Problem {
            place: place.into(),
            message: message.into(),
        });
    }

    fn require<M>(&mut self, holds: bool, place: &str, field: &str, message: M)
    where
        M: Into<String>,
    {
        if !holds {
            self.add(format!("{place}.{field}"), message);
        }
    }

    fn count(&mut self, place: &str, count: usize, limit: usize) {
        if count > limit {
            self.add(
                place,
                format!("has {count} entries; at most {limit} are allowed"),
            );
        }
    }

    fn unique<T>(&mut self, place: &str, name: &Name, others: &BTreeMap<Name, T>) {
        let unique = !others.contains_key(name) || !name::is_valid(name);
        self.require(
            unique,
            place,
            "name",
            format!("{name} occurs twice; remove one"),
        );
    }

    fn name(&mut self, place: &str, field: &str, text: &str) -> Name {
        let message = format!(
            "{text:?} is not a name; use 1 to {} letters, digits, '-', '_', '.' or ':'",
            name::MAX_LEN
        );
        self.require(name::is_valid(text), place, field, message);
        text.into()
    }

    fn names(&mut self, place: &str, field: &str, texts: &[String]) -> Vec<Name> {
        let mut names: Vec<Name> = Vec::with_capacity(texts.len());
        for (at, text) in texts.iter().enumerate() {
            let field = format!("{field}[{at}]");
            let name = self.name(place, &field, text);
            let unique = !names.contains(&name);
            self.require(
                unique,
                place,
                &field,
                format!("{name} occurs twice; remove one"),
            );
            names.push(name);
        }
        names
    }

    fn service(&mut self, place: &str, service: &v1::Service) -> Service {
        let kind = match service.kind() {
            v1::ServiceKind::Plain => Kind::Plain,
            v1::ServiceKind::Model => Kind::Model,
            v1::ServiceKind::Unspecified => {
                let message = "must be SERVICE_KIND_MODEL or SERVICE_KIND_PLAIN";
                self.add(format!("{place}.kind"), message);
                Kind::Plain
            }
        };
        if service.kind() == v1::ServiceKind::Model {
            self.name(place, "model", &service.model);
            self.name(place, "model_version", &service.model_version);
        } else if service.kind() == v1::ServiceKind::Plain {
            let message = "a plain service has no model; leave it empty";
            self.require(service.model.is_empty(), place, "model", message);
            self.require(
                service.model_version.is_empty(),
                place,
                "model_version",
                message,
            );
            self.require(service.adapters.is_empty(), place, "adapters", message);
            self.require(service.replicas == 0, place, "replicas", message);
        }
        let deadline = service.deadline_ms <= MAX_DEADLINE_MS;
        let message = format!("must be at most {MAX_DEADLINE_MS}");
        self.require(deadline, place, "deadline_ms", message);
        let weight = service.latency_weight <= MAX_LATENCY_WEIGHT;
        let message = "must be from 0 (batch throughput) to 100 (online tail latency)";
        self.require(weight, place, "latency_weight", message);
        Service {
            name: self.name(place, "name", &service.name),
            kind,
            model: service.model.as_str().into(),
            model_version: service.model_version.as_str().into(),
            adapters: self.names(place, "adapters", &service.adapters),
            deadline_ms: or_default(service.deadline_ms, DEFAULT_DEADLINE_MS),
            max_tokens: match kind {
                Kind::Model => or_default(service.max_tokens, DEFAULT_MAX_TOKENS),
                Kind::Plain => service.max_tokens,
            },
            replicas: service.replicas,
            latency_weight: service.latency_weight,
        }
    }

    fn endpoint(
        &mut self,
        place: &str,
        endpoint: &'a v1::Endpoint,
        document: &Document,
    ) -> Endpoint {
        let name = self.name(place, "name", &endpoint.name);
        self.address(place, &endpoint.address);
        let zone = self.name(place, "zone", &endpoint.zone);
        let services = self.names(place, "services", &endpoint.services);
        let has_services = !services.is_empty();
        self.require(has_services, place, "services", "name at least one service");
        let mut kinds = Vec::new();
        for (at, name) in services.iter().enumerate() {
            match document.services.get(name) {
                Some(service) => kinds.push(service.kind),
                None => self.add(
                    format!("{place}.services[{at}]"),
                    format!("there is no service {name}; add it, or remove it here"),
                ),
            }
        }
        let same_kind = kinds.windows(2).all(|pair| pair[0] == pair[1]);
        let message = "an endpoint can't serve both model and plain services";
        self.require(same_kind, place, "services", message);
        let slots = (1..=MAX_SLOTS).contains(&endpoint.slots);
        self.require(
            slots,
            place,
            "slots",
            format!("must be from 1 to {MAX_SLOTS}"),
        );
        Endpoint {
            name,
            address: endpoint.address.as_str().into(),
            zone,
            services,
            checks_fencing: endpoint.checks_fencing,
            slots: endpoint.slots,
            leaving: endpoint.leaving,
        }
    }

    fn address(&mut self, place: &str, address: &'a str) {
        let parsed = address.parse::<SocketAddr>();
        let valid = parsed.is_ok_and(|parsed| parsed.port() != 0);
        let message = format!("{address:?} is not ip:port, such as 10.0.0.7:8000");
        self.require(valid, place, "address", message);
        if let Some(other) = self.addresses.get(address) {
            // Two names for one back end would each admit work to all of its
            // slots.
            let message = format!("{address} is also the address of {other}");
            self.add(format!("{place}.address"), message);
        } else {
            self.addresses.insert(address, place.to_owned());
        }
    }

    fn organisation(&mut self, place: &str, organisation: &v1::Organisation) -> Organisation {
        Organisation {
            name: self.name(place, "name", &organisation.name),
            rate: organisation.rate,
            concurrency: organisation.concurrency,
            weight: organisation.weight.max(1),
        }
    }
}

/// Returns `default` for a value of 0, which means that the field was omitted.
fn or_default(value: u32, default: u32) -> u32 {
    if value == 0 { default } else { value }
}
