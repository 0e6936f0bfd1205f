//! The state of a served engine: its runs, faults, orders and counts.

use std::collections::HashMap;

use actix_http::StatusCode;
use tokio::sync::mpsc;

use super::fault::Fault;
use super::model::{Job, Model, Token};
use super::protocol::{Choice, Completion, Counts, Event, Order, Usage};
use super::server::Setting;
use super::{answer, blocks, cache, count_tokens, token};
use crate::clock::Time;
use crate::dispatch::Report;

/// Exit code of a process that was crashed by a fault.
const CRASH_EXIT_CODE: i32 = 101;

/// The error of a stream that was broken by a fault.
#[derive(Clone, Copy, Debug)]
pub struct Broken;

impl std::fmt::Display for Broken {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the stream was broken by a fault")
    }
}

impl std::error::Error for Broken {}

struct Run {
    completion: Completion,
    prompt_tokens: u32,
    sent: u32,
    events: mpsc::UnboundedSender<Result<Event, Broken>>,
}

/// An admitted run and its events.
pub struct Handle {
    /// Identifies the run within the engine.
    pub id: u64,
    /// Its events; the channel closes after the last one.
    pub events: mpsc::UnboundedReceiver<Result<Event, Broken>>,
}

/// The state of a served engine.
pub struct State {
    setting: Setting,
    model: Model,
    fault: Fault,
    crashed: bool,
    runs: HashMap<u64, Run>,
    last_id: u64,
    counts: Counts,
    order: Order,
}

impl State {
    /// Creates an idle engine with the initial faults of `setting`.
    pub fn new(now: Time, setting: Setting) -> Self {
        let mut state = Self {
            model: Model::new(setting.parameters, setting.seed),
            fault: Fault::default(),
            crashed: false,
            runs: HashMap::new(),
            last_id: 0,
            counts: Counts::default(),
            order: Order::default(),
            setting,
        };
        let fault = state.setting.fault.clone();
        state.set_fault(now, fault);
        state
    }

    /// Returns whether an embedded engine has crashed.
    pub fn crashed(&self) -> bool {
        self.crashed
    }

    /// Returns when [`State::advance`] has to be called next.
    pub fn wake(&self) -> Option<Time> {
        self.model.wake()
    }

    /// Returns the load report, which is `report_lag_ms` old.
    pub fn report(&mut self, now: Time) -> Report {
        self.model.report(now)
    }

    /// Returns the visible cache events after `sequence`.
    pub fn events(&self, now: Time, sequence: u64) -> Vec<cache::Event> {
        self.model.events(now, sequence)
    }

    /// Returns the last order that was applied.
    pub fn order(&self) -> &Order {
        &self.order
    }

    /// Returns the counts since the start.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Applies an order.
    ///
    /// # Errors
    /// Returns the higher fencing token that was applied before, if the engine checks fencing.
    pub fn apply_order(&mut self, order: Order) -> Result<Order, u64> {
        if self.setting.checks_fencing && order.fence < self.order.fence {
            return Err(self.order.fence);
        }
        self.counts.orders += 1;
        self.order = order;
        Ok(self.order.clone())
    }

    /// Replaces the faults.
    pub fn set_fault(&mut self, now: Time, fault: Fault) {
        let factor = if fault.slow > 0.0 { fault.slow } else { 1.0 };
        self.model.set_slowdown(factor);
        self.model.set_stalled(now, fault.stall);
        self.fault = fault;
        if self.fault.crash {
            self.crash();
        }
    }

