//! Where the body of an endpoint's answer ended.

use auburnspoke::answer::{End, Framing, Tracker};
use googletest::prelude::*;
use hyper::HeaderMap;
use hyper::header::{CONTENT_LENGTH, HeaderName, HeaderValue, TRANSFER_ENCODING};

fn end(parts: &[&str]) -> End {
    let mut tracker = Tracker::new(Framing::Connection, true);
    for part in parts {
        tracker.push(part.as_bytes());
    }
    tracker.end()
}

#[gtest]
fn end_after_event() {
    for whole in [
        "id: 1\ndata: x\n\n",
        "id: 1\r\ndata: x\r\n\r\n",
        "id: 1\rdata: x\r\r",
        "id: 1\ndata: x\n\n\n",
        "id: 1\ndata: x\n\n: done\n",
    ] {
        expect_that!(end(&[whole]), eq(End::Whole), "{whole:?}");
        for at in 1..whole.len() {
            let (first, rest) = whole.split_at(at);
            expect_that!(end(&[first, rest]), eq(End::Whole), "{whole:?} cut at {at}");
        }
    }
}

#[gtest]
fn end_inside_event() {
    for part in [
        "i",
        "id: 1\n",
        "id: 1\ndata: x\n",
        "id: 1\r\ndata: x\r\n",
        "id: 1\rdata: x\r",
        "id: 1\ndata: x\n\nid: 2\nda",
        "id: 1\ndata: x\n\n: no",
    ] {
        expect_that!(end(&[part]), eq(End::InsideEvent), "{part:?}");
    }
}

#[gtest]
fn end_not_stream() {
    let mut tracker = Tracker::new(Framing::Connection, false);
    tracker.push(b"{\"half\":");
    expect_that!(tracker.end(), eq(End::Whole));
}

#[gtest]
fn framing_each() {
    let framing = |headers: &[(HeaderName, &'static str)]| {
        let headers = headers
            .iter()
            .map(|(name, value)| (name.clone(), HeaderValue::from_static(value)));
        Framing::of(&headers.collect::<HeaderMap>())
    };
    expect_that!(framing(&[]), eq(Framing::Connection));
    expect_that!(framing(&[(CONTENT_LENGTH, "4")]), eq(Framing::Length));
    expect_that!(
        framing(&[(TRANSFER_ENCODING, "chunked")]),
        eq(Framing::Chunks)
    );
}
