//! The parts of the decisions.

use std::time::Duration;

use fescueway_allotment::{
    AccountAnswer, AccountQuestion, AllotmentEntry, AllotmentOwner, EntryDecision, FallbackShare,
    FleetView, PrefetchedTokens, ReleasedBucket, TOKEN_LIFETIME,
};
use fescueway_config::AllotmentPlan;
use fescueway_core::{AccountName, MonoTime, NodeId, Priority};

const PLAN: AllotmentPlan = AllotmentPlan {
    rate_per_s: 10.0,
    burst: 10.0,
};

fn at_ms(millis: u64) -> MonoTime {
    MonoTime::ZERO + Duration::from_millis(millis)
}

/// The view of the node 1 in a fleet of the nodes 1 to `count`, after 100 s.
fn view_of(count: u64) -> FleetView {
    let mut view = FleetView::new(NodeId(1));
    for second in 0..=100 {
        let live = (1..=count).map(|node| (NodeId(node), false));
        view.update(at_ms(second * 1_000), true, live);
    }
    view
}

/// An account that this node owns (or not) in a view.
fn account_owned(view: &FleetView, by_own: bool) -> AccountName {
    let names = (0..1_000).map(|number| AccountName::from(format!("account-{number}").as_str()));
    let mut fitting = names.filter(|name| (view.owner(name) == Some(view.own())) == by_own);
    fitting.next().expect("an account")
}

fn question(account: &AccountName, waiting: u16) -> AccountQuestion {
    AccountQuestion {
        account: account.clone(),
        waiting: [0, waiting, 0],
        prefetch: 0,
        returned: 0,
        refused: [0; 3],
        released: None,
    }
}

fn granted(answer: AccountAnswer) -> u16 {
    match answer {
        AccountAnswer::Decided { granted, .. } => granted.iter().sum(),
        AccountAnswer::Moved { .. } | AccountAnswer::NotGranting => 0,
    }
}

/// Guards against tokens that are used later than half a second after they were asked for.
#[test]
fn prefetched_tokens_expire_by_the_time_of_the_question() {
    let mut tokens = PrefetchedTokens::default();
    tokens.add(at_ms(1_000), 2);
    tokens.add(at_ms(1_200), 3);
    assert_eq!(tokens.remove_expired(at_ms(1_499)), 0);
    assert!(tokens.try_take());
    assert_eq!(tokens.remove_expired(at_ms(1_500)), 1);
    assert_eq!(tokens.count(), 3);
    assert_eq!(tokens.remove_expired(at_ms(1_700)), 3);
    assert!(!tokens.try_take());
}

/// Guards against shares whose unused tokens add up over time, at one entry or at all together.
#[test]
fn shares_of_many_entries_stay_below_the_rate() {
    for rate_per_s in [2.0, 20.0, 300.0] {
        let shares = (0..68).map(|index| {
            let phase = f64::from(index) / 68.0;
            FallbackShare::new(at_ms(0), rate_per_s, rate_per_s / 68.0, phase)
        });
        let mut shares: Vec<_> = shares.collect();
        // No requests for a minute, then as many as there are tokens for 5 s.
        let mut used = 0;
        for millis in 60_000..65_000 {
            for share in &mut shares {
                while share.try_take(at_ms(millis)).is_ok() {
                    used += 1;
                }
            }
        }
        assert!(
            f64::from(used) >= 0.95 * rate_per_s * 5.0,
            "{used} at {rate_per_s}/s"
        );
        assert!(
            f64::from(used) <= rate_per_s * 5.5 + 12.0,
            "{used} at {rate_per_s}/s"
        );
    }
}

