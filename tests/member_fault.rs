//! What members make of crashes, pauses, cuts and restarts, in virtual time.

#[path = "member/net.rs"]
mod net;

use auburnspoke::member::State;
use auburnspoke::member::gossip::{Action, Input};
use auburnspoke::table::Vm;
use auburnspoke::wire::control::Body;
use googletest::prelude::*;
use net::{Net, address, member, secs};

const COUNT: usize = 30;

/// A VM is lost without a word. Until its peers notice, callers are sent to an
/// address where nobody answers.
#[gtest]
fn crash_is_noticed_by_all() {
    for seed in 0..5 {
        let mut net = Net::fleet(seed, COUNT);
        let start = net.now;
        net.kill(7);
        let took = net.run_until(secs(60), |net| net.all_see(7, State::Dead));
        expect_that!(took, some(lt(secs(12))));
        let died = net.became(State::Dead, start);
        expect_that!(
            died.iter().all(|(_, _, of)| **of == *member(7).name),
            eq(true)
        );
    }
}

/// A VM's process stands still for two seconds, as when its host migrates it.
/// Taking it for dead would move its endpoints to others and back.
#[gtest]
fn pause_short_kills_nobody() {
    for seed in 0..5 {
        let mut net = Net::fleet(seed, COUNT);
        let start = net.now;
        net.pause(3, true);
        net.run(secs(2));
        net.pause(3, false);
        net.run(secs(30));
        expect_that!(net.became(State::Dead, start), is_empty());
        expect_that!(net.agreed(COUNT), eq(true));
    }
}

/// A process is stopped for a minute in the middle of a probe. When it wakes,
/// every answer it waited for is overdue; if it blamed the others, they would
/// all have to object, and it must itself be taken back at once.
#[gtest]
fn pause_long_is_taken_back_and_blames_nobody() {
    for seed in 0..5 {
        let mut net = Net::fleet(seed, COUNT);
        // The others are cut off for the last moment before the pause, so that
        // a probe is surely under way.
        net.groups.insert(address(3), 1);
        net.run(secs(1));
        net.pause(3, true);
        net.groups.clear();
        net.run(secs(60));
        expect_that!(net.all_see(3, State::Dead), eq(true));
        let woke = net.now;
        net.pause(3, false);
        let took = net.run_until(secs(60), |net| net.agreed(COUNT));
        expect_that!(took, some(lt(secs(5))));
        let blamed = net.became(State::Suspect, woke);
        expect_that!(blamed.len(), eq(0), "{blamed:?}");
    }
}

/// The regions lose each other for an hour and meet again. Each half has
/// declared the other dead, and when they meet no caller may be told that
/// either half is gone.
#[gtest]
fn partition_heals_without_new_deaths() {
    for (seed, lasts) in [(0, 3_600), (1, 300), (2, 300)] {
        let mut net = Net::fleet(seed, COUNT);
        for at in 0..COUNT / 2 {
            net.groups.insert(address(at), 1);
        }
        let half = |net: &mut Net| {
            let mut views = net.nodes.values().map(|node| node.gossip.view());
            views.all(|view| view.usable().count() == COUNT / 2)
        };
        expect_that!(net.run_until(secs(120), half), some(lt(secs(30))));
        net.run(secs(lasts));
        let healed = net.now;
        net.groups.clear();
        let took = net.run_until(secs(300), |net| net.agreed(COUNT));
        expect_that!(took, some(lt(secs(30))));
        net.run(secs(60));
        expect_that!(net.became(State::Dead, healed), is_empty());
    }
}

/// Two nodes can't reach each other while everyone else reaches both. Believing
/// either would drop a healthy node for the whole fleet.
#[gtest]
fn cut_between_two_suspects_nobody() {
    for one_way in [true, false] {
        let mut net = Net::fleet(4, COUNT);
        let start = net.now;
        net.cut.insert((address(1), address(2)));
        if !one_way {
            net.cut.insert((address(2), address(1)));
        }
        net.run(secs(300));
        expect_that!(net.became(State::Suspect, start), is_empty());
    }
}

