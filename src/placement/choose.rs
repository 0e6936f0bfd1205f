//! Assignment of models to endpoints, as a pure function of the configuration and of the
//! current states of the endpoints.

use std::collections::{BTreeMap, BTreeSet};

use crate::config::{Document, Endpoint, Kind, Service};
use crate::locate::region;
use crate::name::Name;
use crate::order::{Model, State};

/// Wanted and placed replicas of one service in one region.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Count {
    /// The service.
    pub service: Name,
    /// Replicas wanted in this region.
    pub wanted: usize,
    /// Reachable endpoints that are assigned to it.
    pub placed: usize,
}

/// Models assigned to each endpoint.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// The complete, sorted set of models by reachable endpoint.
    pub hold: BTreeMap<Name, Vec<Model>>,
    /// By service, in name order.
    pub counts: Vec<Count>,
}

/// Plans one region. `states` holds the states of the reachable endpoints.
///
/// Endpoints that already hold a service's model are preferred, to minimise loading;
/// then those in the zone with the fewest replicas, then those with the fewest models.
/// Services without a number of replicas are left unchanged.
pub fn plan(document: &Document, region: &str, states: &BTreeMap<Name, State>) -> Plan {
    let mut plan = Plan::default();
    let managed: Vec<&Service> = document
        .services
        .values()
        .filter(|s| is_managed(s))
        .collect();
    for (name, state) in states {
        let kept = state
            .hold
            .iter()
            .filter(|model| !managed.iter().any(|s| s.model == model.model));
        plan.hold.insert(name.clone(), kept.cloned().collect());
    }
    for service in managed {
        let candidates = candidates(document, region, service);
        let wanted = share(document, region, service);
        let usable: Vec<&Endpoint> = candidates
            .into_iter()
            .filter(|endpoint| states.contains_key(&endpoint.name))
            .collect();
        let chosen = choose(service, &usable, wanted, states, &plan.hold);
        plan.counts.push(Count {
            service: service.name.clone(),
            wanted,
            placed: chosen.len(),
        });
        for name in chosen {
            let hold = plan.hold.entry(name).or_default();
            merge(hold, required_model(service));
        }
    }
    for hold in plan.hold.values_mut() {
        hold.sort_unstable();
    }
    plan
}

/// True when the replicas of `service` are placed. Other services are left unchanged.
pub fn is_managed(service: &Service) -> bool {
    service.kind == Kind::Model && service.replicas > 0
}

/// Returns the model that an endpoint of `service` must hold.
pub fn required_model(service: &Service) -> Model {
    let mut adapters = service.adapters.clone();
    adapters.sort_unstable();
    Model {
        model: service.model.clone(),
        version: service.model_version.clone(),
        adapters,
    }
}

/// Adds a model. Two services of the same model and version share it, with the adapters
/// of both.
fn merge(hold: &mut Vec<Model>, model: Model) {
    let same = |other: &&mut Model| other.model == model.model && other.version == model.version;
    match hold.iter_mut().find(same) {
        Some(existing) => {
            existing.adapters.extend(model.adapters);
            existing.adapters.sort_unstable();
            existing.adapters.dedup();
        }
        None => hold.push(model),
    }
}

fn candidates<'a>(
    document: &'a Document,
    region_name: &str,
    service: &'a Service,
) -> Vec<&'a Endpoint> {
    let here = |endpoint: &&Endpoint| region(&endpoint.zone) == region_name;
    document.endpoints_of(&service.name).filter(here).collect()
}

/// The region's share of the wanted replicas, in proportion to its endpoints. All regions
/// compute the shares from the document alone, so that these add up to the wanted number
/// without communication.
fn share(document: &Document, region_name: &str, service: &Service) -> usize {
    let mut sizes: BTreeMap<&str, usize> = BTreeMap::new();
    for endpoint in document.endpoints_of(&service.name) {
        *sizes.entry(region(&endpoint.zone)).or_default() += 1;
    }
    let total: usize = sizes.values().sum();
    let wanted = (service.replicas as usize).min(total);
    if total == 0 {
        return 0;
    }
    // Largest remainder method: the integer parts first, then one more for the regions
    // with the largest remainders.
    let mut rest: Vec<(usize, &str)> = sizes
        .iter()
        .map(|(name, size)| (wanted * size % total, *name))
        .collect();
    rest.sort_unstable_by(|a, b| b.0.cmp(&a.0).then(a.1.cmp(b.1)));
    let whole: usize = sizes.values().map(|size| wanted * size / total).sum();
    let extra = rest
        .iter()
        .take(wanted - whole)
        .any(|(_, name)| *name == region_name);
    let size = sizes.get(region_name).copied().unwrap_or(0);
    wanted * size / total + usize::from(extra)
}

fn choose(
    service: &Service,
    usable: &[&Endpoint],
    wanted: usize,
    states: &BTreeMap<Name, State>,
    planned: &BTreeMap<Name, Vec<Model>>,
) -> Vec<Name> {
    let target = required_model(service);
    let mut zones: BTreeMap<&str, usize> = BTreeMap::new();
    let mut left: BTreeSet<&str> = usable.iter().map(|endpoint| &*endpoint.name).collect();
    let mut chosen = Vec::new();
    while chosen.len() < wanted {
        let best = usable
            .iter()
            .filter(|endpoint| left.contains(&*endpoint.name))
            .min_by_key(|endpoint| {
                let mismatch = states
                    .get(&endpoint.name)
                    .map_or(2, |state| distance(state, &target));
                let busy = planned.get(&endpoint.name).map_or(0, Vec::len);
                (
                    mismatch,
                    zones.get(&*endpoint.zone).copied().unwrap_or(0),
                    busy,
                    &endpoint.name,
                )
            });
        let Some(best) = best else { break };
        left.remove(&*best.name);
        *zones.entry(&best.zone).or_default() += 1;
        chosen.push(best.name.clone());
    }
    chosen
}

/// Returns 0 when the endpoint holds the model in this version, 1 when in another
/// version, and 2 when not at all.
fn distance(state: &State, target: &Model) -> u8 {
    let of_model = || state.hold.iter().filter(|held| held.model == target.model);
    if of_model().any(|held| held.version == target.version) {
        0
    } else if of_model().next().is_some() {
        1
    } else {
        2
    }
}
