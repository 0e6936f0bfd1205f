//! Calls the stand-in engine over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use auburnspoke::embedded::engine::protocol::{Completion, Counts, Event, Order};
use auburnspoke::embedded::engine::{self, Fault, Parameters, Setting};
use auburnspoke::http;
use awc::Client;
use futures_util::StreamExt as _;
use googletest::prelude::*;
use tokio::sync::watch;

const SPEED_UP: f64 = 20.0;
const MAX_BODY_BYTES: usize = 1_000_000;

struct Env {
    address: SocketAddr,
    client: Client,
    _stop: watch::Sender<bool>,
}

impl Env {
    fn start(setting: Setting) -> Self {
        Self::start_at(SPEED_UP, setting)
    }

    fn start_at(speed_up: f64, setting: Setting) -> Self {
        let listener = http::listen("127.0.0.1:0".parse().unwrap()).unwrap();
        let address = listener.local_addr().unwrap();
        let (stop, stopped) = watch::channel(false);
        let setting = Setting {
            parameters: Parameters::default().faster(speed_up),
            ..setting
        };
        actix_rt::spawn(engine::serve(listener, stopped, setting));
        Self {
            address,
            client: http::client(Duration::from_secs(20)),
            _stop: stop,
        }
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    async fn ask(&self, completion: &Completion) -> (u16, Vec<Event>, bool) {
        let url = self.url("/v1/completions");
        let mut answer = self.client.post(url).send_json(completion).await.unwrap();
        let (mut text, mut is_complete) = (Vec::new(), true);
        while let Some(part) = answer.next().await {
            match part {
                Ok(part) => text.extend_from_slice(&part),
                Err(_) => is_complete = false,
            }
        }
        let text = String::from_utf8(text).unwrap();
        is_complete &= text.ends_with("data: [DONE]\n\n");
        let events = text
            .lines()
            .filter_map(|line| serde_json::from_str(line.strip_prefix("data: ")?).ok())
            .collect();
        (answer.status().as_u16(), events, is_complete)
    }

    async fn counts(&self) -> Counts {
        let mut answer = self.client.get(self.url("/counts")).send().await.unwrap();
        let body = http::read_body(&mut answer, MAX_BODY_BYTES).await.unwrap();
        serde_json::from_slice(&body).unwrap()
    }

    async fn post<B>(&self, path: &str, body: &B) -> u16
    where
        B: serde::Serialize,
    {
        let answer = self.client.post(self.url(path)).send_json(body).await;
        answer.unwrap().status().as_u16()
    }
}

fn question(prompt: &str, max_tokens: u32) -> Completion {
    Completion {
        prompt: prompt.into(),
        max_tokens,
        stream: true,
        request_id: "r1".into(),
        ..Completion::default()
    }
}

fn text(events: &[Event]) -> String {
    events.iter().map(|e| &*e.choices[0].text).collect()
}

fn run<F>(test: F)
where
    F: Future<Output = ()>,
{
    actix_rt::System::new().block_on(test);
}

#[gtest]
fn complete_whole() {
    run(async {
        let env = Env::start(Setting::default());
        let (status, events, is_complete) = env.ask(&question("is it screened?", 12)).await;
        expect_that!((status, is_complete), eq((200, true)));
        expect_that!(text(&events), eq(&engine::answer("is it screened?", 12)));
        let offsets: Vec<u32> = events.iter().map(|event| event.offset).collect();
        expect_that!(offsets, eq(&(0..12).collect::<Vec<_>>()));
    });
}

#[gtest]
fn complete_resumed() {
    // A stream breaks after four tokens, the last of which may be lost in transit. The caller
    // resumes it. Both parts joined must equal the answer of an unbroken stream.
    run(async {
        let env = Env::start(Setting::default());
        let fault = Fault {
            break_after: 4,
            ..Fault::default()
        };
        expect_that!(env.post("/fault", &fault).await, eq(200));
        let (_, first, is_complete) = env.ask(&question("scale it", 9)).await;
        expect_that!(first.len(), all!(ge(1), le(4)));
        expect_false!(is_complete);
        expect_that!(env.post("/fault", &Fault::default()).await, eq(200));
        let rest = Completion {
            resume_from: u32::try_from(first.len()).unwrap(),
            resume_text: text(&first),
            ..question("scale it", 9)
        };
        let (_, second, is_complete) = env.ask(&rest).await;
        expect_true!(is_complete);
        let joined = text(&first) + &text(&second);
        expect_that!(joined, eq(&engine::answer("scale it", 9)));
        expect_that!(env.counts().await.requests["r1"], eq(2));
    });
}

/// Tokens that are ready in the same instant as the fault must still reach the caller.
#[gtest]
fn complete_broken_at_once() {
    run(async {
        let fault = Fault {
            break_after: 4,
            ..Fault::default()
        };
        let setting = Setting {
            fault,
            ..Setting::default()
        };
        let env = Env::start_at(1_000_000.0, setting);
        for _ in 0..20 {
            let (_, events, is_complete) = env.ask(&question("scale it", 9)).await;
            expect_that!(events.len(), eq(4));
            expect_false!(is_complete);
        }
    });
}

#[gtest]
fn complete_caller_disconnected() {
    // A caller disconnects in the middle of an answer. The run must be cancelled, or the engine
    // would keep generating an answer that is never read.
    run(async {
        let env = Env::start(Setting::default());
        let url = env.url("/v1/completions");
        let long = question("long", 100_000);
        let mut answer = env.client.post(url).send_json(&long).await.unwrap();
        answer.next().await.unwrap().unwrap();
        drop(answer);
        for _ in 0..500 {
            if env.counts().await.cancelled == 1 {
                return;
            }
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
        fail!("the run was not cancelled within ten seconds").unwrap();
    });
}

#[gtest]
fn complete_cancelled() {
    run(async {
        let env = Env::start(Setting::default());
        let long = question("long", 100_000);
        let cancel = async {
            actix_rt::time::sleep(Duration::from_millis(100)).await;
            let url = env.url("/v1/completions/r1");
            let answer = env.client.delete(url).send().await.unwrap();
            answer.status().as_u16()
        };
        let ((_, _, is_complete), status) = futures_util::join!(env.ask(&long), cancel);
        expect_that!((is_complete, status), eq((false, 200)));
    });
}

#[gtest]
fn fault_marked_prompts() {
    // One marked prompt fails with an error every time; the other crashes the engine that runs it.
    run(async {
        let env = Env::start(Setting {
            fault: Fault {
                error_on: "poison".into(),
                die_on: "kill-engine".into(),
                ..Fault::default()
            },
            ..Setting::default()
        });
        let status = async |prompt| env.ask(&question(prompt, 3)).await.0;
        expect_that!(status("poison it").await, eq(500));
        expect_that!(status("good").await, eq(200));
        expect_that!(status("kill-engine").await, eq(503));
        expect_that!(status("good").await, eq(503));
    });
}

#[gtest]
fn orders_old_fence() {
    // A paused lease holder sends its order after its successor's. An engine that checks fencing
    // refuses the late order; another one applies it.
    run(async {
        for (checks_fencing, status) in [(true, 409), (false, 200)] {
            let env = Env::start(Setting {
                checks_fencing,
                ..Setting::default()
            });
            let order = |fence| Order {
                fence,
                role: "serve".into(),
                ..Order::default()
            };
            expect_that!(env.post("/v1/orders", &order(7)).await, eq(200));
            expect_that!(env.post("/v1/orders", &order(6)).await, eq(status));
        }
    });
}
