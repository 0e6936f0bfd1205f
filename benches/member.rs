//! Cost of membership: CPU time per step, measured by criterion, and traffic and convergence times
//! of large fleets in virtual time, which are deterministic.
//!
//! `cargo bench --bench member -- fleet` prints the figures of the fleets, and `-- step` measures the
//! steps.

#[path = "../tests/member/net.rs"]
mod net;

use std::collections::BTreeSet;
use std::hint::black_box;

use auburnspoke::locate::locate;
use auburnspoke::member::State;
use auburnspoke::member::gossip::Input;
use criterion::Criterion;
use net::{Net, secs};

/// Fleet sizes, from the smallest through the current one to the design limit.
const COUNTS: [usize; 5] = [3, 12, 48, 150, 330];

fn bytes(net: &Net) -> f64 {
    let sent: u64 = net.nodes.values().map(|node| node.sent.bytes).sum();
    let datagrams: u64 = net.nodes.values().map(|node| node.sent.datagrams).sum();
    (sent + 28 * datagrams) as f64 / net.nodes.len() as f64
}

fn all_in_force(net: &Net, version: u64) -> bool {
    let mut views = net.nodes.values().map(|node| node.gossip.view());
    views.all(|view| view.members.iter().all(|m| m.config_version >= version))
}

fn fleet(seed: u64, count: usize) {
    let mut net = Net::new(seed);
    for at in 0..count {
        net.start(at, &[0, 1, 2]);
    }
    let formed = net.run_until(secs(300), |net| net.converged(count));
    net.run(secs(60));
    let start = bytes(&net);
    net.run(secs(60));
    let idle = (bytes(&net) - start) / 60.0;
    let start = bytes(&net);
    net.input(0, Input::InForce(1));
    let received = net.run_until(secs(300), |net| {
        net.nodes.values().all(|node| node.gossip.committed() == 1)
    });
    for at in 1..count {
        net.input(at, Input::InForce(1));
    }
    let known = net.run_until(secs(300), |net| all_in_force(net, 1));
    net.run(secs(120));
    let change = bytes(&net) - start - idle * 120.0;
    let start = bytes(&net);
    net.kill(count - 1);
    let dead = net.run_until(secs(300), |net| net.all_see(count - 1, State::Dead));
    net.run(secs(60));
    let death = bytes(&net) - start - idle * 60.0;
    println!(
        "seed {seed} members {count}: converged after {formed:?}; idle {idle:.0} B/s out; \
         a version is received after {received:?}, known to be in force after another {known:?}, \
         and takes {change:.0} B out; a death is known after {dead:?} and takes {death:.0} B out"
    );
}

/// Partitions two of the five zones of a fleet from the others for five minutes.
fn partition(seed: u64, count: usize) {
    let mut net = Net::fleet(seed, count);
    for at in (0..count).filter(|at| at % 5 < 2) {
        net.groups.insert(net::address(at), 1);
    }
    net.run(secs(300));
    let healed = net.now;
    net.groups.clear();
    let took = net.run_until(secs(600), |net| net.converged(count));
    let died = net.changed_to(State::Dead, healed).len();
    println!(
        "seed {seed} members {count}: converged {took:?} after a partition, {died} false deaths"
    );
}

/// Drops datagrams and injects no other fault, so that every suspicion is a false positive.
fn losses(count: usize) {
    for loss in [0.01, 0.05, 0.1, 0.2] {
        let mut net = Net::fleet(1, count);
        net.loss = loss;
        let start = net.now;
        net.run(secs(300));
        let suspected: BTreeSet<String> = net
            .changed_to(State::Suspect, start)
            .into_iter()
            .map(|(_, _, of)| of)
            .collect();
        let died = net.changed_to(State::Dead, start).len();
        println!(
            "loss {loss}: {} of {count} members were suspected at least once within 300 s, \
             {died} false deaths",
            suspected.len()
        );
    }
}

fn step(criterion: &mut Criterion) {
    for count in COUNTS {
        let mut net = Net::fleet(1, count);
        criterion.bench_function(
            &format!("step/a second of all {count} members"),
            |bencher| {
                bencher.iter(|| net.run(secs(1)));
            },
        );
        let view = net.node(0).gossip.view();
        criterion.bench_function(&format!("step/owners among {count}"), |bencher| {
            bencher.iter(|| black_box(view.owners()).len());
        });
        let mut ticket = 0;
        criterion.bench_function(&format!("step/locate among {count}"), |bencher| {
            bencher.iter(|| {
                ticket += 1;
                black_box(locate(&view, "zone-1", "zone-2", 3, ticket)).is_ok()
            });
        });
    }
}

fn main() {
    let wanted = std::env::args().nth(1).unwrap_or_default();
    if wanted == "fleet" {
        for seed in 1..=3 {
            for count in COUNTS {
                fleet(seed, count);
            }
            partition(seed, 150);
        }
        losses(48);
        return;
    }
    let mut criterion = Criterion::default().configure_from_args().sample_size(10);
    step(&mut criterion);
    criterion.final_summary();
}
