//! The batch parts of several nodes in one process, with a store, a pool and one replica.

use std::cell::{Cell as StdCell, RefCell};
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use auburnspoke::batch::read::Reader;
use auburnspoke::batch::record::{self, Record};
use auburnspoke::batch::{Jobs, Setup};
use auburnspoke::catalog::{Catalog, Config, Endpoint, Kind, Limits, Route, Target, Terms};
use auburnspoke::clock::Clock;
use auburnspoke::edge::count::Count;
use auburnspoke::leave::Phase;
use auburnspoke::limit::Tolerance;
use auburnspoke::link;
use auburnspoke::member::View;
use auburnspoke::name::Name;
use auburnspoke::node::work::Work;
use auburnspoke::permit::{self, Broker};
use auburnspoke::platform::store::Client;
use auburnspoke::pool;
use auburnspoke::quarantine::evidence::{Crash, Stage, Status};
use auburnspoke::quarantine::record::Observation;
use auburnspoke::quarantine::{Detector, Fingerprint, Subject, detector};
use auburnspoke::snapshot::Cell;
use auburnspoke::table::{self, Changes, Feed, FeedError, Snapshot};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use hyper::{Response, StatusCode};
use standin::site::replica::{Fault, History, Replica, Run};
use standin::site::store::Store;
use tokio::sync::mpsc;
use tokio::time::sleep;

#[path = "../../../tests/support/member.rs"]
mod support;

use support::member;

/// Number of nodes.
pub const NODES: usize = 8;
const SERVICE: &str = "llm";
const HOST: &str = "batch.example";
/// Tokens of an item's output, unless the test asks for more.
pub const TOKENS: u64 = 20;
/// Ids of the only item and the only job.
const ITEM: &str = "item-1";
const JOB: &str = "job-1";
/// Interval between checks of a condition.
const POLL: Duration = Duration::from_millis(5);

/// A feed that holds its answers back while `held` is true.
struct Held {
    store: Client,
    held: Rc<StdCell<bool>>,
}

impl Feed for Held {
    async fn snapshot(&self, table: &str) -> Result<Snapshot, table::Fault> {
        self.store.snapshot(table).await
    }

    async fn changes(
        &self,
        table: &str,
        version: u64,
        wait: Duration,
    ) -> Result<Changes, FeedError> {
        let changes = self.store.changes(table, version, wait).await;
        while self.held.get() {
            sleep(POLL).await;
        }
        changes
    }
}

/// The batch part of one node.
struct Node {
    jobs: Rc<Jobs>,
    detector: Rc<Detector>,
    phase: Arc<Cell<Phase>>,
    owned: Work,
}

/// The nodes. They start without serving; see [`Fleet::serve`].
pub struct Fleet {
    /// The store, with a listener for each node by index.
    pub store: Rc<Store>,
    nodes: Vec<Node>,
    history: History,
    route: Arc<Route>,
    catalog: Arc<Cell<Catalog>>,
    replica: RefCell<Rc<Replica>>,
    held: Rc<StdCell<bool>>,
}

fn local() -> UdpSocket {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket.set_nonblocking(true).unwrap();
    socket
}

async fn start_replica(id: &str, history: &History) -> (Rc<Replica>, SocketAddr) {
    let step = Duration::from_millis(5);
    Replica::start(id.into(), "v1".into(), 4, step, Rc::clone(history))
        .await
        .unwrap()
}

fn route(attempts: u32) -> Arc<Route> {
    let terms = Terms {
        due: Duration::from_secs(18),
        lifetime: Duration::from_secs(120),
        waiting_tokens: None,
    };
    Arc::new(Route {
        name: "notes".into(),
        host: HOST.into(),
        prefix: "/n/".into(),
        kind: Kind::Batch(terms),
        timeout: Duration::from_secs(5),
        goal: Duration::from_millis(500),
        priority: 1,
        targets: vec![Target {
            service: SERVICE.into(),
            weight: 1,
        }],
        attempts,
        public: false,
    })
}

fn catalog(route: &Arc<Route>, id: &str, address: SocketAddr) -> Catalog {
    let endpoint = Endpoint {
        id: id.into(),
        service: SERVICE.into(),
        address,
        zone: "z0".into(),
        slots: 4,
        ready: true,
        incarnation: 0,
        software: Some("v1".into()),
    };
    let config = Config {
        version: 1,
        routes: vec![Arc::clone(route)],
        limits: Limits::default(),
        keyring: None,
    };
    Catalog {
        config: Some(Arc::new(config)),
        endpoints: [endpoint].into_iter().collect(),
        ..Catalog::default()
    }
}

impl Fleet {
    /// Starts the nodes; items may fail `attempts` times.
    pub async fn start(attempts: u32) -> Self {
        Self::start_with(attempts, false).await
    }

