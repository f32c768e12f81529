//! Program that runs the fault-injecting TCP proxy.

use {
    clap::Parser,
    eyre::{OptionExt, Result},
    std::net::SocketAddr,
};

/// Forwards TCP connections and injects faults on request.
#[derive(Debug, Parser)]
struct Args {
    /// Address of the HTTP interface that sets faults.
    #[arg(long)]
    control: SocketAddr,
    /// Route, as NAME=LISTEN=SERVER; may be repeated.
    #[arg(long = "route", value_name = "NAME=LISTEN=SERVER")]
    routes: Vec<String>,
}

#[actix_web::main]
async fn main() -> Result<()> {
    let args = Args::parse();
    let routes: Result<Vec<_>> = args.routes.iter().map(|text| parse_route(text)).collect();
    stand::fault::serve(args.control, routes?).await?;
    Ok(())
}

fn parse_route(text: &str) -> Result<(String, SocketAddr, SocketAddr)> {
    let mut parts = text.split('=');
    let mut next_part = || parts.next().ok_or_eyre("route is not NAME=LISTEN=SERVER");
    Ok((
        next_part()?.to_owned(),
        next_part()?.parse()?,
        next_part()?.parse()?,
    ))
}
