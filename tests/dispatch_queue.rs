//! Admission to one endpoint.

use std::time::Duration;

use auburnspoke::clock::Time;
use auburnspoke::dispatch::{Action, End, Id, Input, Offer, Queue, Report, Setting};
use auburnspoke::outcome::Reason;
use auburnspoke::request::Class;
use googletest::prelude::*;

const SLOTS: u32 = 16;
const STEP_MS: u64 = 20;

struct Env {
    now: Time,
    queue: Queue,
    actions: Vec<Action>,
    running: Vec<Id>,
}

impl Env {
    fn new(latency_weight: u32) -> Self {
        let now = Time::from_millis(100_000);
        Self {
            now,
            queue: Queue::new(now, setting(latency_weight)),
            actions: Vec::new(),
            running: Vec::new(),
        }
    }

    fn input(&mut self, input: Input) -> Vec<Action> {
        self.queue.step(self.now, input, &mut self.actions);
        let actions = std::mem::take(&mut self.actions);
        for action in &actions {
            match action {
                Action::Start { id } => self.running.push(*id),
                Action::Stop { id } | Action::Abandon { id, .. } => {
                    self.running.retain(|other| other != id);
                }
                Action::Refuse { .. } => {}
            }
        }
        actions
    }

    fn offer(&mut self, id: Id, class: Class, organisation: &str) -> Vec<Action> {
        self.input(Input::Offer(offer(self.now, id, class, organisation)))
    }

    /// Runs `steps` decoding steps, in which every running request gets a token.
    fn generate(&mut self, steps: u64) -> Vec<Action> {
        let mut all = Vec::new();
        for _ in 0..steps {
            self.now += Duration::from_millis(STEP_MS);
            for id in self.running.clone() {
                all.extend(self.input(Input::Tokens { id, count: 1 }));
            }
        }
        all
    }

    fn end(&mut self, id: Id, end: End) -> Vec<Action> {
        self.running.retain(|other| *other != id);
        self.input(Input::Ended { id, end })
    }

    /// Offers batch items until the queue accepts no more.
    fn fill(&mut self, from: Id) {
        for id in from..from + u64::from(SLOTS) {
            if self.queue.load().room > 0 {
                self.offer(id, Class::Batch, "nightly");
            }
            self.generate(3);
        }
    }
}

fn setting(latency_weight: u32) -> Setting {
    Setting {
        slots: SLOTS,
        latency_weight,
        closed: false,
    }
}

fn offer(now: Time, id: Id, class: Class, organisation: &str) -> Offer {
    Offer {
        id,
        class,
        organisation: organisation.into(),
        deadline: now + Duration::from_secs(60),
        prompt_tokens: 100,
        max_tokens: 1_000,
        once: false,
        spills: false,
    }
}

fn started(actions: &[Action]) -> Vec<Id> {
    let start = |action: &Action| match action {
        Action::Start { id } => Some(*id),
        _ => None,
    };
    actions.iter().filter_map(start).collect()
}

fn stopped(actions: &[Action]) -> Vec<Id> {
    let stop = |action: &Action| match action {
        Action::Stop { id } => Some(*id),
        _ => None,
    };
    actions.iter().filter_map(stop).collect()
}

fn refused(actions: &[Action]) -> Vec<(Id, Reason, bool)> {
    let refuse = |action: &Action| match action {
        Action::Refuse { id, refusal } => {
            Some((*id, refusal.reason, refusal.retry_after.is_some()))
        }
        _ => None,
    };
    actions.iter().filter_map(refuse).collect()
}

fn abandoned(actions: &[Action]) -> Vec<Id> {
    let abandon = |action: &Action| match action {
        Action::Abandon { id, .. } => Some(*id),
        _ => None,
    };
    actions.iter().filter_map(abandon).collect()
}

#[gtest]
fn idle_endpoint_filled() {
    // Without online requests, batch work must be able to use the whole endpoint.
    let mut env = Env::new(80);
    env.fill(1);
    expect_that!(env.queue.load().batch, ge(SLOTS - 4));
}

#[gtest]
fn burst_starts_at_once() {
    // A burst of online requests arrives while batch work fills the endpoint.
    // Without preemption they would wait until batch items end.
    let mut env = Env::new(80);
    env.fill(1);
    let mut started_online = Vec::new();
    for id in 100..112 {
        let actions = env.offer(id, Class::Online, "clerks");
        started_online.extend(started(&actions));
        for id in stopped(&actions) {
            started_online.extend(started(&env.end(id, End::Stopped)));
        }
    }
    expect_that!(started_online, eq(&(100..112).collect::<Vec<_>>()));
}

#[gtest]
fn burst_resumes_stopped() {
    // A preempted batch item must resume after the burst. If it were lost, its job
    // would never end.
    let mut env = Env::new(80);
    env.fill(1);
    let mut stops = Vec::new();
    for id in 100..100 + u64::from(SLOTS) {
        stops.extend(stopped(&env.offer(id, Class::Online, "clerks")));
    }
    expect_that!(stops, not(is_empty()));
    for id in &stops {
        env.end(*id, End::Stopped);
    }
    let mut resumed = Vec::new();
    for id in 100..100 + u64::from(SLOTS) {
        resumed.extend(started(&env.end(id, End::Complete)));
    }
    for _ in 0..200 {
        resumed.extend(started(&env.input(Input::Tick)));
        resumed.extend(started(&env.generate(1)));
    }
    for id in &stops {
        expect_that!(resumed, contains(eq(id)));
    }
}