    /// Does the same with nodes that may have met all others.
    pub async fn start_with(attempts: u32, is_complete: bool) -> Self {
        let store = Store::new();
        let history = History::default();
        let (replica, address) = start_replica("i-1", &history).await;
        let route = route(attempts);
        let catalog = Arc::new(Cell::new(catalog(&route, "i-1", address)));
        let clock = Clock::start();
        let pool = tokio::net::UdpSocket::from_std(local()).unwrap();
        let port = pool.local_addr().unwrap().port();
        actix_rt::spawn(pool::serve::serve(pool::serve::Setup {
            socket: pool,
            clock,
            catalog: Arc::clone(&catalog),
            view: Arc::new(Cell::new(View::default())),
            own: [127, 0, 0, 1].into(),
            tolerance: Tolerance::default(),
        }));
        let held = Rc::new(StdCell::new(false));
        let mut nodes = Vec::new();
        for at in 0..NODES {
            let me: Name = format!("node-{at}").into();
            let members = vec![member(&me)];
            let view = Arc::new(Cell::new(View {
                is_complete,
                ..View::from(members)
            }));
            let socket = tokio::net::UdpSocket::from_std(local()).unwrap();
            let broker = Broker::new(permit::Setup {
                socket,
                pool_port: port,
                boot: at as u64,
                clock,
                catalog: Arc::clone(&catalog),
                view: Arc::clone(&view),
                tolerance: Tolerance::default(),
            });
            actix_rt::spawn(Rc::clone(&broker).run());
            let (sender, _) = mpsc::channel(1);
            let crash_detector = Detector::new(detector::Setup {
                me: me.clone(),
                clock,
                store: Client::new(store.listen(at).await.unwrap()),
                catalog: Arc::clone(&catalog),
                view: Arc::clone(&view),
                notes: sender,
                count: Count::default(),
            });
            let inputs = detector::Inputs {
                notes: mpsc::channel(1).1,
                queries: mpsc::channel(1).1,
            };
            let verdicts = Client::new(store.listen(at).await.unwrap());
            actix_rt::spawn(Rc::clone(&crash_detector).run(
                verdicts,
                link::Pool::new(me.clone()),
                inputs,
            ));
            let phase = Arc::new(Cell::new(Phase::Starting));
            let owned = Work::default();
            let jobs = Jobs::new(Setup {
                me,
                zone: "z0".into(),
                clock,
                store: Client::new(store.listen(at).await.unwrap()),
                row_bytes: 65_536,
                result_retention: Duration::from_secs(120),
                broker,
                detector: Rc::clone(&crash_detector),
                catalog: Arc::clone(&catalog),
                view,
                phase: Arc::clone(&phase),
                owned: owned.clone(),
                count: Count::new(|_| {}),
            });
            let feed = Held {
                store: Client::new(store.listen(at).await.unwrap()),
                held: Rc::clone(&held),
            };
            actix_rt::spawn(Rc::clone(&jobs).run(feed));
            nodes.push(Node {
                jobs,
                detector: crash_detector,
                phase,
                owned,
            });
        }
        // A node takes over no jobs in its first second.
        sleep(Duration::from_secs(1)).await;
        Self {
            store,
            nodes,
            history,
            route,
            catalog,
            replica: RefCell::new(replica),
            held,
        }
    }

    /// Replaces the endpoint each time that it has crashed, for `length`.
    #[allow(dead_code, reason = "each test file uses a part of it")]
    pub async fn replace_crashed(&self, length: Duration) {
        let until = Instant::now() + length;
        let mut number = 1;
        while Instant::now() < until {
            sleep(POLL).await;
            if !self.replica.borrow().is_down() {
                continue;
            }
            number += 1;
            let id = format!("i-{number}");
            let (replica, address) = start_replica(&id, &self.history).await;
            self.replica.replace(replica);
            self.catalog.publish(catalog(&self.route, &id, address));
        }
    }

    /// Submits a job of one item to the first node, which must accept it.
    pub async fn submit(&self, path: &str) {
        assert_eq!(self.try_submit(path).await, StatusCode::ACCEPTED);
    }

    /// Does the same with an item of this many tokens.
    #[allow(dead_code, reason = "each test file uses a part of it")]
    pub async fn submit_long(&self, path: &str, tokens: u64) {
        self.serve(0);
        let status = self.submit_items(&[ITEM.to_owned()], path, tokens).await;
        assert_eq!(status, StatusCode::ACCEPTED);
    }

    /// Submits a job of one item to the first node and returns the status of the response.
    pub async fn try_submit(&self, path: &str) -> StatusCode {
        self.serve(0);
        self.submit_anyway(path).await
    }

    /// Does the same in whatever phase the node is.
    pub async fn submit_anyway(&self, path: &str) -> StatusCode {
        self.submit_items(&[ITEM.to_owned()], path, TOKENS).await
    }

