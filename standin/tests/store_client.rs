//! Tests the client of the users' store against the stand-in store.

use std::rc::Rc;
use std::time::Duration;

use auburnspoke::edge::roster::Registration;
use auburnspoke::platform::store::Client;
use auburnspoke::table::{Feed as _, Roster as _, Table as _, Transaction};
use googletest::prelude::*;
use standin::site::store::{Degradation, Store};

fn run<F, B>(body: B)
where
    B: FnOnce(Rc<Store>, Client) -> F,
    F: Future<Output = ()>,
{
    actix_rt::System::new().block_on(async {
        let store = Store::new();
        let client = Client::new(store.listen(0).await.unwrap());
        body(store, client).await;
    });
}

fn registered(client: &Client, at: usize) -> Rc<Registration<Client>> {
    let control = format!("127.0.0.1:{at}");
    Rc::new(Registration::new(client.clone(), control.into()))
}

#[gtest]
fn scan_later_prefix() {
    // Guards against scans that read past their prefix: when a caller reads the results of one
    // small job, the rows of later jobs would be read and dropped, up to a megabyte for each read.
    run(|store, client| async move {
        for job in 0..6 {
            for position in 0..3 {
                let key = format!("result/job-{job}.{position:04}");
                let row = Transaction::default().put(key, "x");
                client.transact(row).await.unwrap();
            }
        }
        let page = client.scan("result/job-2.", "", 60).await.unwrap();
        expect_that!(page.rows.len(), eq(3));
        expect_that!(page.more, eq(false));
        expect_that!(store.rows_read.get(), eq(3));
        let after = "result/job-2.0000";
        let page = client.scan("result/job-2.", after, 60).await.unwrap();
        expect_that!(page.rows.len(), eq(2));
        expect_that!(store.rows_read.get(), eq(5));
    });
}

/// Guards against a start at which each of a thousand nodes reads all endpoints from the store.
#[gtest]
fn first_page_rows() {
    run(|store, client| async move {
        for at in 0..140 {
            store.put(
                "servers",
                &format!("i-{at:04}"),
                &serde_json::json!({"at": at}),
            );
        }
        let small = client.first_page("servers").await.unwrap();
        expect_true!(small.is_whole);
        expect_that!(small.snapshot.rows.len(), eq(140));
        for at in 140..1_000 {
            store.put(
                "servers",
                &format!("i-{at:04}"),
                &serde_json::json!({"at": at}),
            );
        }
        let large = client.first_page("servers").await.unwrap();
        expect_false!(large.is_whole);
        expect_that!(large.snapshot.rows.len(), eq(150));
    });
}

#[gtest]
fn get_later_row() {
    run(|store, client| async move {
        let row = Transaction::default().put("job/b", "x");
        client.transact(row).await.unwrap();
        expect_that!(client.get_row("job/a").await.unwrap(), none());
        expect_that!(store.rows_read.get(), eq(0));
    });
}

#[gtest]
fn list_repeated() {
    // Every node of a large fleet lists the other nodes repeatedly. It must read only new rows, or
    // the cost of starting all nodes would grow with the square of their number.
    run(|store, client| async move {
        for at in 0..50 {
            let other = registered(&client, at);
            other.list().await.unwrap();
        }
        let me = registered(&client, 50);
        expect_that!(me.list().await.unwrap().len(), eq(51));
        let read = store.rows_read.get();
        registered(&client, 51).list().await.unwrap();
        let newcomer = store.rows_read.get() - read;
        expect_that!(me.list().await.unwrap().len(), eq(52));
        expect_that!(store.rows_read.get() - read - newcomer, eq(0));
    });
}

/// Guards against rows that carry more than an address: of a thousand nodes each reads all rows.
#[gtest]
fn list_control_addresses() {
    run(|store, client| async move {
        registered(&client, 7).list().await.unwrap();
        store.put("node", "foreign", &serde_json::json!({"x": 1}));
        let list = registered(&client, 8).list().await.unwrap();
        let controls: Vec<&str> = list.iter().map(|vm| &*vm.control).collect();
        expect_that!(
            controls,
            unordered_elements_are![eq(&"127.0.0.1:7"), eq(&"127.0.0.1:8")]
        );
    });
}

