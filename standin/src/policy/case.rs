//! The simulated cases: deployments, scenarios and admission policies.

use std::time::Duration;

use auburnspoke::dispatch::Policy;
use auburnspoke::embedded::engine::Parameters;

/// The users' deployments.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deployment {
    /// The payments association: 9 replicas, three availability zones 1 ms apart.
    Association,
    /// The kitchens trust: 18 replicas, three availability zones 0.5 ms apart.
    Trust,
}

/// Load and faults of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// Online requests at a constant rate.
    Steady,
    /// Four times the rate for three seconds in every fifteen.
    Burst,
    /// Three times the rate on average, in slow waves.
    DeadlineWeek,
    /// One endpoint does not respond for a third of the run.
    EndpointLoss,
    /// One endpoint takes three times as long for a third of the run.
    SlowEndpoint,
    /// As [`Scenario::Burst`], with reports and cache events delayed by five seconds.
    LaggingReports,
}

/// How batch work is admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// There is no batch work.
    Alone,
    /// By the product's queue with a policy.
    Queue(Policy),
    /// By an engine that schedules with full knowledge of classes and future arrivals.
    Oracle {
        /// Most batch sequences that run while an online request does.
        max_batch: u32,
    },
}

/// Where requests are admitted to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Topology {
    /// At one node for each endpoint.
    Dispatcher,
    /// At each gateway, by the engine's delayed reports.
    Reports,
    /// At each gateway, within an equal share of the slots.
    Parts,
}

/// One run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Case {
    /// The deployment.
    pub deployment: Deployment,
    /// The scenario.
    pub scenario: Scenario,
    /// How batch work is admitted.
    pub admission: Admission,
    /// Where requests are admitted.
    pub topology: Topology,
    /// Weight of latency: from 0 (batch throughput) to 100 (online tail latency).
    pub latency_weight: u32,
    /// Whether late online requests are hedged.
    pub hedge: bool,
    /// Seed of the arrivals and lengths.
    pub seed: u64,
    /// Measured seconds after the warm-up.
    pub seconds: u64,
}

/// Seconds of warm-up before the measurement.
pub const WARM_UP: u64 = 15;

impl Deployment {
    /// All deployments.
    pub const ALL: [Self; 2] = [Self::Association, Self::Trust];

    /// Returns the label in the output.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Association => "association",
            Self::Trust => "trust",
        }
    }

    /// Returns the number of replicas.
    pub const fn endpoints(self) -> usize {
        match self {
            Self::Association => 9,
            Self::Trust => 18,
        }
    }

    /// Returns the number of VMs that accept requests.
    pub const fn gateways(self) -> usize {
        match self {
            Self::Association => 9,
            Self::Trust => 12,
        }
    }

    /// Returns the one-way network delay between availability zones.
    pub const fn zone_delay(self) -> Duration {
        match self {
            Self::Association => Duration::from_millis(1),
            Self::Trust => Duration::from_micros(500),
        }
    }

    /// Returns the latency weight that the users set.
    pub const fn latency_weight(self) -> u32 {
        match self {
            Self::Association => 80,
            Self::Trust => 40,
        }
    }

    /// Returns the usual rate of online requests per second and replica.
    pub const fn rate(self) -> f64 {
        match self {
            Self::Association => 2.0,
            Self::Trust => 1.2,
        }
    }
}

impl Scenario {
    /// All scenarios.
    pub const ALL: [Self; 6] = [
        Self::Steady,
        Self::Burst,
        Self::DeadlineWeek,
        Self::EndpointLoss,
        Self::SlowEndpoint,
        Self::LaggingReports,
    ];

    /// Returns the label in the output.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::Burst => "burst",
            Self::DeadlineWeek => "deadline_week",
            Self::EndpointLoss => "endpoint_loss",
            Self::SlowEndpoint => "slow_endpoint",
            Self::LaggingReports => "lagging_reports",
        }
    }

    /// Returns the load relative to the usual rate, `seconds` after the start of the run.
    pub fn load_factor(self, seconds: f64) -> f64 {
        match self {
            Self::Steady | Self::EndpointLoss | Self::SlowEndpoint => 1.0,
            Self::Burst | Self::LaggingReports if seconds % 15.0 < 3.0 => 4.0,
            Self::Burst | Self::LaggingReports => 0.7,
            Self::DeadlineWeek => 3.0 + (seconds * std::f64::consts::TAU / 30.0).sin(),
        }
    }

    /// Returns the engine parameters of this scenario.
    pub fn parameters(self) -> Parameters {
        let mut parameters = Parameters::default();
        if self == Self::LaggingReports {
            parameters.report_lag_ms = 5_000;
            parameters.event_lag_ms = 5_000;
        }
        parameters
    }
}

impl Admission {
    /// The policies to compare. The oracle is the reference for them.
    pub const ALL: [Self; 5] = [
        Self::Alone,
        Self::Queue(Policy::All),
        Self::Queue(Policy::Split(50)),
        Self::Queue(Policy::Adaptive),
        Self::Queue(Policy::AdaptiveCancel),
    ];

    /// The oracle without a limit on batch sequences beside online requests.
    pub const ORACLE: Self = Self::Oracle {
        max_batch: u32::MAX,
    };

    /// Returns the label in the output.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Alone => "alone",
            Self::Queue(Policy::All) => "all-admitted",
            Self::Queue(Policy::Split(_)) => "fixed-split",
            Self::Queue(Policy::Adaptive) => "adaptive",
            Self::Queue(Policy::AdaptiveCancel) => "adaptive-cancel",
            Self::Oracle { .. } => "oracle",
        }
    }
}

impl Case {
    /// Returns a case with the deployment's usual latency weight.
    pub const fn new(deployment: Deployment, scenario: Scenario, admission: Admission) -> Self {
        Self {
            deployment,
            scenario,
            admission,
            topology: Topology::Dispatcher,
            latency_weight: deployment.latency_weight(),
            hedge: false,
            seed: 1,
            seconds: 90,
        }
    }

    /// Returns the same case with another admission policy.
    #[must_use]
    pub const fn with(mut self, admission: Admission) -> Self {
        self.admission = admission;
        self
    }
}