    /// Starts a run.
    ///
    /// # Errors
    /// Returns the status and message of the response that refuses it.
    pub fn begin(
        &mut self,
        now: Time,
        completion: Completion,
    ) -> Result<Handle, (StatusCode, &'static str)> {
        let Completion {
            request_id, key, ..
        } = &completion;
        self.counts.add(request_id, key, &completion.prompt);
        if self.fault.refuse {
            return Err((StatusCode::SERVICE_UNAVAILABLE, "the engine refuses work"));
        }
        if self.fault.is_crashing(&completion.prompt) {
            self.crash();
            return Err((StatusCode::SERVICE_UNAVAILABLE, "the engine has crashed"));
        }
        if self.fault.is_failing(&completion.prompt) {
            return Err((StatusCode::INTERNAL_SERVER_ERROR, "this prompt fails"));
        }
        let from = completion.resume_from;
        if completion.max_tokens <= from {
            return Err((StatusCode::BAD_REQUEST, "max_tokens leaves nothing to do"));
        }
        if completion.resume_text != answer(&completion.prompt, from) {
            return Err((StatusCode::BAD_REQUEST, "resume_text is not the answer"));
        }
        Ok(self.admit(now, completion))
    }

    fn admit(&mut self, now: Time, completion: Completion) -> Handle {
        self.last_id += 1;
        let id = self.last_id;
        let prompt_tokens = count_tokens(&completion.prompt);
        let job = Job {
            id,
            prompt_tokens,
            blocks: blocks(&completion.prompt, self.setting.parameters.block_tokens),
            resume_from: completion.resume_from,
            length: completion.max_tokens,
            urgent: false,
        };
        let (events, receiver) = mpsc::unbounded_channel();
        let run = Run {
            completion,
            prompt_tokens,
            sent: 0,
            events,
        };
        self.runs.insert(id, run);
        self.model.submit(now, job);
        Handle {
            id,
            events: receiver,
        }
    }

    /// Finishes the steps that end by `now` and sends their tokens.
    pub fn advance(&mut self, now: Time) {
        let mut tokens = Vec::new();
        self.model.advance(now, &mut tokens);
        for token in tokens {
            self.send(&token);
        }
    }

    /// Cancels a run. Returns whether it was present.
    pub fn cancel(&mut self, id: u64) -> bool {
        self.model.cancel(id);
        let found = self.runs.remove(&id).is_some();
        self.counts.cancelled += u64::from(found);
        found
    }

    /// Cancels the runs with this `request_id`. Returns whether there were any.
    pub fn cancel_request(&mut self, request_id: &str) -> bool {
        let ids: Vec<u64> = self
            .runs
            .iter()
            .filter(|(_, run)| run.completion.request_id == request_id)
            .map(|(id, _)| *id)
            .collect();
        for id in &ids {
            self.cancel(*id);
        }
        !ids.is_empty()
    }

    fn send(&mut self, token: &Token) {
        let Some(run) = self.runs.get_mut(&token.id) else {
            return;
        };
        let _ = run.events.send(Ok(run.event(token)));
        run.sent += 1;
        self.counts.tokens += 1;
        let breaks = self.fault.break_after > 0 && run.sent >= self.fault.break_after;
        if token.last {
            self.counts.completed += 1;
            self.runs.remove(&token.id);
        } else if breaks {
            self.counts.broken += 1;
            let _ = run.events.send(Err(Broken));
            self.runs.remove(&token.id);
            self.model.cancel(token.id);
        }
    }

    fn crash(&mut self) {
        if self.setting.exit_on_crash {
            std::process::exit(CRASH_EXIT_CODE);
        }
        self.crashed = true;
        self.model.clear();
        for (_, run) in self.runs.drain() {
            self.counts.broken += 1;
            let _ = run.events.send(Err(Broken));
        }
    }
}

impl Run {
    fn event(&self, generated: &Token) -> Event {
        Event {
            id: self.completion.request_id.clone(),
            object: "text_completion".to_owned(),
            offset: generated.offset,
            tokens: 1,
            choices: vec![Choice {
                index: 0,
                text: token(&self.completion.prompt, generated.offset),
                finish_reason: generated.last.then(|| "length".to_owned()),
            }],
            usage: Usage {
                prompt_tokens: self.prompt_tokens,
                completion_tokens: generated.offset + 1,
            },
        }
    }
}