    /// Submits a job of items with these ids and the same path to the first node, and returns the
    /// status of the response.
    pub async fn submit_items(&self, ids: &[String], path: &str, tokens: u64) -> StatusCode {
        let item = |id: &String| {
            format!(
                "{{\"id\":\"{id}\",\"path\":\"{path}\",\
                 \"headers\":{{\"X-Token-Count\":\"10,{tokens}\"}},\"tokens\":{}}}",
                tokens + 10
            )
        };
        let items: Vec<String> = ids.iter().map(item).collect();
        let body = format!("{{\"requests\":[{}]}}", items.join(","));
        let answer = self.nodes[0]
            .jobs
            .submit(&self.route, None, &JOB.into(), Bytes::from(body))
            .await;
        answer.status()
    }

    /// Lets a node run the jobs that it owns.
    pub fn serve(&self, at: usize) {
        self.nodes[at].phase.publish(Phase::Serving);
    }

    /// Returns the number of jobs that a node owns, which its exit waits for.
    #[allow(dead_code, reason = "each test file uses a part of it")]
    pub fn owned(&self, at: usize) -> usize {
        self.nodes[at].owned.count()
    }

    /// Stops a node, which hands its jobs over.
    #[allow(dead_code, reason = "each test file uses a part of it")]
    pub fn leave(&self, at: usize) {
        self.nodes[at].phase.publish(Phase::Leaving);
    }

    /// Has the first node find that the online request with the same content as the item at `path`
    /// crashes endpoints.
    #[allow(dead_code, reason = "each test file uses a part of it")]
    pub async fn condemn(&self, path: &str) {
        let request = Fingerprint::of(HOST, None, path, b"");
        let subject = Subject::new(request, SERVICE, None, std::iter::empty());
        let detector = &self.nodes[0].detector;
        for number in 0..3 {
            let crash = Crash {
                endpoint: format!("crashed-{number}").into(),
                incarnation: number,
            };
            let observation = Observation::Crashed(request, crash, Stage::Early.into());
            detector.apply_note(&observation.note(1));
        }
        while detector.status(&subject) != Status::Condemned {
            sleep(POLL).await;
        }
    }

    /// Makes each event of the endpoint take longer by this factor.
    #[allow(dead_code, reason = "each test file uses a part of it")]
    pub fn slow_down(&self, slowdown: u32) {
        let fault = Fault {
            slowdown,
            ..Fault::default()
        };
        self.replica.borrow().fault.set(fault);
    }

    /// Holds back what the nodes read of the table of jobs, or lets it through again.
    #[allow(dead_code, reason = "each test file uses a part of it")]
    pub fn hold_feeds(&self, held: bool) {
        self.held.set(held);
    }

    /// Ends the job in the store.
    #[allow(dead_code, reason = "each test file uses a part of it")]
    pub fn end(&self) {
        self.store.replace(record::TABLE, JOB, |row| {
            let mut record = Record::decode(row).unwrap();
            record.ended = true;
            record.encode()
        });
    }

    /// Reads the job's results at a node, which waits up to `wait` for the first one.
    #[allow(dead_code, reason = "each test file uses a part of it")]
    pub async fn read(&self, at: usize, wait: Duration) -> Response<Bytes> {
        let reader = Reader::Unrestricted;
        self.nodes[at]
            .jobs
            .read(&reader, &JOB.into(), 0, wait)
            .await
    }

    /// Returns the number of items that have ended at the endpoint.
    #[allow(dead_code, reason = "each test file uses a part of it")]
    pub fn ended_items(&self) -> usize {
        let history = self.history.borrow();
        let has_ended = |runs: &&Vec<Run>| runs.iter().any(|run| run.ended.is_some());
        history.values().filter(has_ended).count()
    }

    /// Returns the number of results in the job's row.
    #[allow(dead_code, reason = "each test file uses a part of it")]
    pub fn stored_results(&self) -> usize {
        let rows = self.store.rows.borrow();
        let (rows, _) = rows.get((record::TABLE, ""), JOB, "", 1);
        let value = rows.first().and_then(|row| row.value.as_ref());
        value.map_or(0, |value| {
            let row = STANDARD.decode(value).unwrap();
            Record::decode(&row).unwrap().done.len()
        })
    }

    /// Returns the number of runs of the item.
    pub fn runs(&self) -> usize {
        self.history.borrow().get(ITEM).map_or(0, Vec::len)
    }

    /// Waits until the item has run `runs` times. Returns false if it has not within `wait`.
    #[allow(dead_code, reason = "each test file uses a part of it")]
    pub async fn wait_runs(&self, runs: usize, wait: Duration) -> bool {
        let until = Instant::now() + wait;
        while self.runs() < runs && Instant::now() < until {
            sleep(POLL).await;
        }
        self.runs() >= runs
    }
}
