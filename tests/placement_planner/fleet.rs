//! A small fleet of nodes and endpoints in virtual time, with pauses, late orders, lost
//! endpoints and configuration changes.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use auburnspoke::clock::Time;
use auburnspoke::config::{Document, check};
use auburnspoke::lease::{self, Claim, Setting};
use auburnspoke::name::Name;
use auburnspoke::order::{Order, State};
use auburnspoke::placement::choose::required_model;
use auburnspoke::placement::{Action, Failure, Input, Planner};
use auburnspoke::rpc::v1;
use auburnspoke::table::fault::Command;
use auburnspoke::table::memory::Platform;
use auburnspoke::table::{Fault, Table as _, Weight as _};
use futures_util::FutureExt as _;
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

pub const STEP: Duration = Duration::from_millis(250);
pub const NODES: usize = 3;
pub const ENDPOINTS: usize = 8;
pub const START: Time = Time::from_millis(3_600_000);

pub fn document(version: u64, model_version: &str, replicas: [u32; 2]) -> Arc<Document> {
    let service = |name: &str, replicas| v1::Service {
        name: name.into(),
        kind: v1::ServiceKind::Model.into(),
        model: format!("model-{name}"),
        model_version: model_version.into(),
        replicas,
        ..Default::default()
    };
    let endpoint = |at: usize| v1::Endpoint {
        name: format!("e{at}"),
        address: format!("10.0.0.{at}:80"),
        zone: format!("muscat-{}", at % 3),
        services: vec!["a".into(), "b".into()],
        // Half of the endpoints check fencing numbers, half do not.
        checks_fencing: at.is_multiple_of(2),
        slots: 8,
        leaving: false,
    };
    let config = v1::Config {
        services: vec![service("a", replicas[0]), service("b", replicas[1])],
        endpoints: (0..ENDPOINTS).map(endpoint).collect(),
        organisations: Vec::new(),
    };
    let mut document = check::document(&config).unwrap();
    document.version = version;
    Arc::new(document)
}

pub enum Message {
    Read {
        node: usize,
        endpoint: Name,
    },
    Order {
        node: usize,
        endpoint: Name,
        order: Order,
    },
    Answer {
        node: usize,
        input: Input,
    },
}

pub struct Node {
    pub claim: Claim,
    pub planner: Planner,
    pub paused_until: Time,
    /// Orders that have not been sent yet.
    pub outbox: Vec<(Name, Order, Time)>,
}

pub struct Endpoint {
    pub state: State,
    pub checks: bool,
    pub up: bool,
}

pub struct Fleet {
    pub now: Time,
    pub random: ChaCha8Rng,
    pub platform: Platform,
    pub document: Arc<Document>,
    pub nodes: Vec<Node>,
    pub endpoints: BTreeMap<Name, Endpoint>,
    pub messages: BTreeMap<(Time, u64), Message>,
    pub sent: u64,
    /// Maximum delay of an order in milliseconds.
    pub max_order_delay_ms: u64,
    /// Maximum delay of a read in milliseconds.
    pub max_read_delay_ms: u64,
    pub orders: u32,
    pub loads: u64,
    pub reads: u32,
}

impl Fleet {
    pub fn new(seed: u64) -> Self {
        let document = document(1, "1", [4, 3]);
        let state_of = |endpoint: &auburnspoke::config::Endpoint| Endpoint {
            state: State::default(),
            checks: endpoint.checks_fencing,
            up: true,
        };
        let endpoints = document
            .endpoints
            .values()
            .map(|endpoint| (endpoint.name.clone(), state_of(endpoint)));
        let node = |at: usize| {
            let setting = Setting::new("placement", format!("n{at}").into(), at as u64 + 1);
            let mut claim = Claim::new(START, setting);
            claim.step(START, lease::Input::Contend(true), &mut Vec::new());
            Node {
                claim,
                planner: Planner::new("muscat".into()),
                paused_until: Time::ZERO,
                outbox: Vec::new(),
            }
        };
        let mut fleet = Self {
            now: START,
            random: ChaCha8Rng::seed_from_u64(seed),
            platform: Platform::in_virtual_time(START, seed),
            endpoints: endpoints.collect(),
            document: Arc::clone(&document),
            nodes: (0..NODES).map(node).collect(),
            messages: BTreeMap::new(),
            sent: 0,
            max_order_delay_ms: 500,
            max_read_delay_ms: 500,
            orders: 0,
            loads: 0,
            reads: 0,
        };
        fleet.apply(&document);
        fleet
    }

    pub fn apply(&mut self, document: &Arc<Document>) {
        self.document = Arc::clone(document);
        for node in &mut self.nodes {
            let input = Input::Document(Arc::clone(document));
            node.planner.step(self.now, input, &mut Vec::new());
        }
    }

    pub fn send(&mut self, longest: u64, message: Message) {
        self.sent += 1;
        let latency = Duration::from_millis(self.random.random_range(1..=longest));
        self.messages
            .insert((self.now + latency, self.sent), message);
    }

    pub fn step(&mut self) {
        self.now += STEP;
        self.platform.set_time(self.now);
        let due = self
            .messages
            .split_off(&(self.now + Duration::from_micros(1), 0));
        for ((_, order), message) in std::mem::replace(&mut self.messages, due) {
            self.deliver(order, message);
        }
        for at in 0..NODES {
            if self.now < self.nodes[at].paused_until {
                continue;
            }
            self.flush(at);
            self.lease(at, lease::Input::Tick);
            let held = self.nodes[at].claim.held(self.now);
            self.plan(at, Input::Tick { held });
            // A pause may occur between the decision and the send.
            if self.random.random_bool(0.9) {
                self.flush(at);
            }
        }
    }

