//! Where the body of an endpoint's answer ended.

use std::convert::Infallible;

use auburnspoke::answer::{Content, End, Framing, Reader};
use bytes::Bytes;
use futures_util::stream;
use googletest::prelude::*;
use http_body_util::{Empty, Full, StreamBody};
use hyper::Response;
use hyper::body::Frame;
use hyper::header::TRANSFER_ENCODING;

/// Reads a stream of these parts as one that can be resumed and as one that can't. Returns where
/// it ended.
fn end(parts: &[&str]) -> End {
    let [resumable, other] = [Content::Resumable, Content::Stream].map(|content| {
        let mut reader = Reader::new(Framing::Connection, content, None);
        let mut passed = String::new();
        for part in parts {
            let events = reader.push(Bytes::copy_from_slice(part.as_bytes()));
            assert_eq!(reader.fault(), None);
            let bytes = events.map_or_else(Bytes::new, |events| events.bytes);
            passed.push_str(std::str::from_utf8(&bytes).unwrap());
        }
        let end = reader.end(false);
        if end == End::Whole {
            passed.push_str(std::str::from_utf8(&reader.rest()).unwrap());
            assert_eq!(passed, parts.concat());
        }
        end
    });
    assert_eq!(resumable, other);
    resumable
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

/// Guards against a stream that was cut off before its first event and counts as complete.
#[gtest]
fn end_no_event() {
    for part in ["", "\n", ": starting\n\n"] {
        expect_that!(end(&[part]), eq(End::NoEvent), "{part:?}");
        let mut reader = Reader::new(Framing::Connection, Content::Resumable, None);
        reader.push(Bytes::from_static(part.as_bytes()));
        expect_that!(reader.end(true), eq(End::Whole), "{part:?}");
    }
}

#[gtest]
fn end_not_stream() {
    let mut reader = Reader::new(Framing::Connection, Content::Opaque, None);
    let passed = reader.push(Bytes::from_static(b"{\"half\":"));
    expect_that!(passed.unwrap().bytes.len(), eq(8));
    expect_that!(reader.end(false), eq(End::Whole));
}

#[gtest]
fn framing_each() {
    let unknown = || StreamBody::new(stream::empty::<Result<Frame<Bytes>, Infallible>>());
    let chunked = Response::builder().header(TRANSFER_ENCODING, "chunked");
    expect_that!(
        Framing::of(&chunked.body(unknown()).unwrap()),
        eq(Framing::Chunks)
    );
    expect_that!(
        Framing::of(&Response::new(unknown())),
        eq(Framing::Connection)
    );
    let known = Full::new(Bytes::from_static(b"four"));
    expect_that!(Framing::of(&Response::new(known)), eq(Framing::Length));
    let none = Empty::<Bytes>::new();
    expect_that!(Framing::of(&Response::new(none)), eq(Framing::Length));
}
