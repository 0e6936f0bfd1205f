//! The numbered events of the log. docs/EVENTS.md is their catalogue, and a
//! test holds the two together.

use std::fmt;

/// A kind of event. Its number never changes and is never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Event {
    /// The number: hundreds tell the part (1xx process, 2xx members and
    /// configuration, 3xx requests, 4xx jobs, 5xx platform and orders).
    pub number: u16,
    /// The name, in snake case.
    pub name: &'static str,
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "E{:03} {}", self.number, self.name)
    }
}

/// Declares events as constants and lists them for the catalogue's test.
macro_rules! events {
    ($($number:literal $constant:ident $name:literal;)*) => {
        $(
            #[doc = concat!("Event ", stringify!($number), "; see docs/EVENTS.md.")]
            pub const $constant: Event = Event { number: $number, name: $name };
        )*
        /// Every event, in order.
        pub const ALL: &[Event] = &[$($constant),*];
    };
}

events! {
    101 NODE_STARTED "node_started";
    102 NODE_LEAVING "node_leaving";
    103 NODE_STOPPED "node_stopped";
    104 LISTEN_FAILED "listen_failed";
    201 MEMBER_CHANGED "member_changed";
    202 MEMBER_REFUTED "member_refuted";
    203 NODE_PAUSED "node_paused";
    204 NAME_TAKEN "name_taken";
    205 DATAGRAM_REFUSED "datagram_refused";
    301 REQUEST_REFUSED "request_refused";
    302 REQUEST_RETRIED "request_retried";
    303 LINK_CLOSED "link_closed";
    304 FRAME_REFUSED "frame_refused";
    305 ENDPOINT_EJECTED "endpoint_ejected";
    306 MARK_KEPT "mark_kept";
    401 CHUNK_CLAIMED "chunk_claimed";
    402 CHUNK_TAKEN_OVER "chunk_taken_over";
    403 CHUNK_COMMITTED "chunk_committed";
    404 CHUNK_LOST "chunk_lost";
    405 CHUNK_RELEASED "chunk_released";
    406 CHUNK_CANCELLED "chunk_cancelled";
    450 CONFIG_IN_FORCE "config_in_force";
    451 CONFIG_UNREAD "config_unread";
    460 LEASE_GAINED "lease_gained";
    461 LEASE_LOST "lease_lost";
    470 ORDER_SENT "order_sent";
    471 ORDER_REFUSED "order_refused";
    472 ORDER_FAILED "order_failed";
    473 PLACEMENT_SHORT "placement_short";
}