    /// Sends the queued orders, unless their time has run out, as the shell does.
    pub fn flush(&mut self, at: usize) {
        for (endpoint, order, until) in std::mem::take(&mut self.nodes[at].outbox) {
            if self.now < until {
                let longest = self.max_order_delay_ms;
                self.send(
                    longest,
                    Message::Order {
                        node: at,
                        endpoint,
                        order,
                    },
                );
            } else {
                let result = Err(Failure::NotSent);
                self.plan(at, Input::Ordered { endpoint, result });
            }
        }
    }

    pub fn deliver(&mut self, order: u64, message: Message) {
        match message {
            Message::Read { node, endpoint } => {
                self.reads += 1;
                let target = &self.endpoints[&endpoint];
                let result = if target.up {
                    Ok(target.state.clone())
                } else {
                    Err(Failure::Unknown)
                };
                let input = Input::Read { endpoint, result };
                self.send(500, Message::Answer { node, input });
            }
            Message::Order {
                node,
                endpoint,
                order,
            } => {
                let result = self.apply_order(&endpoint, order);
                let input = Input::Ordered { endpoint, result };
                self.send(500, Message::Answer { node, input });
            }
            Message::Answer { node, .. } if self.now < self.nodes[node].paused_until => {
                self.messages
                    .insert((self.nodes[node].paused_until, order), message);
            }
            Message::Answer { node, input } => self.plan(node, input),
        }
    }

    pub fn apply_order(
        &mut self,
        endpoint: &str,
        order: Order,
    ) -> std::result::Result<(), Failure> {
        let target = self.endpoints.get_mut(endpoint).unwrap();
        if !target.up {
            return Err(Failure::Unknown);
        }
        let before = target.state.hold.clone();
        let obeyed = target.state.apply(order, target.checks);
        self.orders += 1;
        let loaded = target
            .state
            .hold
            .iter()
            .filter(|load| !before.contains(load));
        self.loads += loaded.count() as u64;
        obeyed.map_err(|stale| Failure::Stale { fence: stale.fence })
    }

    pub fn lease(&mut self, at: usize, input: lease::Input) {
        let mut actions = Vec::new();
        self.nodes[at].claim.step(self.now, input, &mut actions);
        for action in actions {
            match action {
                lease::Action::Read(token) => {
                    let result = self.platform.get("lease/placement").now_or_never().unwrap();
                    self.lease(at, lease::Input::Read { token, result });
                }
                lease::Action::Write(token, transaction) => {
                    let result = self.platform.transact(transaction).now_or_never().unwrap();
                    self.lease(at, lease::Input::Wrote { token, result });
                }
                lease::Action::Gained(_) | lease::Action::Lost(_) => {}
            }
        }
    }

    pub fn plan(&mut self, at: usize, input: Input) {
        let mut actions = Vec::new();
        self.nodes[at].planner.step(self.now, input, &mut actions);
        for action in actions {
            match action {
                Action::Read(endpoint) => {
                    let longest = self.max_read_delay_ms;
                    self.send(longest, Message::Read { node: at, endpoint });
                }
                Action::Admit(model) => {
                    let result = self.platform.admit(&model).now_or_never().unwrap();
                    let result = result.map_err(|fault| match fault {
                        Fault::Refused { retry_after } => retry_after,
                        _ => Duration::from_secs(1),
                    });
                    let input = Input::Admitted { result };
                    self.send(500, Message::Answer { node: at, input });
                }
                Action::Order {
                    endpoint,
                    order,
                    until,
                } => {
                    self.nodes[at].outbox.push((endpoint, order, until));
                }
                Action::Counts(_) => {}
            }
        }
    }

    pub fn run(&mut self, seconds: u64) {
        for _ in 0..seconds * 4 {
            self.step();
        }
    }

    /// Number of endpoints that hold each service's model as configured.
    pub fn held(&self) -> [usize; 2] {
        ["a", "b"].map(|name| {
            let wanted = required_model(&self.document.services[name]);
            let up = self.endpoints.values().filter(|endpoint| endpoint.up);
            up.filter(|endpoint| endpoint.state.hold.contains(&wanted))
                .count()
        })
    }

    /// Number of held models that no service requires.
    pub fn unplanned_models(&self) -> usize {
        let wanted = self.document.services.values().map(required_model);
        let wanted: Vec<_> = wanted.collect();
        let up = self.endpoints.values().filter(|endpoint| endpoint.up);
        up.flat_map(|endpoint| &endpoint.state.hold)
            .filter(|load| !wanted.contains(load))
            .count()
    }

    pub fn inject_fault(&mut self) {
        let node = self.random.random_range(0..NODES);
        let endpoint: Name = format!("e{}", self.random.random_range(0..ENDPOINTS)).into();
        match self.random.random_range(0..8) {
            0 | 1 => {
                let pause = Duration::from_millis(self.random.random_range(1_000..60_000));
                self.nodes[node].paused_until = self.now + pause;
            }
            2 => self.max_order_delay_ms = self.random.random_range(500..40_000),
            3 => self.max_order_delay_ms = 500,
            4 => self.endpoints.get_mut(&endpoint).unwrap().up ^= true,
            // An endpoint is replaced by an empty one.
            5 => self.endpoints.get_mut(&endpoint).unwrap().state = State::default(),
            6 => self.platform.command(&Command::Outage {
                ms: Some(self.random.random_range(1_000..40_000)),
                silent: false,
            }),
            _ => {
                let version = self.document.version + 1;
                let replicas = [
                    self.random.random_range(1..6),
                    self.random.random_range(1..6),
                ];
                self.apply(&document(version, &format!("{}", version / 3), replicas));
            }
        }
    }
}
