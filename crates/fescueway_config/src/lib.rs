//! Configuration: a base file and an overlay per site, merged and validated together.
//!
//! A [`Document`] is JSON with comments that records the line of each field, so that an error names
//! the file, the line and the field. [`ConfigSet::check`] merges a base with the overlays of all
//! sites. Raw types are converted to plans by `TryFrom`, which validates them. The platform's store
//! holds the canonical form of each service ([`ServiceValue`]).
//!
//! This crate does no I/O. The daemon also parses its own settings with [`Document`].

mod account_directory;
mod account_plan;
mod config_diff;
mod config_error;
mod config_set;
mod document;
mod field_page;
mod field_rule;
mod raw_service;
mod service_check;
mod service_plan;
mod service_rules;
mod site_document;
mod site_plan;
mod stored_service;
mod strict_value;
mod suggestion;

pub use crate::{
    account_directory::{AccountDirectory, SharedKeyError},
    account_plan::{AccountKey, AccountPlan, AllotmentPlan},
    config_diff::ConfigChange,
    config_error::{ConfigError, FieldFault, ValidationStage},
    config_set::ConfigSet,
    document::Document,
    field_page::{field_table, service_table},
    field_rule::{FieldRule, NumberRule, TextRule},
    raw_service::{
        RawClaim, RawDefaultRoute, RawLimit, RawLocality, RawObjective, RawProbe, RawRetry,
        RawRoute, RawService,
    },
    service_plan::{
        ClaimPlan, HedgePlan, LimitPlan, LocalityPlan, ObjectivePlan, ProbePlan, RetryPlan,
        RoutePlan, ServicePlan, WarmupPlan, WeightedService,
    },
    service_rules::SERVICE_RULES,
    site_plan::{RouteMatch, SitePlan},
    stored_service::{ServiceDigest, ServiceValue, StoredService},
    suggestion::nearest_name,
};
