//! The evacuations that a node knows never go back to an earlier revision.

use fescueway_core::DomainName;
use fescueway_rollout::EvacuationSet;

fn set(revision: (u64, i64), domains: &[&str]) -> EvacuationSet {
    EvacuationSet {
        revision,
        domains: domains.iter().map(|name| DomainName::new(*name)).collect(),
    }
}

/// Guards against an evacuation that a lagging peer ends, or begins again.
#[test]
fn lower_revision_of_the_same_era_never_replaces_a_higher_one() {
    let mut known = set((1, 40), &["a"]);
    assert!(!known.replace(set((1, 39), &[])));
    assert_eq!(known, set((1, 40), &["a"]));
    assert!(known.replace(set((1, 41), &["b"])));
    assert!(!known.replace(set((1, 40), &["a"])));
    assert_eq!(known, set((1, 41), &["b"]));
}

/// Guards against an evacuation that stays for ever because the restored store counts from lower
/// revisions.
#[test]
fn later_era_replaces_a_higher_revision() {
    let mut known = set((1, 40), &["a"]);
    assert!(known.replace(set((2, 7), &[])));
    assert!(!known.replace(set((1, 41), &["a"])));
}

/// Guards against a stale read at the start that ends an evacuation which a peer has told of.
#[test]
fn outdated_set_counts_only_until_another_is_known() {
    let mut known = set((0, 0), &["a"]);
    assert!(known.replace(set((0, 12), &[])));
    assert!(!known.replace(set((0, 0), &["a"])));
}

#[test]
fn changes_older_than_the_set_are_ignored() {
    let mut known = set((1, 40), &[]);
    assert!(!known.change((1, 39), DomainName::new("a"), true));
    assert!(known.change((1, 41), DomainName::new("a"), true));
    // Two changes of one answer.
    assert!(known.change((1, 42), DomainName::new("a"), false));
    known.advance((1, 42));
    assert!(!known.change((1, 41), DomainName::new("a"), true));
    assert!(!known.change((2, 50), DomainName::new("a"), true));
    assert_eq!(known, set((1, 42), &[]));
}
