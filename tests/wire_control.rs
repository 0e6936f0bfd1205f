//! Decoding of valid and invalid datagrams.

use auburnspoke::member::record::Record;
use auburnspoke::member::{Member, State};
use auburnspoke::wire::control::{
    Body, Error, Frame, Head, MAX_DATAGRAM_BYTES, MAX_VALUE_BYTES, Note, Update, decode, encode,
};
use bytes::Bytes;
use googletest::prelude::*;
use proptest::prelude::{any, prop_assert, proptest};

fn record(state: State) -> Record {
    let member = Member {
        name: "node-001".into(),
        address: "203.0.113.101:8080".into(),
        link: "203.0.113.101:9090".into(),
        control: "203.0.113.101:7070".into(),
        zone: "muscat-availability-zone-1".into(),
        incarnation: u64::from(u32::MAX) * 8,
        state,
        config_version: u64::MAX,
        power: 0,
    };
    let boot = u64::MAX;
    Record { member, boot }
}

fn updates() -> Vec<Update> {
    let states = [State::Alive, State::Suspect, State::Leaving, State::Dead];
    let mut all: Vec<Update> = states.map(|s| Update::Record(record(s))).to_vec();
    all.push(Update::InForce {
        version: u64::MAX,
        prints: Bytes::from_static(&[0xff; 16]),
    });
    all.push(Update::Committed(u64::MAX));
    all.push(Update::Note(Note {
        topic: 255,
        key: "organisation/job".into(),
        version: u64::MAX,
        value: Bytes::from_static(&[7; 300]),
    }));
    all
}

fn frame(body: Body, updates: Vec<Update>) -> Frame {
    let head = Head {
        from: "node-001".into(),
        boot: u64::MAX,
        incarnation: 1,
        in_force: 2,
        committed: 3,
    };
    Frame {
        head,
        body,
        updates,
    }
}

fn bodies() -> Vec<Body> {
    let name = "node-002";
    vec![
        Body::Ping {
            seq: 1,
            to: name.into(),
        },
        Body::Ack {
            seq: u32::MAX,
            of: name.into(),
        },
        Body::Probe {
            seq: 3,
            to: name.into(),
            address: "10.0.0.1:1".into(),
        },
        Body::Gossip,
        Body::Table,
        Body::Sync {
            digests: Bytes::from_static(&[0xff; 512]),
            answer: true,
        },
        Body::Direct {
            topic: 9,
            value: Bytes::from_static(&[1; MAX_VALUE_BYTES]),
        },
    ]
}

#[gtest]
fn decode_reads_what_encode_wrote() {
    for body in bodies() {
        let sent = frame(body, updates());
        match encode(&sent) {
            Ok(bytes) => expect_that!(decode(&bytes), ok(eq(&sent))),
            Err(error) => expect_that!(error, eq(Error::TooLong)),
        }
    }
}

/// A node fills datagrams by the sizes that [`Update::size`] returns. If an update took more,
/// the datagram would exceed the limit and its updates would never be sent.
#[gtest]
fn size_is_never_too_small() {
    let empty = encode(&frame(Body::Gossip, Vec::new())).unwrap().len();
    for update in updates() {
        let claimed = update.size();
        let taken = encode(&frame(Body::Gossip, vec![update])).unwrap().len() - empty;
        expect_that!(taken, le(claimed + 4));
    }
}

/// A datagram is truncated by the network or by a faulty sender.
#[gtest]
fn decode_truncated_is_malformed() {
    let bytes = encode(&frame(bodies().remove(0), updates().split_off(3))).unwrap();
    for len in 0..bytes.len() {
        expect_that!(decode(&bytes[..len]), err(eq(&Error::Malformed)), "{len}");
    }
}

/// During an upgrade nodes of two versions run side by side. A node must not mistake an unknown
/// kind or version for another one.
#[gtest]
fn decode_unknown_is_refused() {
    let whole = encode(&frame(Body::Gossip, Vec::new())).unwrap();
    let mut version = whole.clone();
    version[0] = 2;
    expect_that!(decode(&version), err(eq(&Error::Version)));
    let mut longer = whole.clone();
    longer.push(0);
    expect_that!(decode(&longer), err(eq(&Error::Malformed)));
    expect_that!(
        decode(&[1; MAX_DATAGRAM_BYTES + 1]),
        err(eq(&Error::TooLong))
    );
    let at = whole
        .windows(2)
        .position(|pair| pair == [0x61, b'g'])
        .unwrap();
    let mut kind = whole;
    kind[at + 1] = b'z';
    expect_that!(decode(&kind), err(eq(&Error::Malformed)));
}

proptest! {
    /// A byte of a datagram is corrupted. Decoding must terminate and never return a frame
    /// above the limits.
    #[test]
    fn decode_flipped_does_not_panic(at in 0_usize..400, with in any::<u8>(), kind in 0_usize..7) {
        let sent = frame(bodies().remove(kind), updates().split_off(4));
        let mut bytes = encode(&sent).unwrap_or_default();
        if let Some(byte) = bytes.get_mut(at) {
            *byte = with;
        }
        if let Ok(frame) = decode(&bytes) {
            prop_assert!(frame.updates.len() <= MAX_DATAGRAM_BYTES);
        }
    }

    /// The control address receives random bytes.
    #[test]
    fn decode_noise_does_not_panic(noise in proptest::collection::vec(any::<u8>(), 0..1_300)) {
        let mut bytes = vec![1];
        bytes.extend(noise);
        let _ = decode(&bytes);
    }
}
