//! Quota on the tokens that may wait on a route.
//!
//! Each node counts from its last copy of the store's rows, so several nodes may each see room for
//! a job and together exceed the quota. Far below the quota this is harmless. Near it, acceptances
//! are ordered by a row that each of them must change, which costs one read, and a retry when two
//! collide. docs/design/jobs.md compares the alternatives.

/// Acceptances need no ordering up to this fraction of the quota (1/2). The rest absorbs what other
/// nodes accept before this one sees it.
const UNORDERED_DIVISOR: u64 = 2;
/// A job is accepted without ordering only if it is at most this fraction of the quota (1/64):
/// other nodes would have to accept 32 jobs of that size before one of them sees it to use up the
/// reserve. Without this limit, several nodes asked at once exceed a small quota.
const UNORDERED_JOB_DIVISOR: u64 = 64;

/// The quota on a route, and its use as this node last saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quota {
    /// Most tokens that may wait; `None` means no limit.
    pub limit: Option<u64>,
    /// Tokens that wait now.
    pub waiting: u64,
}

impl Quota {
    /// Returns true if a job of `tokens` may be accepted.
    pub fn fits(&self, tokens: u64) -> bool {
        self.limit
            .is_none_or(|limit| self.waiting + tokens <= limit)
    }

    /// Returns true if accepting a job of `tokens` must be ordered against acceptances by other
    /// nodes.
    pub fn must_order(&self, tokens: u64) -> bool {
        self.limit.is_some_and(|limit| {
            self.waiting + tokens > limit / UNORDERED_DIVISOR
                || tokens > limit / UNORDERED_JOB_DIVISOR
        })
    }
}
