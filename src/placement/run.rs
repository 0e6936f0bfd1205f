//! The shell around a [`Planner`]: holds the region's lease, reads and orders endpoints
//! over HTTP, and requests admission from the weight store.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_http::StatusCode;

use super::{Action, Failure, Input, ORDER_TIMEOUT, Planner, contends};
use crate::clock::{Clock, Time};
use crate::config::follow::InForce;
use crate::event;
use crate::http;
use crate::lease::Setting;
use crate::lease::elector::Elector;
use crate::locate::region;
use crate::member::View;
use crate::name::Name;
use crate::order::{MAX_BODY_BYTES, ORDER_PATH, Order, STATE_PATH, Stale, State};
use crate::snapshot::Cell;
use crate::table::{Fault, Table, Weight};

/// Interval between ticks of the planner.
const TICK: Duration = Duration::from_millis(500);
/// Retry delay when the weight store's answer was lost.
const ADMIT_RETRY: Duration = Duration::from_secs(2);

/// The node that placement runs on.
pub struct Context {
    /// The node's name.
    pub node: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Distinguishes this process from earlier ones of the same name.
    pub nonce: u64,
    /// The monotonic clock.
    pub clock: Clock,
    /// The configuration in force.
    pub in_force: Arc<Cell<InForce>>,
    /// The members.
    pub view: Arc<Cell<View>>,
}

/// Starts placement on this thread. The node contends for the region's lease while it is
/// among the contenders by its view of the members, and places models while it holds the
/// lease. A node that leaves is no longer a contender and releases the lease.
pub fn start<P>(context: Context, platform: P) -> Placer<P, P>
where
    P: Table + Weight + Clone + 'static,
{
    let region: Name = region(&context.zone).into();
    let setting = Setting::new(
        &format!("placement/{region}"),
        context.node.clone(),
        context.nonce,
    );
    let elector = Elector::new(platform.clone(), context.clock, setting);
    let placer = Placer::new(
        region,
        elector.clone(),
        platform,
        context.clock,
        context.in_force,
    );
    actix_rt::spawn(elector.clone().run());
    actix_rt::spawn(placer.clone().run());
    actix_rt::spawn(async move {
        loop {
            elector.contend(contends(&context.view.read(), &context.node));
            actix_rt::time::sleep(TICK).await;
        }
    });
    placer
}

/// Places the models of this node's region while it holds the lease.
pub struct Placer<T, W> {
    inner: Rc<Inner<T, W>>,
}

struct Inner<T, W> {
    elector: Elector<T>,
    weight: W,
    clock: Clock,
    in_force: Arc<Cell<InForce>>,
    http: awc::Client,
    planner: RefCell<Planner>,
}

impl<T, W> Clone for Placer<T, W> {
    fn clone(&self) -> Self {
        Self {
            inner: Rc::clone(&self.inner),
        }
    }
}