/// Guards against tokens of an answer that arrives after their lifetime, for instance since this node was
/// frozen.
#[test]
fn late_answer_grants_nothing() {
    let view = view_of(10);
    let account = account_owned(&view, false);
    let mut entry = AllotmentEntry::new(1);
    let now = at_ms(100_000);
    let asked = (&account, &PLAN);
    let decision = entry.request(now, &view, asked, Priority::Normal);
    assert!(matches!(decision, EntryDecision::Wait(..)));
    let questions = entry.next_questions(now, &view);
    let [(owner, question)] = questions.as_slice() else {
        panic!("{questions:?}");
    };
    let answers = [AccountAnswer::Decided {
        granted: [0, 1, 0],
        prefetched: 5,
        open_classes: 3,
        pause_ms: 50,
        room_after_ms: 0,
    }];
    let late = now + TOKEN_LIFETIME;
    let ends = entry.answered(late, &view, (*owner, question), &answers, |_| Some(PLAN));
    assert_eq!(ends.len(), 1);
    assert!(ends[0].result.is_err());
    let decision = entry.request(late, &view, asked, Priority::Normal);
    assert!(
        matches!(decision, EntryDecision::Refused(_)),
        "{decision:?}"
    );
}

/// Guards against a message for each account or request: there is one to an owner at a time.
#[test]
fn accounts_of_one_owner_share_a_message() {
    let view = view_of(2);
    let names = (0..100).map(|number| AccountName::from(format!("account-{number}").as_str()));
    let others: Vec<_> = names
        .filter(|name| view.owner(name) == Some(NodeId(2)))
        .collect();
    let mut entry = AllotmentEntry::new(1);
    let now = at_ms(100_000);
    entry.request(now, &view, (&others[0], &PLAN), Priority::Normal);
    assert_eq!(entry.next_questions(now, &view).len(), 1);
    for name in &others {
        entry.request(now, &view, (name, &PLAN), Priority::Normal);
        assert!(entry.next_questions(now, &view).is_empty());
    }
    let question = fescueway_allotment::OwnerQuestion {
        sent_at: now,
        accounts: vec![question(&others[0], 1)],
    };
    let answers = [AccountAnswer::NotGranting];
    let ends = entry.answered(now, &view, (NodeId(2), &question), &answers, |_| Some(PLAN));
    assert_eq!(ends.len(), 2);
    let questions = entry.next_questions(now, &view);
    assert_eq!(questions.len(), 1);
    assert_eq!(questions[0].1.accounts.len(), others.len());
}

/// Guards against a question for each request of a hot account: the entry refuses by itself until the time
/// that it was told.
#[test]
fn refused_account_is_not_asked_for_before_the_pause_is_over() {
    let view = view_of(10);
    let account = account_owned(&view, false);
    let mut entry = AllotmentEntry::new(1);
    let now = at_ms(100_000);
    let asked = (&account, &PLAN);
    entry.request(now, &view, asked, Priority::Normal);
    let questions = entry.next_questions(now, &view);
    let answers = [AccountAnswer::Decided {
        granted: [0; 3],
        prefetched: 0,
        open_classes: 1,
        pause_ms: 80,
        room_after_ms: 700,
    }];
    let (owner, question) = &questions[0];
    entry.answered(now, &view, (*owner, question), &answers, |_| Some(PLAN));
    let decision = entry.request(at_ms(100_079), &view, asked, Priority::Low);
    let EntryDecision::Refused(retry_after) = decision else {
        panic!("{decision:?}");
    };
    assert!(retry_after >= Duration::from_millis(621), "{retry_after:?}");
    assert!(entry.next_questions(at_ms(100_079), &view).is_empty());
    // More urgent requests are still asked for.
    let decision = entry.request(at_ms(100_079), &view, asked, Priority::High);
    assert!(matches!(decision, EntryDecision::Wait(..)));
    let questions = entry.next_questions(at_ms(100_079), &view);
    assert_eq!(questions[0].1.accounts[0].refused, [0, 0, 1]);
}

/// Guards against a new owner that starts with a full bucket, and against one that takes an account
/// that was idle for one that was just taken over.
#[test]
fn new_owner_starts_nearly_empty() {
    let mut view = view_of(20);
    let taken_over = (0..1_000)
        .map(|number| AccountName::from(format!("account-{number}").as_str()))
        .find(|name| {
            view.owner_without(name, NodeId(20)) == Some(NodeId(1))
                && view.owner(name) == Some(NodeId(20))
        })
        .expect("an account of node 20");
    let own = account_owned(&view, true);
    let live = (1..20).map(|node| (NodeId(node), false));
    let now = at_ms(100_500);
    view.update(now, true, live);
    let mut owner = AllotmentOwner::default();
    assert_eq!(
        granted(owner.answer(now, &view, &PLAN, &question(&own, 50))),
        22
    );
    let first = granted(owner.answer(now, &view, &PLAN, &question(&taken_over, 50)));
    assert_eq!(first, 5);
}

