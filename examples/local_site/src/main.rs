//! A whole site in one process: store, backend servers and nodes on loopback, under load and
//! faults.
//!
//! It brings the site up, loads its configuration the way an operator does, drives reads, bookings
//! and downloads through a drain, a straggler, a killed backend server and a store outage, and ends
//! with a table. It exits with 1 when an invariant is broken.

mod announcer;
mod call_client;
mod call_result;
mod fault_schedule;
mod load_driver;
mod load_tally;
mod site_options;
mod site_report;
mod site_shape;
mod site_stage;
mod stage_vm;
mod warm_up;

use std::process::ExitCode;

use eyre::Result;

use crate::{
    load_driver::LoadDriver,
    site_options::{OptionsResult, SiteOptions},
    site_report::SiteReport,
    site_shape::SiteShape,
    site_stage::SiteStage,
};

/// Threads that share the stand-ins, the nodes and the load.
const WORKER_THREADS: usize = 4;

/// Exit code when the command line makes no sense.
const USAGE_CODE: u8 = 2;

fn main() -> ExitCode {
    let options = match SiteOptions::parse(lexopt::Parser::from_env()) {
        Ok(options) => options,
        Err(error) => {
            eprintln!("local_site: {error}; see --help");
            return ExitCode::from(USAGE_CODE);
        }
    };
    match start(options) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("local_site: {error:#}");
            ExitCode::FAILURE
        }
    }
}

/// Does what the command line asks for.
fn start(options: OptionsResult) -> Result<ExitCode> {
    let options = match options {
        OptionsResult::Run(options) => options,
        OptionsResult::Help => {
            println!("{}", site_options::HELP);
            return Ok(ExitCode::SUCCESS);
        }
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build()?;
    runtime.block_on(run(options))
}

/// Brings the site up and drives or serves it.
async fn run(options: SiteOptions) -> Result<ExitCode> {
    let shape = if options.is_pwll {
        SiteShape::pwll()
    } else {
        SiteShape::caprock()
    };
    let mut stage = SiteStage::start(&shape).await?;
    if options.is_serving {
        stage.print_addresses();
        tokio::signal::ctrl_c().await?;
        stage.stop().await;
        return Ok(ExitCode::SUCCESS);
    }
    let tally = LoadDriver::new(&shape, options.seconds)
        .run(&mut stage)
        .await?;
    let report = SiteReport::new(&shape, &stage, &tally, options.seconds);
    stage.stop().await;
    if options.is_json {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        print!("{}", report.table());
    }
    Ok(if report.is_sound() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}
