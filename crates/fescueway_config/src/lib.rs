//! Configuration: a base file and an overlay per site, merged and validated together.
//!
//! A [`Document`] is JSON with comments that records the line of each field, so that an error names
//! the file, the line and the field. [`ConfigSet::check`] merges a base with the overlays of all
//! sites. Raw types are converted to plans by `TryFrom`, which validates them. The platform's store
//! holds the canonical form of each service and of the client accounts ([`ServiceValue`]).
//!
//! This crate does no I/O. The daemon also parses its own settings with [`Document`].

mod account_check;
mod account_directory;
mod account_key;
mod account_plan;
mod account_rules;
mod config_diff;
mod config_error;
mod config_set;
mod document;
mod field_page;
mod field_rule;
mod raw_account;
mod raw_service;
mod service_check;
mod service_plan;
mod service_rules;
mod site_document;
mod site_plan;
mod stored_accounts;
mod stored_service;
mod strict_value;
mod suggestion;

pub use crate::{
    account_directory::{AccountDirectory, DirectoryError, FoundAccount},
    account_key::AccountKey,
    account_plan::{AccountPlan, AllotmentPlan},
    account_rules::ACCOUNT_RULES,
    config_diff::ConfigChange,
    config_error::{ConfigError, FieldFault, ValidationStage},
    config_set::ConfigSet,
    document::Document,
    field_page::{account_table, field_table, service_table},
    field_rule::{FieldRule, NumberRule, TextRule},
    raw_account::RawAccount,
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
