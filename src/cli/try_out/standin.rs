//! The stand-ins that `try` embeds: an in-memory platform and two engines, each on a thread of its
//! own.

use std::net::{SocketAddr, TcpListener};

use actix_rt::Arbiter;
use eyre::{Result, WrapErr};
use tokio::sync::watch;

use crate::embedded::{engine, platform};
use crate::http;
use crate::rpc::v1;
use crate::table::memory::Platform;

/// The availability zone of the node and the engines.
pub(super) const ZONE: &str = "here";
const MODEL: &str = "recipe-model";
const ENGINES: usize = 2;
/// Sequences that an engine runs at the same time.
const SLOTS: u32 = 16;
/// Seed of the platform's random generator.
const SEED: u64 = 1;

/// The running stand-ins; dropping this value stops them.
pub(super) struct Standins {
    pub(super) platform: SocketAddr,
    engines: Vec<SocketAddr>,
    _stop: watch::Sender<bool>,
}

/// Starts the stand-ins on loopback.
pub(super) fn start() -> Result<Standins> {
    let (stop, stopped) = watch::channel(false);
    let (listener, platform_address) = listen()?;
    let stopped_platform = stopped.clone();
    Arbiter::new().spawn_fn(move || {
        actix_rt::spawn(platform::serve(
            Platform::new(SEED),
            listener,
            stopped_platform,
        ));
    });
    let mut engines = Vec::new();
    for number in 1..=ENGINES {
        let (listener, address) = listen()?;
        let setting = engine::Setting {
            name: format!("engine-{number}").into(),
            ..engine::Setting::default()
        };
        let stopped = stopped.clone();
        Arbiter::new().spawn_fn(move || {
            actix_rt::spawn(engine::serve(listener, stopped, setting));
        });
        engines.push(address);
    }
    Ok(Standins {
        platform: platform_address,
        engines,
        _stop: stop,
    })
}

fn listen() -> Result<(TcpListener, SocketAddr)> {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = http::listen(any).wrap_err("can't listen on loopback")?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

impl Standins {
    /// Returns a configuration with one service that all engines serve.
    pub(super) fn config(&self, service: &str) -> v1::Config {
        let endpoints = self.engines.iter().zip(1..).map(|(address, number)| {
            let number: u32 = number;
            v1::Endpoint {
                name: format!("engine-{number}"),
                address: address.to_string(),
                zone: ZONE.into(),
                services: vec![service.into()],
                slots: SLOTS,
                ..v1::Endpoint::default()
            }
        });
        v1::Config {
            services: vec![v1::Service {
                name: service.into(),
                kind: v1::ServiceKind::Model.into(),
                model: MODEL.into(),
                model_version: "1".into(),
                deadline_ms: 30_000,
                max_tokens: 256,
                latency_weight: 50,
                ..v1::Service::default()
            }],
            endpoints: endpoints.collect(),
            organisations: Vec::new(),
        }
    }
}
