//! Changes that turn one set of routes into another.

use std::collections::HashMap;

use prost::Message;
use schema::{KeptSpan, RouteSet, RouteSetChange};
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

use crate::ChangeError;

/// Hashes of the items of a set of routes: all that is needed of an earlier set to compute
/// the change to a newer one.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Fingerprint {
    number: u64,
    limits: u64,
    routes: Vec<u64>,
    services: Vec<u64>,
    workspaces: Vec<u64>,
}

impl Fingerprint {
    /// Computes the hashes of all items of `set`; its document is not part of them.
    pub fn of(set: &RouteSet) -> Self {
        Fingerprint {
            number: set.number,
            limits: set.limits.as_ref().map_or(0, hash_item),
            routes: set.routes.iter().map(hash_item).collect(),
            services: set.services.iter().map(hash_item).collect(),
            workspaces: set.workspaces.iter().map(hash_item).collect(),
        }
    }

    /// Returns the number of the set.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Returns the number of items in the set.
    pub fn item_count(&self) -> usize {
        self.routes.len() + self.services.len() + self.workspaces.len()
    }

    /// Returns a hash over the complete set.
    pub fn digest(&self) -> u64 {
        let mut hasher = Xxh3::new();
        hasher.update(&self.number.to_le_bytes());
        hasher.update(&self.limits.to_le_bytes());
        for hashes in [&self.routes, &self.services, &self.workspaces] {
            hasher.update(&(hashes.len() as u64).to_le_bytes());
            for hash in hashes {
                hasher.update(&hash.to_le_bytes());
            }
        }
        hasher.digest()
    }
}

fn hash_item(item: &impl Message) -> u64 {
    xxh3_64(&item.encode_to_vec())
}

/// Returns the change that turns the set with the fingerprint `base` into `target`, whose
/// fingerprint is `fingerprint`.
///
/// ```
/// use distribution::{Fingerprint, apply_change, compute_change};
/// use schema::{RouteRule, RouteSet};
/// let route = |name: &str| RouteRule { name: name.into(), ..RouteRule::default() };
/// let routes = |names: &[&str]| names.iter().map(|name| route(name)).collect();
/// let old = RouteSet { number: 1, routes: routes(&["a", "b", "c"]), ..RouteSet::default() };
/// let new = RouteSet { number: 2, routes: routes(&["b", "c", "d"]), ..RouteSet::default() };
///
/// let base = Fingerprint::of(&old);
/// let change = compute_change(&base, &new, &Fingerprint::of(&new));
///
/// assert_eq!(change.added_routes, [route("d")]);
/// assert_eq!(apply_change(&old, &base, change)?.0, new);
/// # Ok::<(), distribution::ChangeError>(())
/// ```
pub fn compute_change(
    base: &Fingerprint,
    target: &RouteSet,
    fingerprint: &Fingerprint,
) -> RouteSetChange {
    let (kept_routes, added_routes) = diff(&base.routes, &fingerprint.routes, &target.routes);
    let (kept_services, added_services) =
        diff(&base.services, &fingerprint.services, &target.services);
    let (kept_workspaces, added_workspaces) =
        diff(&base.workspaces, &fingerprint.workspaces, &target.workspaces);
    RouteSetChange {
        number: target.number,
        limits: target.limits,
        kept_routes,
        added_routes,
        kept_services,
        added_services,
        kept_workspaces,
        added_workspaces,
        digest: fingerprint.digest(),
    }
}

/// Applies a change to the set `base` with its fingerprint; returns the result with its
/// fingerprint. The result has no document.
///
/// # Errors
///
/// Returns an error if the change was computed for another set.
pub fn apply_change(
    base: &RouteSet,
    fingerprint: &Fingerprint,
    change: RouteSetChange,
) -> Result<(RouteSet, Fingerprint), ChangeError> {
    let (routes, route_hashes) =
        patch(&base.routes, &fingerprint.routes, &change.kept_routes, change.added_routes)?;
    let (services, service_hashes) =
        patch(&base.services, &fingerprint.services, &change.kept_services, change.added_services)?;
    let (workspaces, workspace_hashes) = patch(
        &base.workspaces,
        &fingerprint.workspaces,
        &change.kept_workspaces,
        change.added_workspaces,
    )?;
    let result = Fingerprint {
        number: change.number,
        limits: change.limits.as_ref().map_or(0, hash_item),
        routes: route_hashes,
        services: service_hashes,
        workspaces: workspace_hashes,
    };
    if result.digest() != change.digest {
        return Err(ChangeError::WrongResult);
    }
    let set = RouteSet {
        number: change.number,
        routes,
        services,
        limits: change.limits,
        workspaces,
        ..RouteSet::default()
    };
    Ok((set, result))
}

/// Splits a list into spans that the base has too and added items.
fn diff<T: Clone>(base: &[u64], hashes: &[u64], items: &[T]) -> (Vec<KeptSpan>, Vec<T>) {
    let positions: HashMap<u64, u32> = base.iter().copied().zip(0..).collect();
    let mut spans: Vec<KeptSpan> = Vec::new();
    let mut added = Vec::new();
    for ((position, hash), item) in (0..).zip(hashes).zip(items) {
        if let Some(last) = spans.last_mut()
            && last.position + last.length == position
            && base.get((last.base_position + last.length) as usize) == Some(hash)
        {
            last.length += 1;
            continue;
        }
        match positions.get(hash) {
            Some(base_position) => {
                spans.push(KeptSpan { position, base_position: *base_position, length: 1 });
            }
            None => added.push(item.clone()),
        }
    }
    (spans, added)
}

/// Reverses [`diff`]; returns the list with the hashes of its items.
fn patch<T: Clone + Message>(
    base: &[T],
    base_hashes: &[u64],
    spans: &[KeptSpan],
    added: Vec<T>,
) -> Result<(Vec<T>, Vec<u64>), ChangeError> {
    let mut items = Vec::new();
    let mut hashes = Vec::new();
    let mut added = added.into_iter();
    for span in spans {
        while items.len() < span.position as usize {
            let item = added.next().ok_or(ChangeError::WrongBase)?;
            hashes.push(hash_item(&item));
            items.push(item);
        }
        let first = span.base_position as usize;
        let kept = first..first.saturating_add(span.length as usize);
        items.extend_from_slice(base.get(kept.clone()).ok_or(ChangeError::WrongBase)?);
        hashes.extend_from_slice(base_hashes.get(kept).ok_or(ChangeError::WrongBase)?);
    }
    for item in added {
        hashes.push(hash_item(&item));
        items.push(item);
    }
    Ok((items, hashes))
}
