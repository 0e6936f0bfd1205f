//! The client of the users' store, against the stand-in.

use std::rc::Rc;

use auburnspoke::edge::roster::Registered;
use auburnspoke::platform::store::Client;
use auburnspoke::table::{Roster as _, Table as _, Transaction, Vm};
use googletest::prelude::*;
use standin::site::store::Store;

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

fn vm(at: usize) -> Vm {
    Vm {
        name: format!("node-{at}").into(),
        link: format!("127.0.0.1:{at}").into(),
        control: format!("127.0.0.1:{at}").into(),
        address: "127.0.0.1:1".into(),
        zone: "z0".into(),
        leaving: false,
    }
}

#[gtest]
fn scan_other_prefix_behind() {
    // A caller reads the results of a small job among many. Were the rows of the
    // jobs behind it read as well, and thrown away, every reading would carry a
    // megabyte and hold its reader up.
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

#[gtest]
fn get_other_row_behind() {
    run(|store, client| async move {
        let row = Transaction::default().put("job/b", "x");
        client.transact(row).await.unwrap();
        expect_that!(client.get_row("job/a").await.unwrap(), none());
        expect_that!(store.rows_read.get(), eq(0));
    });
}

#[gtest]
fn list_again() {
    // Every node of a large fleet reads who else there is, again and again.
    // Only what is new may be read, or each start of all nodes would cost the
    // square of their number.
    run(|store, client| async move {
        for at in 0..50 {
            let other = Registered::new(client.clone(), vm(at));
            other.list().await.unwrap();
        }
        let me = Registered::new(client.clone(), vm(50));
        expect_that!(me.list().await.unwrap().len(), eq(51));
        let read = store.rows_read.get();
        Registered::new(client.clone(), vm(51))
            .list()
            .await
            .unwrap();
        let newcomer = store.rows_read.get() - read;
        expect_that!(me.list().await.unwrap().len(), eq(52));
        expect_that!(store.rows_read.get() - read - newcomer, eq(0));
    });
}

#[gtest]
fn list_after_removal() {
    run(|_, client| async move {
        let me = Registered::new(client.clone(), vm(1));
        Registered::new(client.clone(), vm(2)).list().await.unwrap();
        expect_that!(me.list().await.unwrap().len(), eq(2));
        let row = Transaction::default().delete("node/127.0.0.1-2");
        client.transact(row).await.unwrap();
        expect_that!(me.list().await.unwrap().len(), eq(1));
    });
}
