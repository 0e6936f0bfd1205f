//! Requests that wait for a verdict.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use auburnspoke::catalog::{Catalog, Endpoint};
use auburnspoke::clock::Clock;
use auburnspoke::edge::count::Count;
use auburnspoke::member::View;
use auburnspoke::platform::store::Client;
use auburnspoke::quarantine::detector::{Run, Setup};
use auburnspoke::quarantine::evidence::Status;
use auburnspoke::quarantine::{Detector, Fingerprint, Subject};
use auburnspoke::snapshot::Cell;
use googletest::prelude::*;
use standin::site::store::Store;
use tokio::sync::mpsc;

const REQUEST: Fingerprint = Fingerprint(0xabc);

/// An endpoint whose process has ended: nothing listens at its address.
fn endpoint(at: usize) -> Endpoint {
    Endpoint {
        id: format!("i-{at}").into(),
        service: "llm".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: "z0".into(),
        slots: 4,
        ready: true,
        incarnation: 0,
        software: None,
    }
}

/// Guards against a request that is run after its hold has ended and before the verdict is reached:
/// it crashes one more endpoint each time.
#[gtest]
#[actix_rt::test]
async fn until_decided_no_verdict_yet() {
    /// More than a verdict waits for other nodes' observations.
    const WAIT: Duration = Duration::from_millis(1_500);
    let endpoints: Vec<_> = (0..3).map(endpoint).collect();
    let catalog = Catalog {
        endpoints: endpoints.iter().cloned().collect(),
        ..Catalog::default()
    };
    let store = Store::new();
    let clock = Clock::start();
    let detector = Detector::new(Setup {
        me: "n0".into(),
        clock,
        store: Client::new(store.listen(0).await.unwrap()),
        catalog: Arc::new(Cell::new(catalog)),
        view: Arc::new(Cell::new(View::from(Vec::new()))),
        notes: mpsc::channel(8).0,
        count: Count::default(),
    });
    let subject = Subject {
        request: REQUEST,
        parts: [].into(),
    };
    for endpoint in endpoints {
        let run = Run {
            id: &"a1".into(),
            subject: Some(&subject),
            written: 0,
            ran: Duration::ZERO,
            why: "broken_stream",
        };
        detector.investigate(&Arc::new(endpoint), run).await;
    }
    expect_that!(
        detector.status(&subject),
        matches_pattern!(Status::Held(gt(Duration::ZERO)))
    );
    // Verdicts are reached by a task that does not run here.
    let deadline = clock.now() + WAIT;
    Rc::clone(&detector).until_decided(&subject, deadline).await;
    expect_that!(clock.now(), ge(deadline));
}
