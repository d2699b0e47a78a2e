//! Which limits on hedges apply to the requests of a service.

use std::sync::Arc;

use fescueway_config::{ConfigSet, Document, HedgePlan, RoutePlan, SitePlan, WeightedService};
use fescueway_core::SiteName;
use fescueway_proxy::HedgeLimits;

const DEFAULT: Option<HedgePlan> = Some(HedgePlan {
    share: Some(0.03),
    per_s: None,
});

/// A site whose service `a` has a limit and a route with another one, and whose service `b` has none.
fn site() -> SitePlan {
    let base = r#"{ "services": {
        "a": { "path_prefixes": ["/a"], "retry": { "hedge_share": 0.1, "hedge_per_s": 40 },
            "routes": { "own": { "path_prefix": "/a", "idempotency": "idempotent", "hedge_per_s": 4 },
                "shared": { "path_prefix": "/a/s", "idempotency": "idempotent", "hedge_per_s": 12,
                    "hedge_share": 0.2, "weights": { "a": 1, "b": 3 } } } },
        "b": { "path_prefixes": ["/b"] } } }"#;
    let base = Document::parse("base.json", base).expect("valid JSON");
    let overlay = Document::parse("test.json", r#"{ "site": "test" }"#).expect("valid JSON");
    let config = ConfigSet::check(&base, &[overlay]).expect("a valid configuration");
    config.sites()[&SiteName::from("test")].clone()
}

fn limits(site: &SitePlan, service: &str, fallback: Option<HedgePlan>) -> HedgeLimits {
    HedgeLimits::of_service(site, &site.services[service], fallback)
}

#[test]
fn a_service_has_its_own_limit_or_that_of_the_settings() {
    let site = site();
    let own = limits(&site, "a", DEFAULT).service.expect("a limit");
    assert_eq!((own.share, own.per_s), (Some(0.1), Some(40.0)));
    let fallback = limits(&site, "b", DEFAULT).service.expect("a limit");
    assert_eq!((fallback.share, fallback.per_s), (Some(0.03), None));
    assert_eq!(limits(&site, "b", None).service, None);
}

#[test]
fn services_that_share_a_route_share_its_cap() {
    let mut site = site();
    let kind = |name: &str| {
        let routes = site.services["a"].routes.iter();
        let route = routes.into_iter().find(|route| &*route.name == name);
        route.expect("the route").work_kind
    };
    let (own, shared) = (kind("own"), kind("shared"));
    let (a, b) = (limits(&site, "a", None), limits(&site, "b", None));
    assert_eq!(a.routes[&own].per_s, Some(4.0));
    assert!(!b.routes.contains_key(&own), "it sends nothing to b");
    // Both would otherwise make the hedges of the whole cap.
    assert_eq!(a.routes[&shared].per_s, Some(3.0));
    assert_eq!(b.routes[&shared].per_s, Some(9.0));
    assert_eq!(b.routes[&shared].share, Some(0.2));

    let mut route = site.services["a"].default_route.clone();
    route.work_kind = RoutePlan::work_kind_of("", "host route");
    route.hedge = HedgePlan::of_fields(None, Some(5.0));
    route.split = vec![WeightedService {
        service: "b".into(),
        weight: 1,
    }];
    let kind = route.work_kind;
    site.host_routes.insert("x".into(), vec![Arc::new(route)]);
    assert!(!limits(&site, "a", None).routes.contains_key(&kind));
    assert_eq!(limits(&site, "b", None).routes[&kind].per_s, Some(5.0));
}
