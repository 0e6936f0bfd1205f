//! Clocks and points in time.
//!
//! Pure state machines never read a clock: they are passed a [`Time`], so that a
//! test can replay them from a seed and a benchmark can run them in virtual time.
//! Only the code that runs them calls [`Clock::now`].

use std::fmt;
use std::ops::{Add, AddAssign, Sub};
use std::pin::pin;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};
use tokio::time::error::Elapsed;
use tokio::time::{Instant, timeout};

/// Delay of a timer beyond which this process must have been paused.
const MAX_TIMER_DELAY: Duration = Duration::from_millis(100);
/// Time in which a process that was paused reads what arrived meanwhile.
const READ_TIME: Duration = Duration::from_millis(100);

/// A point in time: microseconds since an origin chosen by the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(u64);

impl Time {
    /// The origin.
    pub const ZERO: Self = Self(0);
    /// Later than every other time; means "never".
    pub const MAX: Self = Self(u64::MAX);

    /// Returns the point `micros` microseconds after the origin.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Returns the point `millis` milliseconds after the origin.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis.saturating_mul(1_000))
    }

    /// Returns the microseconds since the origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the milliseconds since the origin, rounded down.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Returns the time since `earlier`, zero if `earlier` is in the future.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Time {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        let micros = u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

impl AddAssign<Duration> for Time {
    fn add_assign(&mut self, rhs: Duration) {
        *self = *self + rhs;
    }
}

impl Sub<Duration> for Time {
    type Output = Self;

    fn sub(self, rhs: Duration) -> Self {
        let micros = u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }
}

impl fmt::Display for Time {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:06}s", self.0 / 1_000_000, self.0 % 1_000_000)
    }
}

/// Waits for `wait`; for ever if there is nothing to wait for.
pub async fn sleep(wait: Option<Duration>) {
    match wait {
        Some(wait) => tokio::time::sleep(wait).await,
        None => std::future::pending().await,
    }
}

/// Waits up to `limit` for `future`, which waits for another process. A pause of this process is not
/// the other one's delay: what arrived during the pause is read before the wait counts as too long.
///
/// # Errors
/// [`Elapsed`] after `limit`, or a moment after a pause that exceeded it.
pub async fn within<F>(limit: Duration, future: F) -> Result<F::Output, Elapsed>
where
    F: Future,
{
    let mut future = pin!(future);
    let began = Instant::now();
    match timeout(limit, future.as_mut()).await {
        Err(_) if was_paused(limit, began.elapsed()) => timeout(READ_TIME, future).await,
        result => result,
    }
}

/// Returns true if this process was paused during a wait that took `waited` and was limited to `limit`.
pub fn was_paused(limit: Duration, waited: Duration) -> bool {
    waited > limit + MAX_TIMER_DELAY
}

/// Time since the start of this VM, including the time in which it was suspended.
///
/// [`Time`] stops while the VM is suspended, so that old evidence would still
/// seem new after it resumes. Ages on which a guarantee depends are therefore
/// measured with this type. Values of two VMs cannot be compared; messages
/// between them carry ages.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Uptime(Duration);

impl Uptime {
    /// Returns the time `since_start` after the start of the VM.
    pub const fn new(since_start: Duration) -> Self {
        Self(since_start)
    }

    /// Returns the current value. Pure state machines must not call it.
    pub fn now() -> Self {
        let now = clock_gettime(ClockId::Boottime);
        let nanos = u32::try_from(now.tv_nsec).unwrap_or(0);
        Self(Duration::new(u64::try_from(now.tv_sec).unwrap_or(0), nanos))
    }

    /// Returns the time since `earlier`, zero if `earlier` is in the future.
    pub const fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}

impl Sub<Duration> for Uptime {
    type Output = Self;

    fn sub(self, rhs: Duration) -> Self {
        Self(self.0.saturating_sub(rhs))
    }
}

impl Add<Duration> for Uptime {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        Self(self.0.saturating_add(rhs))
    }
}

/// The monotonic clock of this process.
///
/// One clock is created at process start and copied to every thread, so that
/// times from different threads are comparable.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Starts a clock whose origin is an hour ago, so that subtracting a timeout
    /// from an early time does not reach the origin.
    pub fn start() -> Self {
        let now = Instant::now();
        let hour = Duration::from_secs(3_600);
        Self {
            origin: now.checked_sub(hour).unwrap_or(now),
        }
    }

    /// Returns the current time.
    pub fn now(&self) -> Time {
        Time::ZERO + self.origin.elapsed()
    }
}

/// Returns the milliseconds since 1970 by the wall clock, for stored rows and
/// display.
///
/// Wall clocks of VMs differ, so nothing that affects safety may depend on it.
pub fn unix_millis() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}
