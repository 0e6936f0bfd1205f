//! The size of a transaction.

use auburnspoke::table::size::{MAX_BYTES, MAX_ENTRIES, entry_bytes};
use auburnspoke::table::{Expect, Transaction};
use googletest::prelude::*;

fn put(transaction: Transaction, at: usize, bytes: usize) -> Transaction {
    transaction.put(format!("result/job.{at:04}"), vec![0; bytes])
}

#[gtest]
fn has_room_entries() {
    let mut transaction = Transaction::default().check("job/j", Expect::Version(1));
    for at in 1..MAX_ENTRIES {
        expect_that!(transaction.has_room(1, 100), eq(true), "{at}");
        transaction = put(transaction, at, 10);
    }
    expect_that!(transaction.has_room(1, 100), eq(false));
}

/// Guards against a transaction that the store refuses however often it is repeated.
#[gtest]
fn has_room_bytes() {
    let mut transaction = Transaction::default().check("job/j", Expect::Version(1));
    let bytes = entry_bytes("result/job.0000", 60_000);
    while transaction.has_room(1, bytes) {
        let at = transaction.writes.len();
        transaction = put(transaction, at, 60_000);
    }
    expect_that!(transaction.encoded_bytes(), le(MAX_BYTES));
    expect_that!(transaction.encoded_bytes() + bytes, gt(MAX_BYTES));
    // Base64 takes a third more than the values.
    expect_that!(transaction.writes.len(), eq(12));
}
