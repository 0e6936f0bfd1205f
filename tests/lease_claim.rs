//! Lease claims of nodes that are paused, restarted and disconnected from the
//! table, with lost answers and delayed writes.

use std::collections::BTreeMap;
use std::time::Duration;

use auburnspoke::clock::{Clock, Time};
use auburnspoke::config::row;
use auburnspoke::lease::elector::Elector;
use auburnspoke::lease::{Action, Claim, Input, Record, Setting};
use auburnspoke::table::fault::Command;
use auburnspoke::table::memory::Platform;
use auburnspoke::table::{Table as _, Transaction};
use futures_util::FutureExt as _;
use googletest::prelude::*;
use proptest::prelude::{ProptestConfig, any, proptest};
use proptest::test_runner::RngSeed;
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

const STEP: Duration = Duration::from_millis(200);
const NODES: usize = 3;
const START: Time = Time::from_millis(3_600_000);

/// A message in transit to the table or back to a node.
enum Message {
    Read {
        node: usize,
        run: u64,
        token: u64,
    },
    Write {
        node: usize,
        run: u64,
        token: u64,
        transaction: Transaction,
    },
    Answer {
        node: usize,
        run: u64,
        input: Input,
    },
}

struct Node {
    claim: Claim,
    run: u64,
    paused_until: Time,
}

struct Fleet {
    now: Time,
    random: ChaCha8Rng,
    table: Platform,
    nodes: Vec<Node>,
    messages: BTreeMap<(Time, u64), Message>,
    sent: u64,
    runs: u64,
    /// Maximum delay of a message, in milliseconds.
    slowness: u64,
    /// Holder by epoch.
    holders: BTreeMap<u64, (usize, u64)>,
    held: u32,
}

impl Fleet {
    fn new(seed: u64) -> Self {
        let mut fleet = Self {
            now: START,
            random: ChaCha8Rng::seed_from_u64(seed),
            table: Platform::in_virtual_time(START, seed),
            nodes: Vec::new(),
            messages: BTreeMap::new(),
            sent: 0,
            runs: 0,
            slowness: 100,
            holders: BTreeMap::new(),
            held: 0,
        };
        for at in 0..NODES {
            let node = fleet.start(at);
            fleet.nodes.push(node);
        }
        fleet
    }

    fn start(&mut self, at: usize) -> Node {
        self.runs += 1;
        let setting = Setting::new("placement", format!("n{at}").into(), self.runs);
        let mut claim = Claim::new(self.now, setting);
        claim.step(self.now, Input::Contend(true), &mut Vec::new());
        Node {
            claim,
            run: self.runs,
            paused_until: Time::ZERO,
        }
    }

    fn send(&mut self, message: Message) {
        self.sent += 1;
        let latency = Duration::from_millis(self.random.random_range(1..=self.slowness));
        self.messages
            .insert((self.now + latency, self.sent), message);
    }

    fn step(&mut self) {
        self.now += STEP;
        self.table.set_time(self.now);
        let due = self
            .messages
            .split_off(&(self.now + Duration::from_micros(1), 0));
        for ((_, order), message) in std::mem::replace(&mut self.messages, due) {
            self.deliver(order, message);
        }
        for at in 0..NODES {
            if self.now >= self.nodes[at].paused_until {
                self.input(at, Input::Tick);
            }
        }
        self.check();
    }

    fn deliver(&mut self, order: u64, message: Message) {
        match message {
            Message::Read { node, run, token } => {
                let result = self.table.get("lease/placement").now_or_never().unwrap();
                let input = Input::Read { token, result };
                self.send(Message::Answer { node, run, input });
            }
            Message::Write {
                node,
                run,
                token,
                transaction,
            } => {
                let result = self.table.transact(transaction).now_or_never().unwrap();
                let input = Input::Wrote { token, result };
                self.send(Message::Answer { node, run, input });
            }
            // Messages to a paused node stay in its buffers until it resumes.
            Message::Answer { node, .. } if self.now < self.nodes[node].paused_until => {
                let until = self.nodes[node].paused_until;
                self.messages.insert((until, order), message);
            }
            Message::Answer { node, run, input } => {
                if self.nodes[node].run == run {
                    self.input(node, input);
                }
            }
        }
    }

