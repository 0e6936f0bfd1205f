//! Shares of organisations' limits, from those that divide them to the
//! gateways that keep within them.
//!
//! Each organisation's limits are divided by one node that its name picks out
//! of the members; gateways report to it and it answers, in single datagrams
//! that may get lost.

use std::cell::RefCell;
use std::rc::Rc;

use bytes::Bytes;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;

use crate::gateway::{DemandReport, Shared};
use crate::limit::{self, Bound, Demand, Grant, Owner};
use crate::member::shell::Handle;
use crate::name::Name;

/// Topic of a gateway's report to the node that divides.
pub const DEMAND: u8 = 1;
/// Topic of that node's answer.
pub const GRANT: u8 = 2;

#[derive(Debug, Serialize, Deserialize)]
struct Report {
    thread: usize,
    organisation: Name,
    demand: Demand,
}

#[derive(Debug, Serialize, Deserialize)]
struct Share {
    thread: usize,
    organisation: Name,
    grant: Grant,
}

/// The control thread's part of the limits.
pub struct Shares {
    shared: Shared,
    members: Handle,
    owner: RefCell<Owner>,
    grants: Vec<mpsc::Sender<(Name, Grant)>>,
}

impl Shares {
    /// Passes grants on to the gateways of `grants`, one a traffic thread.
    pub fn new(shared: Shared, members: Handle, grants: Vec<mpsc::Sender<(Name, Grant)>>) -> Self {
        Self {
            shared,
            members,
            owner: RefCell::default(),
            grants,
        }
    }

    /// A gateway of this node reports.
    pub fn wish(&self, wish: DemandReport) {
        let owner = {
            let view = self.shared.view.read();
            limit::owner(&view, &wish.organisation).map(|member| member.name.clone())
        };
        let Some(owner) = owner else { return };
        let report = Report {
            thread: wish.thread,
            organisation: wish.organisation,
            demand: wish.demand,
        };
        if owner == self.shared.node {
            let share = self.divide(&owner, &report);
            self.take(share);
        } else {
            self.members.direct(owner, DEMAND, encode(&report));
        }
    }

    /// A datagram about limits came from another node.
    pub fn receive(&self, from: &Name, topic: u8, value: &Bytes) {
        match topic {
            DEMAND => {
                if let Some(report) = decode::<Report>(value) {
                    let share = self.divide(from, &report);
                    self.members.direct(from.clone(), GRANT, encode(&share));
                }
            }
            GRANT => {
                if let Some(share) = decode(value) {
                    self.take(share);
                }
            }
            _ => {}
        }
    }

    fn divide(&self, node: &Name, report: &Report) -> Share {
        let now = self.shared.clock.now();
        let gateway: Name = format!("{node}/{}", report.thread).into();
        let organisation = report.organisation.clone();
        let bound = self.bound(&organisation);
        let mut owner = self.owner.borrow_mut();
        owner.sweep(now);
        Share {
            thread: report.thread,
            grant: owner.report(now, &gateway, &organisation, bound, report.demand),
            organisation,
        }
    }

    fn bound(&self, organisation: &str) -> Bound {
        let force = self.shared.force.read();
        let found = force.document.organisations.get(organisation);
        found.map_or_else(Bound::default, |found| Bound {
            rate: found.rate,
            concurrency: found.concurrency,
        })
    }

    fn take(&self, share: Share) {
        if let Some(gateway) = self.grants.get(share.thread) {
            // A lost grant is made good by the next report's.
            let _ = gateway.try_send((share.organisation, share.grant));
        }
    }
}

fn encode<V>(value: &V) -> Bytes
where
    V: Serialize,
{
    let mut bytes = Vec::with_capacity(96);
    // Writing plain data into memory can't fail.
    let _ = ciborium::into_writer(value, &mut bytes);
    bytes.into()
}

fn decode<V>(bytes: &Bytes) -> Option<V>
where
    V: DeserializeOwned,
{
    ciborium::from_reader(&bytes[..]).ok()
}

/// Serves the reports of this node's gateways.
pub async fn serve(shares: Rc<Shares>, mut demands: mpsc::Receiver<DemandReport>) {
    while let Some(wish) = demands.recv().await {
        shares.wish(wish);
    }
}