/// Guards against tokens that are released twice, and against a node that grants after it has released.
#[test]
fn leaving_owner_releases_its_tokens_once() {
    let view = view_of(10);
    let own = account_owned(&view, true);
    let now = at_ms(100_500);
    let mut owner = AllotmentOwner::default();
    assert_eq!(
        granted(owner.answer(now, &view, &PLAN, &question(&own, 10))),
        10
    );
    let messages = owner.release_all(now, &view);
    let (to, questions) = messages.first_key_value().expect("a message");
    let released = questions[0].released.expect("released tokens");
    let expected = ReleasedBucket {
        by: NodeId(1),
        tokens: 12,
    };
    assert_eq!(released, expected);
    let answer = owner.answer(now, &view, &PLAN, &question(&own, 1));
    let moved = AccountAnswer::Moved {
        to: *to,
        released: Some(0),
    };
    assert_eq!(answer, moved);
    // The next owner still knows this node.
    let mut next_view = FleetView::new(*to);
    for second in 0..=100 {
        let live = (1..=10).map(|node| (NodeId(node), false));
        next_view.update(at_ms(second * 1_000), true, live);
    }
    let mut next = AllotmentOwner::default();
    let answer = next.answer(now, &next_view, &PLAN, &question(&own, 1));
    assert!(
        matches!(answer, AccountAnswer::Moved { released: None, .. }),
        "{answer:?}"
    );
    next.answer(now, &next_view, &PLAN, &questions[0]);
    let later = granted(next.answer(now, &next_view, &PLAN, &question(&own, 50)));
    assert!((12..=17).contains(&later), "{later}");
}

/// Guards against tokens that are lost when callers move: unused ones come back to the bucket.
#[test]
fn returned_tokens_are_granted_again() {
    let view = view_of(1);
    let own = AccountName::from("orchard");
    let now = at_ms(100_100);
    let mut owner = AllotmentOwner::default();
    assert_eq!(
        granted(owner.answer(now, &view, &PLAN, &question(&own, 50))),
        22
    );
    assert_eq!(
        granted(owner.answer(now, &view, &PLAN, &question(&own, 50))),
        0
    );
    let returning = AccountQuestion {
        returned: 4,
        ..question(&own, 50)
    };
    assert_eq!(granted(owner.answer(now, &view, &PLAN, &returning)), 4);
}

/// Guards against an owner that grants in a minority, after a pause, or at once after it sees
/// the others again.
#[test]
fn owner_grants_only_with_a_recent_view_of_a_majority() {
    let mut view = view_of(9);
    let update = |view: &mut FleetView, millis, seen: u64| {
        let live = (1..=9).map(|node| (NodeId(node), node > seen));
        view.update(at_ms(millis), true, live);
    };
    update(&mut view, 100_200, 5);
    assert!(view.may_grant(at_ms(100_300)));
    assert!((view.grant_factor() - 5.0 / 9.0).abs() < 1e-9);
    update(&mut view, 100_400, 4);
    assert!(!view.may_grant(at_ms(100_400)));
    update(&mut view, 100_600, 9);
    assert!(!view.may_grant(at_ms(100_600)));
    for step in 1..=13 {
        update(&mut view, 100_600 + 200 * step, 9);
    }
    assert!(view.may_grant(at_ms(103_200)));
    assert!(!view.may_grant(at_ms(105_000)), "no update for too long");
    update(&mut view, 105_000, 9);
    assert!(!view.may_own(), "just resumed");
}

/// Guards against a lone node that never grants, and against one that grants before its search.
#[test]
fn lone_node_owns_everything_after_its_search() {
    let account = AccountName::from("orchard");
    let mut view = FleetView::new(NodeId(1));
    let mut owner = AllotmentOwner::default();
    for step in 0..25 {
        let now = at_ms(200 * step);
        view.update(now, step >= 10, [(NodeId(1), false)]);
        let answer = owner.answer(now, &view, &PLAN, &question(&account, 1));
        let is_granting = step >= 15;
        assert_eq!(granted(answer) > 0, is_granting, "after {now:?}");
    }
}
