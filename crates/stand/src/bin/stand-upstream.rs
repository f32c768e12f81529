//! Stand-in for upstreams.

use {
    clap::Parser,
    settings::Fleet,
    stand::upstream::{Behaviour, Fault, TargetSpec},
    std::{net::SocketAddr, path::PathBuf},
};

const DEFAULT_SERVICE_MS: f64 = 30.0;

/// Serves the targets of a fleet's settings.
#[derive(Debug, Parser)]
struct Args {
    /// Address of the interface that changes targets and shows the log of runs.
    #[arg(long)]
    control: SocketAddr,
    /// Fleet settings that name the targets.
    #[arg(long)]
    fleet: PathBuf,
    /// Availability zone whose targets are served; all zones without it.
    #[arg(long)]
    zone: Option<String>,
    /// Mean service time of a service, as SERVICE=MILLISECONDS.
    #[arg(long = "service-ms", value_name = "SERVICE=MS")]
    service_ms: Vec<String>,
    /// Seed of the service times.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

#[actix_web::main]
async fn main() -> eyre::Result<()> {
    let args = Args::parse();
    let fleet = settings::load_fleet(&args.fleet)?;
    let specs = specs(&fleet, &args);
    stand::upstream::serve(args.control, specs, args.seed).await?;
    Ok(())
}

fn specs(fleet: &Fleet, args: &Args) -> Vec<(TargetSpec, Behaviour)> {
    let mut out = Vec::new();
    for service in &fleet.services {
        let behaviour = Behaviour {
            service_ms: service_ms(&args.service_ms, &service.name),
            fault: Fault::None,
            restart_ms: 1000,
        };
        let here = |zone: &str| args.zone.as_deref().is_none_or(|wanted| wanted == zone);
        for target in service.targets.iter().filter(|target| here(&target.zone)) {
            let spec = TargetSpec {
                name: target.name.clone(),
                service: service.name.clone(),
                zone: target.zone.clone(),
                address: target.address,
                slots: target.slots,
            };
            out.push((spec, behaviour));
        }
    }
    out
}

fn service_ms(given: &[String], service: &str) -> f64 {
    let mut pairs = given.iter().filter_map(|text| text.split_once('='));
    let found = pairs.find(|(name, _)| *name == service);
    found
        .and_then(|(_, ms)| ms.parse().ok())
        .unwrap_or(DEFAULT_SERVICE_MS)
}