#[gtest]
fn burst_once_not_stopped() {
    // An item that must run at most once can't be preempted and run again.
    let mut env = Env::new(100);
    for id in 1..=12 {
        let mut item = offer(env.now, id, Class::Batch, "payments");
        item.once = true;
        env.input(Input::Offer(item));
        env.generate(3);
    }
    let before = env.queue.load().batch;
    let mut stops = Vec::new();
    for id in 100..130 {
        stops.extend(stopped(&env.offer(id, Class::Online, "clerks")));
    }
    expect_that!(before, ge(8));
    expect_that!(stops, is_empty());
}

#[gtest]
fn prefill_preempted_by_online() {
    // An online request arrives during the prefill of a batch item. The engine
    // would complete that prefill first.
    let mut env = Env::new(80);
    expect_that!(started(&env.offer(1, Class::Batch, "nightly")), eq(&[1]));
    let actions = env.offer(2, Class::Online, "clerks");
    expect_that!(stopped(&actions), eq(&[1]));
    expect_that!(started(&actions), eq(&[2]));
}

#[gtest]
fn weight_bounds_batch() {
    // Batch concurrency at both extremes of the latency weight.
    let batch_at = |weight| {
        let mut env = Env::new(weight);
        env.offer(900, Class::Online, "clerks");
        for id in 1..200 {
            if env.queue.load().room > 0 {
                env.offer(id, Class::Batch, "nightly");
            }
            // Each sequence adds a millisecond to the step.
            env.now += Duration::from_millis(env.running.len() as u64);
            env.generate(1);
        }
        env.queue.load().batch
    };
    expect_that!(batch_at(100), lt(batch_at(0)));
    expect_that!(batch_at(0), ge(SLOTS - 6));
}

#[gtest]
fn full_refuses_at_once() {
    // All slots are taken and the queue is full. The next online request must be
    // refused at once with a retry delay.
    let mut env = Env::new(80);
    for id in 0..u64::from(2 * SLOTS) {
        expect_that!(refused(&env.offer(id, Class::Online, "a")), is_empty());
    }
    let last = refused(&env.offer(99, Class::Online, "a"));
    expect_that!(last, eq(&[(99, Reason::Overloaded, true)]));
}

#[gtest]
fn full_drops_from_largest() {
    // One organisation fills the queue. A request of another one is still queued,
    // and the newest request of the first is refused with a retry delay.
    let mut env = Env::new(80);
    for id in 0..u64::from(2 * SLOTS) {
        env.offer(id, Class::Online, "noisy");
    }
    let actions = env.offer(99, Class::Online, "quiet");
    let newest = u64::from(2 * SLOTS) - 1;
    expect_that!(refused(&actions), eq(&[(newest, Reason::Overloaded, true)]));
    env.end(0, End::Complete);
    let next = [env.end(1, End::Complete), env.end(2, End::Complete)].concat();
    expect_that!(started(&next), contains(eq(&99)));
}

#[gtest]
fn deadline_passed_refused() {
    let mut env = Env::new(80);
    let mut late = offer(env.now, 1, Class::Online, "clerks");
    late.deadline = env.now;
    let actions = env.input(Input::Offer(late));
    expect_that!(refused(&actions), eq(&[(1, Reason::Deadline, true)]));
}

#[gtest]
fn deadline_passes_while_waiting() {
    let mut env = Env::new(80);
    for id in 0..=u64::from(SLOTS) {
        env.offer(id, Class::Online, "a");
    }
    env.generate(1);
    let mut late = Vec::new();
    for _ in 0..60 {
        env.now += Duration::from_secs(1);
        late.extend(refused(&env.generate(1)));
    }
    expect_that!(late, eq(&[(u64::from(SLOTS), Reason::Deadline, true)]));
}

#[gtest]
fn closed_refuses_waiting() {
    // An operator removes an endpoint. Its waiting requests are refused at once, and
    // its running ones continue.
    let mut env = Env::new(80);
    for id in 0..=u64::from(SLOTS) {
        env.offer(id, Class::Online, "a");
    }
    let closed = Setting {
        closed: true,
        ..setting(80)
    };
    let actions = env.input(Input::Setting(closed));
    let waiting = u64::from(SLOTS);
    expect_that!(
        refused(&actions),
        eq(&[(waiting, Reason::NoEndpoint, true)])
    );
    expect_that!(env.queue.load().online, eq(SLOTS));
    let actions = env.offer(99, Class::Online, "a");
    expect_that!(refused(&actions), eq(&[(99, Reason::NoEndpoint, true)]));
    expect_that!(env.queue.load().room, eq(0));
}