/// A node still sends but hears nothing, as behind a broken firewall. It is
/// unusable and must go; it must not take healthy nodes with it by accusing
/// each of them in turn.
#[gtest]
fn cut_inbound_drops_only_the_deaf() {
    let mut net = Net::fleet(5, COUNT);
    let start = net.now;
    for at in (0..COUNT).filter(|at| *at != 4) {
        net.cut.insert((address(at), address(4)));
    }
    let took = net.run_until(secs(60), |net| net.all_see(4, State::Dead));
    expect_that!(took, some(lt(secs(15))));
    net.run(secs(300));
    let harmed = |found: Vec<(_, std::net::SocketAddr, String)>| {
        let others = found.into_iter().filter(|(_, by, _)| *by != address(4));
        others.filter(|(_, _, of)| **of != *member(4).name).count()
    };
    expect_that!(harmed(net.became(State::Suspect, start)), eq(0));
    net.cut.clear();
    expect_that!(
        net.run_until(secs(60), |net| net.agreed(COUNT)),
        some(lt(secs(30)))
    );
}

/// A process is restarted at the same address, its wall clock hours behind.
/// The others know a higher incarnation of that name; unless the new process
/// outbids it, they go on thinking it dead.
#[gtest]
fn restart_at_the_same_address_is_taken_back() {
    for noticed in [true, false] {
        let mut net = Net::fleet(6, COUNT);
        for _ in 0..3 {
            net.pause(9, true);
            net.run(secs(30));
            net.pause(9, false);
            net.run(secs(10));
        }
        let known = net.node(9).gossip.me().incarnation;
        expect_that!(known, gt(3));
        net.kill(9);
        if noticed {
            net.run(secs(30));
        }
        net.start_boot(member(9), 1, &[0, 1, 2]);
        let whole =
            |net: &mut Net| net.agreed(COUNT) && net.node(9).gossip.me().incarnation > known;
        expect_that!(net.run_until(secs(60), whole), some(lt(secs(8))));
        net.run(secs(30));
        expect_that!(net.agreed(COUNT), eq(true));
    }
}

/// A VM is replaced by one of the same name at another address. Whoever keeps
/// the old address sends requests to a place where nobody listens.
#[gtest]
fn replaced_name_moves_to_its_new_address() {
    let mut net = Net::fleet(7, COUNT);
    net.kill(9);
    let mut moved = member(100);
    moved.name = member(9).name;
    net.start_as(moved.clone(), &[0, 1, 2]);
    let took = net.run_until(secs(60), |net| {
        let mut views = net.nodes.values().map(|node| node.gossip.view());
        views.all(|view| view.find(&moved.name).map(|m| &m.control) == Some(&moved.control))
    });
    expect_that!(took, some(lt(secs(8))));
    net.run(secs(30));
    expect_that!(net.agreed(COUNT), eq(true));
}

/// A VM is replaced by one of another name at the same address. Its answers to
/// probes meant for the old name would keep the dead one alive for ever.
#[gtest]
fn replaced_address_does_not_answer_for_the_old_name() {
    let mut net = Net::fleet(8, COUNT);
    net.kill(9);
    let mut other = member(9);
    other.name = "node-new".into();
    net.start_as(other, &[0, 1, 2]);
    let took = net.run_until(secs(60), |net| {
        let mut views = net.nodes.values().map(|node| node.gossip.view());
        views.all(|view| {
            view.find("node-new").map(|m| m.state) == Some(State::Alive)
                && view
                    .find(&member(9).name)
                    .is_none_or(|m| m.state == State::Dead)
        })
    });
    expect_that!(took, some(lt(secs(20))));
}