impl<T, W> Placer<T, W>
where
    T: Table + 'static,
    W: Weight + 'static,
{
    /// Creates a placer of `region` under `elector`'s lease, which [`Placer::run`] starts.
    /// It acts only while its configuration is in force.
    pub fn new(
        region: Name,
        elector: Elector<T>,
        weight: W,
        clock: Clock,
        in_force: Arc<Cell<InForce>>,
    ) -> Self {
        Self {
            inner: Rc::new(Inner {
                elector,
                weight,
                clock,
                in_force,
                http: http::client(ORDER_TIMEOUT),
                planner: RefCell::new(Planner::new(region)),
            }),
        }
    }

    /// Runs until the thread's runtime ends.
    pub async fn run(self) {
        let mut version = 0;
        loop {
            let in_force = self.inner.in_force.load();
            let now = self.inner.clock.now();
            let holds = in_force.is_valid(now);
            if holds && in_force.document.version != version {
                version = in_force.document.version;
                self.step(Input::Document(Arc::clone(&in_force.document)));
            }
            let held = self.inner.elector.held().filter(|_| holds);
            self.step(Input::Tick { held });
            actix_rt::time::sleep(TICK).await;
        }
    }

    /// Records that an endpoint is unreachable, so that it is read soon.
    pub fn suspect(&self, endpoint: Name) {
        self.step(Input::Suspect(endpoint));
    }

    fn step(&self, input: Input) {
        let mut actions = Vec::new();
        let now = self.inner.clock.now();
        self.inner
            .planner
            .borrow_mut()
            .step(now, input, &mut actions);
        for action in actions {
            self.act(action);
        }
    }

    fn act(&self, action: Action) {
        let placer = self.clone();
        match action {
            Action::Read(endpoint) => {
                actix_rt::spawn(async move {
                    let result = placer.read(&endpoint).await;
                    placer.step(Input::Read { endpoint, result });
                });
            }
            Action::Admit(model) => {
                actix_rt::spawn(async move {
                    let result = match placer.inner.weight.admit(&model).await {
                        Ok(()) => Ok(()),
                        Err(Fault::Refused { retry_after }) => Err(retry_after),
                        Err(_) => Err(ADMIT_RETRY),
                    };
                    placer.step(Input::Admitted { result });
                });
            }
            Action::Order {
                endpoint,
                order,
                until,
            } => {
                actix_rt::spawn(async move {
                    let result = placer.order(&endpoint, &order, until).await;
                    placer.step(Input::Ordered { endpoint, result });
                });
            }
            Action::Counts(counts) => {
                for count in counts.iter().filter(|count| count.placed < count.wanted) {
                    log::warn!(
                        "{} service={} want={} have={}",
                        event::PLACEMENT_SHORT,
                        count.service,
                        count.wanted,
                        count.placed
                    );
                }
            }
        }
    }

    fn url(&self, endpoint: &str, path: &str) -> Option<String> {
        let in_force = self.inner.in_force.read();
        let address = &in_force.document.endpoints.get(endpoint)?.address;
        Some(format!("http://{address}{path}"))
    }

    async fn read(&self, endpoint: &str) -> Result<State, Failure> {
        let url = self.url(endpoint, STATE_PATH).ok_or(Failure::NotSent)?;
        read(&self.inner.http, &url).await
    }

    async fn order(&self, endpoint: &str, order: &Order, until: Time) -> Result<(), Failure> {
        let url = self.url(endpoint, ORDER_PATH).ok_or(Failure::NotSent)?;
        // The decision may be outdated, as this process may have been paused since.
        let result = if self.inner.clock.now() < until {
            send(&self.inner.http, &url, order).await
        } else {
            Err(Failure::NotSent)
        };
        let fence = order.fence;
        match &result {
            Ok(()) => {
                let hold = order.hold.len();
                log::info!(
                    "{} endpoint={endpoint} fence={fence} hold={hold}",
                    event::ORDER_SENT
                );
            }
            Err(Failure::Stale { fence: newer }) => log::warn!(
                "{} endpoint={endpoint} fence={fence} newer={newer}",
                event::ORDER_REFUSED
            ),
            Err(failure) => log::warn!(
                "{} endpoint={endpoint} fence={fence} failure={failure:?}",
                event::ORDER_FAILED
            ),
        }
        result
    }
}

/// Reads an endpoint's state.
///
/// # Errors
/// [`Failure::Unknown`] when it does not return a valid state.
pub async fn read(client: &awc::Client, url: &str) -> Result<State, Failure> {
    let exchange = async {
        let mut answer = client.get(url).send().await.ok()?;
        if answer.status() != StatusCode::OK {
            return None;
        }
        let body = http::read_body(&mut answer, MAX_BODY_BYTES).await.ok()?;
        serde_json::from_slice(&body).ok()
    };
    let state = tokio::time::timeout(ORDER_TIMEOUT, exchange).await;
    state.ok().flatten().ok_or(Failure::Unknown)
}

/// Sends an order.
///
/// # Errors
/// [`Failure::Stale`] when the endpoint has applied an order with a higher fencing
/// number, [`Failure::Unknown`] when it is unknown whether the order was applied.
pub async fn send(client: &awc::Client, url: &str, order: &Order) -> Result<(), Failure> {
    let body = serde_json::to_vec(order).map_err(|_| Failure::NotSent)?;
    let exchange = async {
        let sent = client
            .post(url)
            .content_type("application/json")
            .send_body(body);
        let mut answer = sent.await.map_err(|_| Failure::Unknown)?;
        let status = answer.status();
        let body = http::read_body(&mut answer, MAX_BODY_BYTES).await;
        match status {
            StatusCode::OK => Ok(()),
            StatusCode::CONFLICT => {
                let stale = body
                    .ok()
                    .and_then(|body| serde_json::from_slice::<Stale>(&body).ok());
                Err(stale.map_or(Failure::Unknown, |stale| Failure::Stale {
                    fence: stale.fence,
                }))
            }
            _ => Err(Failure::Unknown),
        }
    };
    tokio::time::timeout(ORDER_TIMEOUT, exchange)
        .await
        .unwrap_or(Err(Failure::Unknown))
}
