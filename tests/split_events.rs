//! Splitting streams of server-sent events into complete events.

use auburnspoke::split::{Fault, Splitter, data};
use googletest::prelude::*;
use proptest::prelude::*;

#[gtest]
fn push_whole_event() {
    let mut splitter = Splitter::default();
    let events = splitter.push(b"id: 4\ndata: x\n\n").unwrap();
    expect_that!(events.last, some(eq(4)));
    expect_that!(&events.bytes[..], eq(b"id: 4\ndata: x\n\n"));
    expect_that!(splitter.rest().is_empty(), eq(true));
}

/// An endpoint fails in the middle of an event. The partial event must not reach the caller,
/// because the next endpoint sends it complete.
#[gtest]
fn push_partial_event() {
    let mut splitter = Splitter::default();
    let events = splitter.push(b"id:1\ndata:a\n\nid:2\nda").unwrap();
    expect_that!(&events.bytes[..], eq(b"id:1\ndata:a\n\n"));
    expect_that!(events.last, some(eq(1)));
    expect_that!(&splitter.rest()[..], eq(b"id:2\nda"));
}

#[gtest]
fn push_carriage_returns() {
    let mut splitter = Splitter::default();
    let events = splitter.push(b"id: 7\r\ndata: x\r\n\r\n").unwrap();
    expect_that!(events.last, some(eq(7)));
}

/// Guards against bytes of a faulty endpoint that reach callers and results as events, because they
/// have the form of an event.
#[gtest]
fn push_foreign_event() {
    const SOUND: &[u8] = b"id: 1\ndata: x\n\n";
    for foreign in [
        "data: core dump\n\n",
        "core dump\n\n",
        "id: x\ndata: core dump\n\n",
        "id: 1\ndata: core dump\n\n",
        "id: 0\ndata: core dump\n\n",
    ] {
        let foreign = foreign.as_bytes();
        // It comes by itself, behind a sound event in one piece, and before one.
        let mut splitter = Splitter::default();
        expect_that!(splitter.push(SOUND).is_some(), eq(true));
        expect_that!(splitter.push(foreign), none(), "{foreign:?}");
        expect_that!(splitter.fault(), some(eq(Fault::OutOfOrder)), "{foreign:?}");
        expect_that!(splitter.push(b"id: 2\ndata: x\n\n"), none());

        let mut splitter = Splitter::default();
        let events = splitter
            .push(&[SOUND, foreign, b"id: 2\ndata: x\n\n"].concat())
            .unwrap();
        expect_that!(&events.bytes[..], eq(SOUND), "{foreign:?}");
        expect_that!(events.last, some(eq(1)));
        expect_that!(splitter.fault(), some(eq(Fault::OutOfOrder)), "{foreign:?}");

        let mut splitter = Splitter::after(Some(1));
        expect_that!(splitter.push(foreign), none(), "{foreign:?}");
        expect_that!(splitter.fault(), some(eq(Fault::OutOfOrder)), "{foreign:?}");
    }
}

/// Guards against comments that are read again with each one that follows: an endpoint that sends
/// many keeps a core busy.
#[gtest]
fn push_many_comments() {
    let mut splitter = Splitter::default();
    let comments = b": nothing\n\n".repeat(80_000);
    for part in comments.chunks(700) {
        expect_that!(splitter.push(part), none());
    }
    let events = splitter.push(b"id: 1\ndata: x\n\n").unwrap();
    expect_that!(events.last, some(eq(1)));
    expect_that!(events.bytes.len(), eq(comments.len() + 15));
}

/// An endpoint sends megabytes without a boundary, which must not fill the node's memory.
#[gtest]
fn push_endless_event() {
    let mut splitter = Splitter::default();
    let chunk = vec![b'x'; 256 * 1024];
    for _ in 0..5 {
        expect_that!(splitter.push(&chunk), none());
    }
    expect_that!(splitter.fault(), some(eq(Fault::TooLong)));
}

#[gtest]
fn data_lines_joined() {
    let events = b"id: 1\ndata: a\ndata: b\n\nevent: x\ndata:c\n\n: note\n\n";
    expect_that!(data(events), eq(&vec![b"a\nb".to_vec(), b"c".to_vec()]));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, ..ProptestConfig::default() })]

    /// For any segmentation by the network, the events are the same, and none is lost, duplicated
    /// or partial.
    #[test]
    fn push_any_cuts(cuts in proptest::collection::vec(1_usize..40, 1..60), crlf: bool) {
        let end = if crlf { "\r\n" } else { "\n" };
        let stream: Vec<String> = (1..20)
            .map(|number| format!("id: {number}{end}data: {}{end}{end}", "y".repeat(number % 7)))
            .collect();
        let stream = stream.concat();
        let mut splitter = Splitter::default();
        let mut out = Vec::new();
        let mut last = None;
        let mut rest = stream.as_bytes();
        let mut cuts = cuts.into_iter().cycle();
        while !rest.is_empty() {
            let cut = cuts.next().unwrap().min(rest.len());
            let (now, later) = rest.split_at(cut);
            rest = later;
            if let Some(events) = splitter.push(now) {
                prop_assert!(events.last > last);
                let blank = [end, end].concat();
                prop_assert!(events.bytes.ends_with(blank.as_bytes()));
                last = events.last;
                out.extend_from_slice(&events.bytes);
            }
        }
        prop_assert_eq!(last, Some(19));
        prop_assert_eq!(out, stream.into_bytes());
    }
}
