//! Program that runs the stand-in for upstreams.

use {
    clap::Parser,
    settings::Fleet,
    stand::upstream::{Behaviour, Fault, TargetSpec},
    std::{net::SocketAddr, path::PathBuf},
};

const DEFAULT_SERVICE_MS: f64 = 30.0;

/// Serves the targets of a fleet.
#[derive(Debug, Parser)]
struct Args {
    /// Address of the HTTP interface that changes targets and returns the run log.
    #[arg(long)]
    control: SocketAddr,
    /// Fleet settings file that lists the targets.
    #[arg(long)]
    fleet: PathBuf,
    /// Availability zone whose targets are served [default: all zones].
    #[arg(long)]
    zone: Option<String>,
    /// Mean service time of a service in milliseconds; may be repeated [default: 30].
    #[arg(long = "service-ms", value_name = "SERVICE=MS")]
    service_ms: Vec<String>,
    /// Seed of the random service times.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

#[actix_web::main]
async fn main() -> eyre::Result<()> {
    let args = Args::parse();
    let fleet = settings::load_fleet(&args.fleet)?;
    let target_specs = target_specs(&fleet, &args);
    stand::upstream::serve(args.control, target_specs, args.seed).await?;
    Ok(())
}

fn target_specs(fleet: &Fleet, args: &Args) -> Vec<(TargetSpec, Behaviour)> {
    let mut specs = Vec::new();
    for service in &fleet.services {
        let behaviour = Behaviour {
            service_ms: mean_service_ms(&args.service_ms, &service.name),
            fault: Fault::None,
            restart_ms: 1000,
        };
        let is_served = |zone: &str| args.zone.as_deref().is_none_or(|wanted| wanted == zone);
        for target in service
            .targets
            .iter()
            .filter(|target| is_served(&target.zone))
        {
            let spec = TargetSpec {
                name: target.name.clone(),
                service: service.name.clone(),
                zone: target.zone.clone(),
                address: target.address,
                slots: target.slots,
            };
            specs.push((spec, behaviour));
        }
    }
    specs
}

fn mean_service_ms(overrides: &[String], service: &str) -> f64 {
    let mut pairs = overrides.iter().filter_map(|text| text.split_once('='));
    let found = pairs.find(|(name, _)| *name == service);
    found
        .and_then(|(_, ms)| ms.parse().ok())
        .unwrap_or(DEFAULT_SERVICE_MS)
}
