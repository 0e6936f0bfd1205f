//! Which endpoint is to hold what, as a pure function of the configuration and
//! of what the endpoints hold now.

use std::collections::{BTreeMap, BTreeSet};

use crate::config::{Document, Endpoint, Kind, Service};
use crate::locate::region;
use crate::name::Name;
use crate::order::{Model, State};

/// What one service wants in one region and has.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Count {
    /// The service.
    pub service: Name,
    /// Replicas wanted here.
    pub wanted: usize,
    /// Endpoints that can be reached and are to hold it.
    pub placed: usize,
}

/// What each endpoint is to hold.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// By endpoint, for those that can be reached: the whole set, in order.
    pub hold: BTreeMap<Name, Vec<Model>>,
    /// By service, in name order.
    pub counts: Vec<Count>,
}

/// Plans one region. `known` holds the endpoints that can be reached and what
/// they hold.
///
/// Endpoints that hold a service already are chosen first, so that as little
/// as possible is loaded anew; then those in the zone that has the fewest, then
/// those that hold the fewest models. Services that want no number of replicas
/// are left as they are.
pub fn plan(document: &Document, region: &str, known: &BTreeMap<Name, State>) -> Plan {
    let mut plan = Plan::default();
    let managed: Vec<&Service> = document
        .services
        .values()
        .filter(|s| is_managed(s))
        .collect();
    for (name, state) in known {
        let kept = state
            .hold
            .iter()
            .filter(|load| !managed.iter().any(|s| s.model == load.model));
        plan.hold.insert(name.clone(), kept.cloned().collect());
    }
    for service in managed {
        let candidates = candidates(document, region, service);
        let wanted = share(document, region, service);
        let usable: Vec<&Endpoint> = candidates
            .into_iter()
            .filter(|one| known.contains_key(&one.name))
            .collect();
        let chosen = choose(service, &usable, wanted, known, &plan.hold);
        plan.counts.push(Count {
            service: service.name.clone(),
            wanted,
            placed: chosen.len(),
        });
        for name in chosen {
            let hold = plan.hold.entry(name).or_default();
            merge(hold, load(service));
        }
    }
    for hold in plan.hold.values_mut() {
        hold.sort_unstable();
    }
    plan
}

/// True when its replicas are placed; others are left as they are.
pub fn is_managed(service: &Service) -> bool {
    service.kind == Kind::Model && service.replicas > 0
}

/// What an endpoint of the service must hold.
pub fn load(service: &Service) -> Model {
    let mut adapters = service.adapters.clone();
    adapters.sort_unstable();
    Model {
        model: service.model.clone(),
        version: service.model_version.clone(),
        adapters,
    }
}

/// Adds a load; two services of one model and version share it with the
/// adapters of both.
fn merge(hold: &mut Vec<Model>, load: Model) {
    let same = |one: &&mut Model| one.model == load.model && one.version == load.version;
    match hold.iter_mut().find(same) {
        Some(one) => {
            one.adapters.extend(load.adapters);
            one.adapters.sort_unstable();
            one.adapters.dedup();
        }
        None => hold.push(load),
    }
}

fn candidates<'a>(
    document: &'a Document,
    region_name: &str,
    service: &'a Service,
) -> Vec<&'a Endpoint> {
    let here = |one: &&Endpoint| region(&one.zone) == region_name;
    document.endpoints_of(&service.name).filter(here).collect()
}

/// The region's part of the wanted replicas, in proportion to its endpoints.
/// Every region reckons all parts alike, from the document alone, so that they
/// add up to what is wanted without a word between them.
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
    // Largest remainder: whole parts first, then one more to those that lost
    // most by rounding down.
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
    known: &BTreeMap<Name, State>,
    planned: &BTreeMap<Name, Vec<Model>>,
) -> Vec<Name> {
    let target = load(service);
    let mut zones: BTreeMap<&str, usize> = BTreeMap::new();
    let mut left: BTreeSet<&str> = usable.iter().map(|one| &*one.name).collect();
    let mut chosen = Vec::new();
    while chosen.len() < wanted {
        let best = usable
            .iter()
            .filter(|one| left.contains(&*one.name))
            .min_by_key(|one| {
                let holds = known
                    .get(&one.name)
                    .map_or(2, |state| distance(state, &target));
                let busy = planned.get(&one.name).map_or(0, Vec::len);
                (
                    holds,
                    zones.get(&*one.zone).copied().unwrap_or(0),
                    busy,
                    &one.name,
                )
            });
        let Some(best) = best else { break };
        left.remove(&*best.name);
        *zones.entry(&best.zone).or_default() += 1;
        chosen.push(best.name.clone());
    }
    chosen
}

/// 0 when the endpoint holds the model in this version, 1 in another one, 2
/// when not at all.
fn distance(state: &State, target: &Model) -> u8 {
    let of_model = || state.hold.iter().filter(|load| load.model == target.model);
    if of_model().any(|load| load.version == target.version) {
        0
    } else if of_model().next().is_some() {
        1
    } else {
        2
    }
}