#[gtest]
fn list_after_removal() {
    run(|_, client| async move {
        let me = registered(&client, 1);
        registered(&client, 2).list().await.unwrap();
        expect_that!(me.list().await.unwrap().len(), eq(2));
        let row = Transaction::default().delete("node/127.0.0.1-2");
        client.transact(row).await.unwrap();
        expect_that!(me.list().await.unwrap().len(), eq(1));
    });
}

#[gtest]
fn list_row_refused() {
    // All nodes have restarted and the store refuses writes under overload. A node whose own row is
    // refused must still list the others. If it had only its seeds, it would run pools of its own,
    // and endpoints would refuse the requests that these pools send to them.
    run(|store, client| async move {
        registered(&client, 1).list().await.unwrap();
        let overloaded = Degradation {
            overloaded: true,
            ..Degradation::default()
        };
        store.degradations.borrow_mut().insert(0, overloaded);
        let me = registered(&client, 2);
        expect_that!(me.list().await.unwrap().len(), eq(1));
        let registering = Rc::clone(&me);
        let task = actix_rt::spawn(async move { registering.register_until_stored().await });
        store.degradations.borrow_mut().clear();
        // It returns once the row is stored.
        task.await.unwrap();
        expect_that!(me.list().await.unwrap().len(), eq(2));
    });
}

#[gtest]
fn transact_parts() {
    // The rows of nodes and of jobs are in different parts, so that their writes do not wait for
    // each other.
    run(|store, client| async move {
        registered(&client, 1).list().await.unwrap();
        let row = Transaction::default().put("job/a", "x");
        client.transact(row).await.unwrap();
        let rows = store.rows.borrow();
        expect_that!(rows.get(("node", ""), "", "", 9).0.len(), eq(0));
        expect_that!(rows.get(("node", "node"), "", "", 9).0.len(), eq(1));
        expect_that!(rows.get(("job", ""), "", "", 9).0.len(), eq(1));
    });
}

#[gtest]
fn snapshot_slow_pages() {
    // All nodes have restarted and read the whole table of endpoints at once, so each page takes
    // longer than usual. If a slow page counted as lost and the read started over, the same bytes
    // would be sent repeatedly over saturated links, and callers would be refused for seconds
    // because no endpoint is listed.
    run(|store, client| async move {
        for at in 0..1_200 {
            let value = serde_json::json!({"at": at});
            store.put("servers", &format!("i-{at:04}"), &value);
        }
        let slow = Degradation {
            delay: Duration::from_millis(300),
            ..Degradation::default()
        };
        store.degradations.borrow_mut().insert(0, slow);
        let snapshot = client.snapshot("servers").await.unwrap();
        expect_that!(snapshot.rows.len(), eq(1_200));
        expect_that!(store.rows_read.get(), eq(1_200));
    });
}

/// Guards against a node that registers again and again because each answer of a busy store
/// arrives after the call timed out, although its row is stored.
#[gtest]
fn register_answer_lost() {
    run(|store, client| async move {
        let lossy = Degradation {
            loss_rate: 1.0,
            ..Degradation::default()
        };
        store.degradations.borrow_mut().insert(0, lossy);
        let me = registered(&client, 1);
        expect_that!(me.list().await.unwrap().len(), eq(1));
        let registering = me.register_until_stored();
        let ended = tokio::time::timeout(Duration::from_secs(10), registering).await;
        expect_that!(ended, ok(anything()));
        expect_that!(store.writes.get(), eq(1));
    });
}

/// Guards against refusals, which are immediate, shortening the timeout until accepted calls,
/// which wait for their turn in a busy store, are never waited for.
#[gtest]
fn transact_slow_between_refusals() {
    run(|store, client| async move {
        let put = |key: &str| Transaction::default().put(format!("job/{key}"), "x");
        let degrade = |degradation| {
            store.degradations.borrow_mut().insert(0, degradation);
        };
        let lossy = Degradation {
            loss_rate: 1.0,
            ..Degradation::default()
        };
        degrade(lossy);
        for _ in 0..5 {
            expect_that!(client.transact(put("lost")).await, err(anything()));
        }
        let overloaded = Degradation {
            overloaded: true,
            ..Degradation::default()
        };
        degrade(overloaded);
        for _ in 0..12 {
            expect_that!(client.transact(put("refused")).await, err(anything()));
        }
        let slow = Degradation {
            delay: Duration::from_millis(700),
            ..Degradation::default()
        };
        degrade(slow);
        expect_that!(client.transact(put("slow")).await, ok(anything()));
    });
}
