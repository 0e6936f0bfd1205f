//! Distributes shares of organisations' limits to the gateways that enforce them.
//!
//! One node per organisation, selected by the organisation's name, divides its limits. Gateways
//! send their demand to that node and receive grants, each in a single datagram that may get
//! lost.

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

/// Topic of a gateway's demand report to the dividing node.
pub const DEMAND: u8 = 1;
/// Topic of the dividing node's grant.
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

/// Exchanges demand reports and grants on the control thread.
pub struct Shares {
    shared: Shared,
    members: Handle,
    owner: RefCell<Owner>,
    grants: Vec<mpsc::Sender<(Name, Grant)>>,
}

impl Shares {
    /// Creates the service; `grants` has one channel per traffic thread.
    pub fn new(shared: Shared, members: Handle, grants: Vec<mpsc::Sender<(Name, Grant)>>) -> Self {
        Self {
            shared,
            members,
            owner: RefCell::default(),
            grants,
        }
    }

    /// Sends a report of this node's gateway to the dividing node.
    pub fn send_demand(&self, demand: DemandReport) {
        let owner = {
            let view = self.shared.view.read();
            limit::owner(&view, &demand.organisation).map(|member| member.name.clone())
        };
        let Some(owner) = owner else { return };
        let report = Report {
            thread: demand.thread,
            organisation: demand.organisation,
            demand: demand.demand,
        };
        if owner == self.shared.node {
            let share = self.divide(&owner, &report);
            self.apply_grant(share);
        } else {
            self.members.direct(owner, DEMAND, encode(&report));
        }
    }

    /// Handles a datagram about limits from another node.
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
                    self.apply_grant(share);
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
        let in_force = self.shared.in_force.read();
        let found = in_force.document.organisations.get(organisation);
        found.map_or_else(Bound::default, |found| Bound {
            rate: found.rate,
            concurrency: found.concurrency,
        })
    }

    fn apply_grant(&self, share: Share) {
        if let Some(gateway) = self.grants.get(share.thread) {
            // The next report compensates for a lost grant.
            let _ = gateway.try_send((share.organisation, share.grant));
        }
    }
}

fn encode<V>(value: &V) -> Bytes
where
    V: Serialize,
{
    let mut bytes = Vec::with_capacity(96);
    // Serialising plain data into memory can't fail.
    let _ = ciborium::into_writer(value, &mut bytes);
    bytes.into()
}

fn decode<V>(bytes: &Bytes) -> Option<V>
where
    V: DeserializeOwned,
{
    ciborium::from_reader(&bytes[..]).ok()
}

/// Forwards the reports of this node's gateways.
pub async fn serve(shares: Rc<Shares>, mut demands: mpsc::Receiver<DemandReport>) {
    while let Some(demand) = demands.recv().await {
        shares.send_demand(demand);
    }
}
