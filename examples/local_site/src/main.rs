//! A complete site in one process: store, backend servers and nodes on loopback, under load and
//! faults.
//!
//! It starts the site, applies its configuration as an operator does, and sends reads, bookings and
//! downloads during a drain, a straggler, a killed backend server and a store outage. Then it prints
//! a report. It exits with 1 when an invariant is violated.

mod announcer;
mod call_client;
mod call_result;
mod fault_schedule;
mod load_driver;
mod load_tally;
mod local_site;
mod site_options;
mod site_report;
mod site_spec;
mod site_vm;
mod warm_up;

use std::process::ExitCode;

use eyre::Result;

use crate::{
    load_driver::LoadDriver,
    local_site::LocalSite,
    site_options::{CliCommand, SiteOptions},
    site_report::SiteReport,
    site_spec::SiteSpec,
};

/// Threads that run the stubs, the nodes and the load.
const WORKER_THREADS: usize = 4;

/// Exit code for an invalid command line.
const USAGE_EXIT_CODE: u8 = 2;

fn main() -> ExitCode {
    let command = match SiteOptions::parse(lexopt::Parser::from_env()) {
        Ok(command) => command,
        Err(error) => {
            eprintln!("local_site: {error}; see --help");
            return ExitCode::from(USAGE_EXIT_CODE);
        }
    };
    match run_command(command) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("local_site: {error:#}");
            ExitCode::FAILURE
        }
    }
}

/// Runs the command.
fn run_command(command: CliCommand) -> Result<ExitCode> {
    let options = match command {
        CliCommand::Run(options) => options,
        CliCommand::Help => {
            println!("{}", site_options::HELP);
            return Ok(ExitCode::SUCCESS);
        }
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build()?;
    runtime.block_on(run_site(options))
}

/// Starts the site, then runs the load or serves until Ctrl-C.
async fn run_site(options: SiteOptions) -> Result<ExitCode> {
    let spec = if options.is_pwll {
        SiteSpec::pwll()
    } else {
        SiteSpec::caprock()
    };
    let mut site = LocalSite::start(&spec).await?;
    if options.is_serving {
        site.print_addresses();
        tokio::signal::ctrl_c().await?;
        site.stop().await;
        return Ok(ExitCode::SUCCESS);
    }
    let tally = LoadDriver::new(&spec, options.seconds)
        .run(&mut site)
        .await?;
    let report = SiteReport::new(&spec, &site, &tally, options.seconds);
    site.stop().await;
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
