//! Deltas between published sets.

use objects::{apply_delta, compute_delta};
use schema::{Model, ObjectSet, Weights, Workspace};

fn set(models: &[(&str, u64)], workspaces: &[&str]) -> ObjectSet {
    let model =
        |(name, tokens): &(&str, u64)| Model { name: name.to_string(), context_tokens: *tokens };
    let workspace =
        |name: &&str| Workspace { name: name.to_string(), share: 1, ..Workspace::default() };
    ObjectSet {
        models: models.iter().map(model).collect(),
        workspaces: workspaces.iter().map(workspace).collect(),
        ..ObjectSet::default()
    }
}

#[test]
fn applied_delta_reproduces_new_set() {
    let sets = [
        ObjectSet::default(),
        set(&[("a", 1)], &[]),
        set(&[("a", 2), ("b", 1)], &["x", "y"]),
        set(&[("b", 1)], &["y", "z", "x"]),
        ObjectSet { weights: Some(Weights::default()), ..set(&[("c", 9)], &["x"]) },
    ];
    for old in &sets {
        for new in &sets {
            let result =
                apply_delta(old, compute_delta(1, old, new)).expect("the checksum matches");

            assert!(objects::diff(&result, new).is_empty(), "{old:?} -> {new:?}: {result:?}");
            assert_eq!(result.weights, new.weights);
        }
    }
}

#[test]
fn delta_contains_only_changed_objects() {
    let many: Vec<String> = (0..1_000).map(|number| format!("w{number}")).collect();
    let names: Vec<&str> = many.iter().map(String::as_str).collect();
    let old = set(&[("a", 1)], &names);
    let new = set(&[("a", 2)], &names);

    let delta = compute_delta(1, &old, &new);

    let changed = delta.changed.expect("changed objects");
    assert_eq!((changed.models.len(), changed.workspaces.len()), (1, 0));
    assert!(delta.removed.is_empty());
}

#[test]
fn delta_for_another_base_set_is_rejected() {
    let old = set(&[("a", 1)], &["x"]);
    let new = set(&[("a", 2)], &["x"]);
    let other_base = set(&[("a", 1)], &["y"]);

    assert_eq!(apply_delta(&other_base, compute_delta(1, &old, &new)), None);
}