#[gtest]
fn stopped_item_reported_may_have_run() {
    // A preempted batch item waits when its endpoint is closed. Part of it has run,
    // so it must not be reported as not run.
    let mut env = Env::new(80);
    env.offer(1, Class::Batch, "nightly");
    env.offer(2, Class::Online, "clerks");
    env.end(1, End::Stopped);
    let closed = Setting {
        closed: true,
        ..setting(80)
    };
    let actions = env.input(Input::Setting(closed));
    expect_that!(abandoned(&actions), eq(&[1]));
    expect_that!(refused(&actions), is_empty());
}

#[gtest]
fn silent_endpoint_abandoned() {
    // The endpoint's VM is gone and no connection is reset. Callers must be able to
    // retry elsewhere within two seconds instead of waiting until their deadline.
    let mut env = Env::new(80);
    env.offer(1, Class::Online, "clerks");
    env.generate(50);
    let due = env.queue.wake().unwrap();
    expect_that!(due.since(env.now), le(Duration::from_secs(2)));
    env.now = due;
    expect_that!(abandoned(&env.input(Input::Tick)), eq(&[1]));
    let actions = env.offer(2, Class::Online, "clerks");
    expect_that!(refused(&actions), eq(&[(2, Reason::NoEndpoint, true)]));
    // After the open time, the first token of a trial request closes the circuit breaker.
    env.now = env.queue.wake().unwrap();
    env.input(Input::Tick);
    expect_that!(started(&env.offer(3, Class::Online, "clerks")), eq(&[3]));
    expect_that!(refused(&env.offer(4, Class::Online, "clerks")).len(), eq(1));
    env.generate(1);
    expect_that!(started(&env.offer(5, Class::Online, "clerks")), eq(&[5]));
}

#[gtest]
fn paused_node_abandons_nothing() {
    // This node was paused for 30 s while its endpoint kept generating. The tokens
    // are read after the first tick. If the gap were taken for a stall, every stream
    // would be abandoned and run again elsewhere.
    let mut env = Env::new(80);
    env.offer(1, Class::Online, "clerks");
    env.generate(50);
    env.now += Duration::from_secs(30);
    expect_that!(abandoned(&env.input(Input::Tick)), is_empty());
    env.generate(1);
    expect_that!(env.queue.load().online, eq(1));
}

#[gtest]
fn failing_endpoint_closed() {
    let mut env = Env::new(80);
    for id in 0..4 {
        env.offer(id, Class::Online, "clerks");
    }
    env.end(0, End::Failed);
    env.end(1, End::Failed);
    expect_that!(abandoned(&env.end(2, End::Failed)), eq(&[3]));
    expect_that!(env.queue.load().room, eq(0));
}

#[gtest]
fn kv_cache_capacity_estimated() {
    // The KV cache's capacity follows from the engine's reports. Batch work must stay
    // below it, since the engine evicts its newest sequence on overflow.
    let mut env = Env::new(0);
    for id in 1..200 {
        if env.queue.load().room > 0 {
            env.offer(id, Class::Batch, "nightly");
        }
        env.generate(1);
        let tokens: u64 = env.running.len() as u64 * 110;
        env.input(Input::Report(Report {
            running: 0,
            waiting: 0,
            kv_used: tokens as f32 / 1_000.0,
        }));
    }
    expect_that!(env.queue.load().batch, le(9));
}

fn call(now: Time, id: Id, class: Class) -> Offer {
    Offer {
        prompt_tokens: 0,
        max_tokens: 0,
        ..offer(now, id, class, "clerks")
    }
}

#[gtest]
fn call_silent_not_stalled() {
    // A plain service takes ten seconds for a call and yields no tokens. If this were
    // taken for a stall, the call would be abandoned and might run twice.
    let mut env = Env::new(80);
    let slow = call(env.now, 1, Class::Online);
    expect_that!(started(&env.input(Input::Offer(slow))), eq(&[1]));
    for _ in 0..100 {
        env.now += Duration::from_millis(100);
        expect_that!(abandoned(&env.input(Input::Tick)), is_empty());
    }
}

#[gtest]
fn call_of_batch_not_stopped() {
    // A call can't be resumed, so preempting it would lose its work.
    let mut env = Env::new(80);
    let item = call(env.now, 1, Class::Batch);
    env.input(Input::Offer(item));
    let online = call(env.now, 2, Class::Online);
    let actions = env.input(Input::Offer(online));
    expect_that!(stopped(&actions), is_empty());
    expect_that!(started(&actions), eq(&[2]));
    let item = call(env.now, 3, Class::Batch);
    expect_that!(started(&env.input(Input::Offer(item))), eq(&[3]));
}

#[gtest]
fn crowded_spills() {
    // While an online request waits for its first token, the next one is refused at
    // once if it has another endpoint, and accepted otherwise.
    let mut env = Env::new(80);
    env.offer(1, Class::Online, "clerks");
    let mut second = offer(env.now, 2, Class::Online, "clerks");
    second.spills = true;
    let actions = env.input(Input::Offer(second.clone()));
    expect_that!(refused(&actions), eq(&[(2, Reason::Overloaded, true)]));
    second.spills = false;
    expect_that!(started(&env.input(Input::Offer(second))), eq(&[2]));
}