/// An operator starts two processes of one name. Outbidding each other for
/// ever, they would keep the fleet busy and send callers now here, now there;
/// one has to give in, and it must be the same one for everybody.
#[gtest]
fn namesakes_one_gives_in() {
    let mut net = Net::fleet(9, COUNT);
    let mut twin = member(100);
    twin.name = member(9).name;
    net.start_boot(twin.clone(), u64::MAX, &[0, 1, 2]);
    net.run(secs(30));
    let gave_in = |net: &Net, at: usize| {
        let actions = &net.nodes[&address(at)].actions;
        actions
            .iter()
            .any(|(_, action)| *action == Action::Replaced)
    };
    expect_that!(gave_in(&net, 9), eq(true));
    expect_that!(gave_in(&net, 100), eq(false));
    net.kill(9);
    net.run(secs(10));
    let start = net.now;
    net.run(secs(60));
    expect_that!(net.agreed(COUNT), eq(true));
    let refuted = |net: &Net| {
        let actions = &net.nodes[&address(100)].actions;
        actions
            .iter()
            .filter(|(at, a)| *at > start && *a == Action::Refuted)
            .count()
    };
    expect_that!(refuted(&net), eq(0));
}

/// A whole availability zone goes, and the platform replaces its VMs by new
/// ones elsewhere. Callers must find the new ones and none of the old.
#[gtest]
fn zone_is_replaced() {
    let mut net = Net::fleet(10, COUNT);
    for at in (0..COUNT).filter(|at| at % 5 == 1) {
        net.kill(at);
    }
    for at in COUNT..COUNT + 6 {
        net.start(at, &[0, 1, 2]);
    }
    expect_that!(
        net.run_until(secs(120), |net| net.agreed(COUNT)),
        some(lt(secs(30)))
    );
}

/// Every node restarts while the platform's list can't be read. Only the seeds
/// of the settings are left, two of the three are gone, and their remembered
/// records are of processes that no longer are.
#[gtest]
fn restart_of_all_without_the_list() {
    let mut net = Net::fleet(11, COUNT);
    for at in 0..COUNT {
        net.kill(at);
    }
    net.run(secs(5));
    for at in 2..COUNT {
        net.start(at, &[0, 1, 2]);
    }
    expect_that!(
        net.run_until(secs(120), |net| net.agreed(COUNT - 2)),
        some(lt(secs(20)))
    );
}

/// Every node of a large fleet is killed at the same moment and starts again.
/// Until they know each other, each takes itself for the one that admits work;
/// endpoints get several times what they have slots for, and callers wait.
#[gtest]
fn restart_of_all_with_the_list() {
    const MANY: usize = 150;
    let list: Vec<Vm> = (0..MANY).map(|at| member(at).vm()).collect();
    for seed in 0..3 {
        let mut net = Net::new(seed);
        for at in 0..MANY {
            net.start(at, &[0, 1, 2]);
        }
        net.run(secs(1));
        for at in 0..MANY {
            net.input(at, Input::Roster(list.clone()));
        }
        let formed = net.run_until(secs(60), |net| net.agreed(MANY));
        expect_that!(formed, some(lt(secs(2))));
    }
}

/// A list that a node read before another one came onto it names only one of
/// the two to the other. Both must know each other all the same.
#[gtest]
fn hello_is_answered() {
    let mut net = Net::new(5);
    net.start(0, &[]);
    net.start(1, &[]);
    net.input(1, Input::Roster(vec![member(0).vm()]));
    let formed = net.run_until(secs(5), |net| net.agreed(2));
    expect_that!(formed, some(lt(secs(1))));
}

/// The nodes restart one after the other, each time all the seeds' addresses
/// are gone for the newcomers; those who stayed remember where others were.
#[gtest]
fn restart_finds_those_who_remember() {
    let mut net = Net::fleet(12, 6);
    net.groups.insert(address(5), 1);
    net.run(secs(60));
    expect_that!(net.sees(0, 5), some(eq(State::Dead)));
    // The one that was cut off has no seed left that lives.
    for at in 0..3 {
        net.kill(at);
    }
    net.groups.clear();
    let found = net.run_until(secs(60), |net| net.sees(5, 4) == Some(State::Alive));
    expect_that!(found, some(lt(secs(15))));
}

