//! What is simulated: deployments, scenarios and ways of admitting.

use std::time::Duration;

use auburnspoke::dispatch::Policy;
use auburnspoke::embedded::engine::Parameters;

/// The users' fleets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deployment {
    /// The payments association: 9 replicas, three zones 1 ms apart.
    Association,
    /// The kitchens trust: 18 replicas, three zones 0.5 ms apart.
    Trust,
}

/// What happens during the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// Questions come evenly.
    Steady,
    /// Four times as many for three seconds, each fifteen seconds.
    Burst,
    /// Three times as many, in slow waves.
    DeadlineWeek,
    /// One endpoint goes silent for a third of the run.
    EndpointLoss,
    /// One endpoint takes three times as long for a third of the run.
    SlowEndpoint,
    /// Bursts, while reports and cache events come five seconds late.
    LaggingReports,
}

/// How batch work is admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// There is none.
    Alone,
    /// By the product's queue under a policy.
    Queue(Policy),
    /// By an engine that knows the classes and the future.
    Oracle {
        /// Most batch sequences beside a question.
        beside: u32,
    },
}

/// Who admits to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Topology {
    /// One node.
    Dispatcher,
    /// Each gateway, by the engine's lagging report.
    Reports,
    /// Each gateway, within an equal part of the slots.
    Parts,
}

/// One run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Case {
    /// Which fleet.
    pub deployment: Deployment,
    /// What happens.
    pub scenario: Scenario,
    /// How batch work is admitted.
    pub way: Way,
    /// Who admits.
    pub topology: Topology,
    /// From 0 (batch throughput) to 100 (online tail latency).
    pub latency_weight: u32,
    /// True when late repeatable questions are hedged.
    pub hedge: bool,
    /// Seed of arrivals and lengths.
    pub seed: u64,
    /// Seconds that are measured, after the warm-up.
    pub seconds: u64,
}

/// Seconds before measuring begins.
pub const WARM_UP: u64 = 15;

impl Deployment {
    /// Both.
    pub const ALL: [Self; 2] = [Self::Association, Self::Trust];

    /// The label in the output.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Association => "association",
            Self::Trust => "trust",
        }
    }

    /// Replicas of the model.
    pub const fn endpoints(self) -> usize {
        match self {
            Self::Association => 9,
            Self::Trust => 18,
        }
    }

    /// Entry VMs.
    pub const fn gateways(self) -> usize {
        match self {
            Self::Association => 9,
            Self::Trust => 12,
        }
    }

    /// One way between zones.
    pub const fn hop(self) -> Duration {
        match self {
            Self::Association => Duration::from_millis(1),
            Self::Trust => Duration::from_micros(500),
        }
    }

    /// The setting that suits the users.
    pub const fn latency_weight(self) -> u32 {
        match self {
            Self::Association => 80,
            Self::Trust => 40,
        }
    }

    /// Questions a second for each replica on an ordinary day.
    pub const fn rate(self) -> f64 {
        match self {
            Self::Association => 2.0,
            Self::Trust => 1.2,
        }
    }
}

impl Scenario {
    /// Each.
    pub const ALL: [Self; 6] = [
        Self::Steady,
        Self::Burst,
        Self::DeadlineWeek,
        Self::EndpointLoss,
        Self::SlowEndpoint,
        Self::LaggingReports,
    ];

    /// The label in the output.
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

    /// Questions against an ordinary day's at `seconds` into the run.
    pub fn factor(self, seconds: f64) -> f64 {
        match self {
            Self::Steady | Self::EndpointLoss | Self::SlowEndpoint => 1.0,
            Self::Burst | Self::LaggingReports if seconds % 15.0 < 3.0 => 4.0,
            Self::Burst | Self::LaggingReports => 0.7,
            Self::DeadlineWeek => 3.0 + (seconds * std::f64::consts::TAU / 30.0).sin(),
        }
    }

    /// The engine in this scenario.
    pub fn parameters(self) -> Parameters {
        let mut parameters = Parameters::default();
        if self == Self::LaggingReports {
            parameters.report_lag_ms = 5_000;
            parameters.event_lag_ms = 5_000;
        }
        parameters
    }
}

impl Way {
    /// The policies that are compared; the oracle is what they are compared
    /// with.
    pub const ALL: [Self; 5] = [
        Self::Alone,
        Self::Queue(Policy::All),
        Self::Queue(Policy::Split(50)),
        Self::Queue(Policy::Adaptive),
        Self::Queue(Policy::AdaptiveCancel),
    ];

    /// The oracle without a bound on what runs beside questions.
    pub const ORACLE: Self = Self::Oracle { beside: u32::MAX };

    /// The label in the output.
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
    /// A case with the deployment's own setting.
    pub const fn new(deployment: Deployment, scenario: Scenario, way: Way) -> Self {
        Self {
            deployment,
            scenario,
            way,
            topology: Topology::Dispatcher,
            latency_weight: deployment.latency_weight(),
            hedge: false,
            seed: 1,
            seconds: 90,
        }
    }

    /// The same with batch work admitted another way.
    #[must_use]
    pub const fn with(mut self, way: Way) -> Self {
        self.way = way;
        self
    }
}
