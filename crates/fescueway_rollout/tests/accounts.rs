//! Client accounts in the store, between nodes and in force.

mod common;

use std::collections::BTreeMap;

use common::{SITE, TIMEOUT, accept, client, config, reply};
use fescueway_config::{ConfigSet, Document, SitePlan};
use fescueway_core::{MonoTime, SiteName};
use fescueway_rollout::{
    ConfigReply, ConfigRequest, RolloutAction, RolloutEvent, RolloutState, driver,
};
use fescueway_testkit::StoreStub;
use rand_pcg::Pcg64Mcg;

/// A configuration with one service and `count` accounts, of which the first has another key.
fn accounts(count: usize, first_key: &str) -> ConfigSet {
    let account = |number: usize| {
        let key = if number == 0 {
            first_key.to_owned()
        } else {
            format!("secret-{number}")
        };
        let name = format!("account-{number}");
        let plan = format!(r#"{{ "keys": ["{key}"], "rate_per_s": 100, "burst": 200 }}"#);
        format!(r#""{name}": {plan}"#)
    };
    let accounts: Vec<_> = (0..count).map(account).collect();
    let text = format!(
        r#"{{ "services": {{ "bands": {{ "path_prefixes": ["/bands"] }} }},
            "accounts": {{ {} }} }}"#,
        accounts.join(",")
    );
    let base = Document::parse("base.json", &text).unwrap();
    let overlay = Document::parse("bala.json", r#"{ "site": "bala" }"#).unwrap();
    ConfigSet::check(&base, &[overlay]).unwrap()
}

/// A node's state after it received `reply`, and the plan that it put in force.
fn receive(state: &mut RolloutState, reply: ConfigReply) -> Option<SitePlan> {
    let mut random = Pcg64Mcg::new(5);
    let event = RolloutEvent::Fetched(reply);
    let actions = state.handle(MonoTime::ZERO, event, &mut random);
    actions.into_iter().find_map(|action| match action {
        RolloutAction::PutInForce { plan, .. } => Some((*plan).clone()),
        _ => None,
    })
}

fn has_key(plan: &SitePlan, key: &str) -> bool {
    let accounts = plan.accounts.as_ref().expect("accounts");
    accounts.find(key.as_bytes()).is_some()
}

#[tokio::test]
async fn accounts_are_stored_with_their_site_and_put_in_force() {
    let store = StoreStub::start().await.unwrap();
    let written = accounts(76, "secret-0");
    accept(&store, &written).await;
    let site = SiteName::from(SITE);
    let fetched = driver::fetch_site(&client(&store), &site, &BTreeMap::new(), TIMEOUT).await;
    let fetched = fetched.unwrap().expect("a configuration");
    let mut state = RolloutState::new(site);
    let plan = receive(&mut state, fetched).expect("in force");
    assert_eq!(plan, written.sites()[SITE]);
    assert!(has_key(&plan, "secret-75"));
}

/// Guards against a change of one account that sends all of them, and against one that is missed.
#[test]
fn change_of_one_account_is_sent_as_one_value() {
    let mut states = [(); 2].map(|()| RolloutState::new(SiteName::from(SITE)));
    for state in &mut states {
        receive(state, reply(1, &accounts(10_000, "secret-0"))).expect("in force");
    }
    let [old, new] = &mut states;
    receive(new, reply(2, &accounts(10_000, "secret-next"))).expect("in force");
    let request = ConfigRequest {
        site: SiteName::from(SITE),
        have: 1,
    };
    let partial = new.answer(&request).expect("a reply");
    assert_eq!((partial.is_full, partial.values.len()), (false, 1));
    let length = partial.to_bytes().len();
    assert!(length < 100_000, "{length} bytes");
    let plan = receive(old, partial).expect("in force");
    assert!(has_key(&plan, "secret-next") && !has_key(&plan, "secret-0"));
    receive(new, reply(3, &config(1_000, 0))).expect("in force");
    let partial = new.answer(&ConfigRequest { have: 2, ..request });
    let plan = receive(old, partial.expect("a reply")).expect("in force");
    assert!(plan.accounts.is_none());
}

/// Guards against a site whose accounts no peer can send: messages have at most a MiB.
#[test]
fn full_reply_with_10000_accounts_fits_in_a_message() {
    let full = reply(1, &accounts(10_000, "secret-0"));
    let bytes = full.to_bytes();
    let read = ConfigReply::from_bytes(&bytes);
    assert_eq!(read.as_ref(), Ok(&full), "{} bytes", bytes.len());
}