    fn input(&mut self, node: usize, input: Input) {
        let mut actions = Vec::new();
        self.nodes[node].claim.step(self.now, input, &mut actions);
        let run = self.nodes[node].run;
        for action in actions {
            match action {
                Action::Read(token) => self.send(Message::Read { node, run, token }),
                Action::Write(token, transaction) => {
                    self.send(Message::Write {
                        node,
                        run,
                        token,
                        transaction,
                    });
                }
                Action::Gained(_) | Action::Lost(_) => {}
            }
        }
    }

    /// Checks that at most one node holds the lease and no epoch has two holders.
    /// Paused nodes count, because they may resume at any moment.
    fn check(&mut self) {
        let mut holding = 0;
        for (at, node) in self.nodes.iter().enumerate() {
            let Some(held) = node.claim.held(self.now) else {
                continue;
            };
            holding += 1;
            let holder = *self.holders.entry(held.epoch).or_insert((at, node.run));
            assert_eq!(
                holder,
                (at, node.run),
                "epoch {} has two holders",
                held.epoch
            );
        }
        assert!(
            holding <= 1,
            "{holding} nodes hold the lease at {}",
            self.now
        );
        self.held += holding;
    }

    fn inject_faults(&mut self) {
        let node = self.random.random_range(0..NODES);
        match self.random.random_range(0..8) {
            0 | 1 => {
                let pause = Duration::from_millis(self.random.random_range(1_000..40_000));
                self.nodes[node].paused_until = self.now + pause;
            }
            2 => self.nodes[node] = self.start(node),
            3 => self.slowness = self.random.random_range(1..9_000),
            4 => self.slowness = 100,
            5 => self.table.command(&Command::Outage {
                ms: Some(self.random.random_range(1_000..30_000)),
                silent: self.random.random_bool(0.5),
            }),
            6 => self.table.command(&Command::LoseSome {
                probability: self.random.random_range(0.0..0.6),
                before: 0.5,
            }),
            _ => {
                let contend = self.random.random_bool(0.7);
                if self.now >= self.nodes[node].paused_until {
                    self.input(node, Input::Contend(contend));
                }
            }
        }
    }

