//! Membership in virtual time: convergence and traffic.

#[path = "member/net.rs"]
mod net;

use auburnspoke::member::State;
use auburnspoke::member::gossip::{Action, Input};
use auburnspoke::wire::control::Note;
use googletest::prelude::*;
use net::{Net, secs};

#[gtest]
fn fleet_forms_from_seeds() {
    for count in [3, 12, 48] {
        let net = Net::fleet(1, count);
        expect_that!(net.converged(count), eq(true));
        expect_that!(
            net.changed_to(State::Suspect, net.now - secs(60)),
            is_empty()
        );
    }
}

#[gtest]
fn in_force_is_known_everywhere() {
    let mut net = Net::fleet(2, 48);
    net.input(5, Input::InForce(9));
    let took = net.run_until(secs(13), |net| {
        net.nodes.values().all(|node| node.gossip.committed() == 9)
    });
    expect_that!(took, some(lt(secs(4))));
    let name = net::member(5).name;
    let took = net.run_until(secs(13), |net| {
        let mut views = net.nodes.values().map(|node| node.gossip.view());
        views.all(|view| view.find(&name).map(|m| m.config_version) == Some(9))
    });
    expect_that!(took, some(lt(secs(4))));
}

#[gtest]
fn committed_is_known_everywhere() {
    for seed in 0..5 {
        let mut net = Net::fleet(seed, 48);
        // No node has it in force yet; the announcement alone must be fast
        // enough.
        net.input(6, Input::Committed(10));
        let took = net.run_until(secs(13), |net| {
            net.nodes.values().all(|node| node.gossip.committed() == 10)
        });
        expect_that!(took, some(lt(secs(2))));
    }
}

#[gtest]
fn note_reaches_each_once() {
    let mut net = Net::fleet(3, 48);
    net.duplication = 0.3;
    let note = Note {
        topic: 1,
        key: "job-1".into(),
        version: 1,
        value: bytes::Bytes::from_static(b"x"),
    };
    net.input(0, Input::Note(note.clone()));
    net.run(secs(20));
    for node in net.nodes.values() {
        let notes = node.actions.iter();
        let received = notes
            .filter(|(_, a)| *a == Action::Note(note.clone()))
            .count();
        let own = usize::from(node.address == net::address(0));
        expect_that!(received, eq(1 - own));
    }
}

/// Every node reports a thousand organisations to their owners. The reports must
/// not delay the dissemination of a node's death.
#[gtest]
fn direct_does_not_delay_gossip() {
    let mut net = Net::fleet(4, 12);
    let before = net.node(0).sent.bytes;
    net.kill(11);
    let mut seconds = 0;
    while !net.all_see(11, State::Dead) && seconds < 60 {
        for from in 0..11 {
            for message in 0..1_000 {
                let to = net::member((from + 1 + message % 10) % 11).name;
                let value = bytes::Bytes::from_static(&[1; 60]);
                let topic = 1;
                net.input(from, Input::Direct { to, topic, value });
            }
        }
        net.run(secs(1));
        seconds += 1;
    }
    expect_that!(seconds, lt(12));
    let spent = net.node(0).sent.bytes - before;
    // 7 kB/s and the burst for direct messages, 5 kB/s for gossip, and probes.
    expect_that!(spent, lt(28_000 + seconds * 13_000));
}