/// The network loses one datagram in ten, doubles as many and mixes their
/// order. Nobody is dead, so nobody may be taken for dead.
#[gtest]
fn loss_and_doubling_kill_nobody() {
    for seed in 0..3 {
        let mut net = Net::fleet(seed, COUNT);
        net.loss = 0.1;
        net.doubling = 0.1;
        let start = net.now;
        net.run(secs(600));
        expect_that!(net.became(State::Dead, start), is_empty());
        let by_accuser: std::collections::BTreeSet<_> = net
            .became(State::Suspect, start)
            .into_iter()
            .map(|(at, _, of)| (at.as_millis() / 10_000, of))
            .collect();
        // 30 nodes probe 18,000 times. A probe and its answer get through in
        // 0.81 of cases, a helper's four datagrams in 0.656; all four ways fail
        // in 0.19 * 0.344^3 of cases, which is 139 times.
        expect_that!(by_accuser.len(), lt(139));
        net.loss = 0.0;
        net.run(secs(30));
        expect_that!(net.agreed(COUNT), eq(true));
    }
}

/// A node that is leaving grows slow, so that probes of it fail. If it were
/// only suspected, it would count as usable again and get new work.
#[gtest]
fn leaving_member_is_never_usable_again() {
    let mut net = Net::fleet(13, COUNT);
    net.input(6, Input::Leave);
    expect_that!(
        net.run_until(secs(10), |net| net.all_see(6, State::Leaving)),
        some(lt(secs(3)))
    );
    let start = net.now;
    net.pause(6, true);
    net.run(secs(3));
    net.pause(6, false);
    net.run(secs(5));
    net.kill(6);
    expect_that!(
        net.run_until(secs(60), |net| net.all_see(6, State::Dead)),
        some(lt(secs(15)))
    );
    let usable = [State::Alive, State::Suspect];
    let back = usable.iter().flat_map(|state| net.became(*state, start));
    expect_that!(back.count(), eq(0));
}

/// A node ends in an orderly way. Nobody should have to find out by probing.
#[gtest]
fn exit_is_known_at_once() {
    let mut net = Net::fleet(14, COUNT);
    net.input(6, Input::Leave);
    net.run(secs(3));
    net.input(6, Input::Exit);
    net.kill(6);
    let took = net.run_until(secs(60), |net| net.all_see(6, State::Dead));
    expect_that!(took, some(lt(secs(3))));
}

/// Nodes forget the dead after some hours, not all at the same moment. If those
/// who still remember told those who never knew, a dead name would go from
/// node to node for ever, and its address be tried for ever.
#[gtest]
fn dead_are_forgotten_by_all() {
    let mut net = Net::fleet(15, 6);
    net.kill(5);
    net.run(secs(2 * 3_600));
    expect_that!(net.all_see(5, State::Dead), eq(true));
    net.start(6, &[0, 1, 2]);
    net.run(secs(3_600 + 60));
    for at in [0, 1, 2, 3, 4, 6] {
        expect_that!(net.sees(at, 5), none());
    }
    let mut gone = member(5);
    gone.state = State::Dead;
    net.hear(0, member(1), Body::Table, gone);
    expect_that!(net.sees(0, 5), none());
}

/// A record with an incarnation that nobody can have counted up to arrives, from
/// a faulty process. Its owner could never outbid it.
#[gtest]
fn incarnation_beyond_counting_is_refused() {
    let mut net = Net::fleet(16, 6);
    let mut bad = member(5);
    bad.incarnation = u64::MAX;
    bad.state = State::Dead;
    for at in 0..6 {
        net.hear(at, member(4), Body::Gossip, bad.clone());
    }
    net.run(secs(30));
    expect_that!(net.agreed(6), eq(true));
    expect_that!(net.node(5).gossip.me().incarnation, eq(1));
}