    fn run(&mut self, seconds: u64) {
        for _ in 0..seconds * 5 {
            self.step();
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    // A holder is paused or disconnected from the table while others contend, and
    // answers are lost or delayed. If two nodes ever held the lease, both would
    // send orders to an endpoint.
    #[test]
    fn step_disturbed(seed in any::<u64>()) {
        let mut fleet = Fleet::new(seed);
        for _ in 0..60 {
            fleet.inject_faults();
            let seconds = fleet.random.random_range(0..10);
            fleet.run(seconds);
        }
        // After the faults end, a node acquires the lease.
        fleet.table.command(&Command::Clear);
        fleet.slowness = 100;
        for at in 0..NODES {
            fleet.nodes[at].paused_until = Time::ZERO;
            fleet.input(at, Input::Contend(true));
        }
        fleet.run(60);
        let held = fleet.held;
        fleet.run(60);
        proptest::prop_assert!(fleet.held - held > 250, "held for {} steps", fleet.held - held);
    }
}

/// Runs one input with immediate answers of the table.
fn settle(claim: &mut Claim, table: &Platform, now: Time, input: Input) {
    let mut actions = Vec::new();
    claim.step(now, input, &mut actions);
    for action in actions {
        match action {
            Action::Read(token) => {
                let result = table.get("lease/a").now_or_never().unwrap();
                settle(claim, table, now, Input::Read { token, result });
            }
            Action::Write(token, transaction) => {
                let result = table.transact(transaction).now_or_never().unwrap();
                settle(claim, table, now, Input::Wrote { token, result });
            }
            Action::Gained(_) | Action::Lost(_) => {}
        }
    }
}

fn claim(holder: &str, nonce: u64) -> Claim {
    let mut claim = Claim::new(START, Setting::new("a", holder.into(), nonce));
    claim.step(START, Input::Contend(true), &mut Vec::new());
    claim
}

fn record(table: &Platform) -> Record {
    let found = table.get("lease/a").now_or_never().unwrap().unwrap();
    row::decode(&found.unwrap().value).unwrap()
}

#[gtest]
fn held_paused() {
    // The holder is paused for a minute. After it resumes, it checks the lease
    // before it can read any message.
    let table = Platform::in_virtual_time(START, 1);
    let mut holder = claim("n1", 1);
    settle(&mut holder, &table, START, Input::Tick);
    expect_that!(holder.held(START), some(anything()));
    expect_that!(holder.held(START + Duration::from_secs(60)), none());
}

#[gtest]
fn contend_released() {
    // The holder releases the lease, so its successor need not wait.
    let table = Platform::in_virtual_time(START, 1);
    let mut holder = claim("n1", 1);
    settle(&mut holder, &table, START, Input::Tick);
    settle(&mut holder, &table, START, Input::Contend(false));
    expect_that!(holder.held(START), none());
    let mut next = claim("n2", 2);
    settle(&mut next, &table, START, Input::Tick);
    expect_that!(next.held(START).unwrap().epoch, eq(2));
    expect_that!(record(&table).epoch, eq(2));
}

#[gtest]
fn wrote_answer_lost() {
    // The write took effect and its answer was lost. The holder finds its own
    // record in the row and need not wait for its own lease to expire.
    let table = Platform::in_virtual_time(START, 1);
    table.command(&Command::Lose {
        prefix: "lease/".into(),
        count: 1,
        before: false,
    });
    let mut holder = claim("n1", 1);
    settle(&mut holder, &table, START, Input::Tick);
    expect_that!(holder.held(START), none());
    let later = START + Duration::from_secs(1);
    settle(&mut holder, &table, later, Input::Tick);
    expect_that!(holder.held(later).unwrap().epoch, eq(1));
}

#[gtest]
fn wrote_late_answer_of_earlier_write() {
    // A late answer to an earlier write arrives during a later write. If it were
    // attributed to the later one, it would extend the lease although that write
    // had no effect.
    let table = Platform::in_virtual_time(START, 1);
    let mut holder = claim("n1", 1);
    settle(&mut holder, &table, START, Input::Tick);
    let until = holder.held(START).unwrap().until;
    let later = START + Duration::from_secs(4);
    let mut actions = Vec::new();
    holder.step(later, Input::Tick, &mut actions);
    expect_that!(
        actions,
        elements_are![pat!(Action::Write(anything(), anything()))]
    );
    let late = Input::Wrote {
        token: 2,
        result: Ok(9),
    };
    holder.step(later, late, &mut Vec::new());
    expect_that!(holder.held(later).unwrap().until, eq(until));
}

#[gtest]
fn step_operations() {
    // Table operations of one holder and two contenders in one hour;
    // docs/design/lease.md sums them up over all leases.
    let table = Platform::in_virtual_time(START, 1);
    let mut claims = [claim("n1", 1), claim("n2", 2), claim("n3", 3)];
    let mut now = START;
    for _ in 0..3_600 * 5 {
        now += STEP;
        for claim in &mut claims {
            settle(claim, &table, now, Input::Tick);
        }
    }
    let counts = table.counts();
    println!(
        "a lease hour: {} writes, {} reads",
        counts.writes, counts.reads
    );
    expect_that!(counts.writes, le(901));
    expect_that!(counts.reads, le(1_803));
    expect_that!(record(&table).epoch, eq(1));
}

#[gtest]
fn elector_over_platform() {
    actix_rt::System::new().block_on(async {
        let table = Platform::new(1);
        let setting = Setting::new("a", "n1".into(), 1);
        let elector = Elector::new(table.clone(), Clock::start(), setting);
        actix_rt::spawn(elector.clone().run());
        elector.contend(true);
        for _ in 0..200 {
            if elector.held().is_some() {
                break;
            }
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
        expect_that!(elector.held().map(|held| held.epoch), some(eq(1)));
        elector.contend(false);
        expect_that!(elector.held(), none());
    });
}
