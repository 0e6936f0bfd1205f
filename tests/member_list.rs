//! How a node meets the nodes on the platform's list.

#[path = "support/member.rs"]
mod support;

use std::net::SocketAddr;
use std::time::Duration;

use auburnspoke::clock::Time;
use auburnspoke::member::gossip::{Action, Gossip, Input};
use auburnspoke::member::record::Record;
use auburnspoke::member::tuning::Tuning;
use auburnspoke::member::{Member, State};
use auburnspoke::table::Vm;
use auburnspoke::wire::control::{Body, Frame, Head, Update};
use googletest::prelude::*;

const TICK: Duration = Duration::from_millis(50);

fn address(at: usize) -> SocketAddr {
    let octet = |value| u8::try_from(value).unwrap();
    SocketAddr::from(([10, 1, octet(at / 250), octet(at % 250 + 1)], 7_000))
}

fn vm(at: usize) -> Vm {
    Vm {
        name: format!("node-{at}").into(),
        link: address(at).to_string().into(),
        control: address(at).to_string().into(),
        address: address(at).to_string().into(),
        zone: "z0".into(),
        leaving: false,
    }
}

struct Node {
    now: Time,
    gossip: Gossip,
}

impl Node {
    fn new() -> Self {
        let now = Time::from_millis(1_000);
        let me = Member {
            control: address(0).to_string().into(),
            ..support::member("me")
        };
        let tuning = Tuning {
            tick: TICK,
            ..Tuning::default()
        };
        Self {
            now,
            gossip: Gossip::new(now, me, 1, Vec::new(), tuning),
        }
    }

    fn input(&mut self, input: Input) {
        self.gossip.step(self.now, input);
    }

    /// Receives the introduction of a process at the address of `at`.
    fn meet(&mut self, at: usize, name: &str, incarnation: u64) {
        let head = Head {
            from: name.into(),
            boot: incarnation,
            incarnation,
            in_force: 0,
            committed: 0,
        };
        let member = Member {
            control: address(at).to_string().into(),
            incarnation,
            ..support::member(name)
        };
        let record = Record {
            member,
            boot: incarnation,
        };
        let frame = Frame {
            head,
            body: Body::Hello { answer: false },
            updates: vec![Update::Record(record)],
        };
        let source = address(at);
        self.input(Input::Frame { source, frame });
    }

    fn state(&self, name: &str) -> Option<State> {
        self.gossip.view().find(name).map(|member| member.state)
    }

    /// Lets time pass, and returns the addresses to which introductions were sent.
    fn run(&mut self, length: Duration) -> Vec<SocketAddr> {
        let until = self.now + length;
        let mut introduced = Vec::new();
        while self.now < until {
            self.now += TICK;
            for action in self.gossip.step(self.now, Input::Tick) {
                if let Action::Send { to, frame } = action
                    && frame.body == (Body::Hello { answer: false })
                {
                    introduced.push(to);
                }
            }
        }
        introduced
    }
}

/// Guards against a start that takes longer the more nodes there are: until a node has met the
/// others it runs pools of its own.
#[gtest]
fn introductions_large_list() {
    for count in [300, 2_000] {
        let mut node = Node::new();
        node.input(Input::Roster((0..=count).map(vm).collect()));
        let introduced = node.run(Duration::from_millis(1_100));
        expect_that!(introduced.len(), eq(count));
    }
}

/// Guards against two introductions for each pair of nodes that start together.
#[gtest]
fn introductions_answered() {
    let mut node = Node::new();
    node.input(Input::Roster((0..=300).map(vm).collect()));
    node.meet(7, "node-7", 5);
    let introduced = node.run(Duration::from_secs(2));
    expect_that!(introduced.len(), eq(299));
    expect_false!(introduced.contains(&address(7)));
}

/// Guards against treating a node that was not met yet as gone.
#[gtest]
fn view_complete_after_introductions() {
    let mut node = Node::new();
    node.run(Duration::from_secs(5));
    expect_false!(node.gossip.view().is_complete);
    let list = |count| Input::Roster((0..=count).map(vm).collect());
    for count in [100, 200, 300] {
        node.input(list(count));
        node.run(Duration::from_secs(5));
        expect_false!(node.gossip.view().is_complete);
    }
    node.input(list(300));
    node.run(Duration::from_millis(1_500));
    expect_false!(node.gossip.view().is_complete);
    node.run(Duration::from_secs(1));
    expect_true!(node.gossip.view().is_complete);
}

/// A node that is alone on the list has nobody to wait for.
#[gtest]
fn view_complete_alone() {
    let mut node = Node::new();
    node.input(Input::Roster(vec![vm(0)]));
    node.input(Input::Roster(vec![vm(0)]));
    node.run(Duration::from_millis(1_200));
    expect_true!(node.gossip.view().is_complete);
}

/// Guards against a restart of all nodes after which each suspects every earlier process for
/// seconds, during which callers are sent to pools and readers that are gone.
#[gtest]
fn process_replaced_at_its_address() {
    let mut node = Node::new();
    node.meet(7, "node-7.a", 5);
    node.meet(8, "node-8.a", 5);
    node.meet(7, "node-7.b", 9);
    expect_that!(node.state("node-7.a"), some(eq(State::Dead)));
    expect_that!(node.state("node-7.b"), some(eq(State::Alive)));
    expect_that!(node.state("node-8.a"), some(eq(State::Alive)));
}

/// The clock of a VM was set back, so its new process seems to be the older one.
#[gtest]
fn process_with_earlier_clock() {
    let mut node = Node::new();
    node.meet(7, "node-7.a", 9);
    node.meet(7, "node-7.b", 5);
    expect_that!(node.state("node-7.a"), some(eq(State::Alive)));
    expect_that!(node.state("node-7.b"), some(eq(State::Alive)));
}
