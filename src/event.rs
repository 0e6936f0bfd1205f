//! The numbered events of the log. docs/EVENTS.md is their catalogue; a test checks that the two
//! agree.

use std::fmt;

/// A kind of event. Its number never changes and is never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Event {
    /// The number. Its first digit is the subsystem: 1xx process, 2xx members and configuration,
    /// 3xx requests, 4xx jobs, 5xx platform and orders.
    pub number: u16,
    /// The name, in snake case.
    pub name: &'static str,
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "E{:03} {}", self.number, self.name)
    }
}

/// Declares events as constants, and lists them for the test of the catalogue.
macro_rules! events {
    ($($number:literal $constant:ident $name:literal;)*) => {
        $(
            #[doc = concat!("Event ", stringify!($number), "; see docs/EVENTS.md.")]
            pub const $constant: Event = Event { number: $number, name: $name };
        )*
        /// Every event, ordered by number.
        pub const ALL: &[Event] = &[$($constant),*];
    };
}

events! {
    101 NODE_STARTED "node_started";
    102 NODE_LEAVING "node_leaving";
    103 NODE_STOPPED "node_stopped";
    104 LISTEN_FAILED "listen_failed";
    105 STOP_PROGRESS "stop_progress";
    201 MEMBER_CHANGED "member_changed";
    202 MEMBER_REFUTED "member_refuted";
    203 NODE_PAUSED "node_paused";
    204 NAME_TAKEN "name_taken";
    205 DATAGRAM_REFUSED "datagram_refused";
    206 MEMBERS_UNREAD "members_unread";
    207 VIEW_COMPLETE "view_complete";
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
    501 CATALOG_CHANGED "catalog_changed";
    502 ENDPOINT_CHANGED "endpoint_changed";
    503 STORE_LOST "store_lost";
    504 STORE_REGAINED "store_regained";
    505 STORE_CALL_LOST "store_call_lost";
    506 STORE_CALL_REFUSED "store_call_refused";
    507 STORE_ANSWER_UNREADABLE "store_answer_unreadable";
    508 ROW_UNREADABLE "row_unreadable";
    509 SETTINGS_RELOADED "settings_reloaded";
    510 POOL_CHANGED "pool_changed";
    511 ENDPOINT_LEFT_OUT "endpoint_left_out";
    512 ENDPOINT_TRUSTED "endpoint_trusted";
    513 FEED_STARTED "feed_started";
    514 FEED_ENDED "feed_ended";
    515 FEED_PASSED_OVER "feed_passed_over";
    516 FEED_REFUSED "feed_refused";
    517 ORGANISATION_UNREADABLE "organisation_unreadable";
    518 KEYS_DOUBTFUL "keys_doubtful";
    519 KEYS_SURE "keys_sure";
    520 REQUEST_DONE "request_done";
    521 REQUEST_GRANTED "request_granted";
    522 LIMIT_ALONE "limit_alone";
    523 REQUEST_ENDED "request_ended";
    524 REQUEST_TURNED_AWAY "request_turned_away";
    525 RUN_LOST "run_lost";
    526 REQUEST_CONDEMNED "request_condemned";
    527 REQUEST_CLEARED "request_cleared";
    528 QUARANTINE_LEARNED "quarantine_learned";
    529 REQUEST_OPEN "request_open";
    530 JOB_ACCEPTED "job_accepted";
    531 JOB_REFUSED "job_refused";
    532 JOB_TAKEN "job_taken";
    533 JOB_LOST "job_lost";
    534 JOB_ENDED "job_ended";
    535 ITEM_STARTED "item_started";
    536 ITEM_STOPPED "item_stopped";
    537 ITEM_DONE "item_done";
    538 ITEM_FAILED "item_failed";
    539 TRIAL_CLAIMED "trial_claimed";
}
