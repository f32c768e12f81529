//! Fault-injecting TCP proxy.

use {
    clap::Parser,
    eyre::{OptionExt, Result},
    std::net::SocketAddr,
};

/// Passes TCP connections on, and fails them on request.
#[derive(Debug, Parser)]
struct Args {
    /// Address of the interface that sets faults.
    #[arg(long)]
    control: SocketAddr,
    /// A route, as NAME=LISTEN=SERVER.
    #[arg(long = "route", value_name = "NAME=LISTEN=SERVER")]
    routes: Vec<String>,
}

#[actix_web::main]
async fn main() -> Result<()> {
    let args = Args::parse();
    let routes: Result<Vec<_>> = args.routes.iter().map(|text| route(text)).collect();
    stand::fault::serve(args.control, routes?).await?;
    Ok(())
}

fn route(text: &str) -> Result<(String, SocketAddr, SocketAddr)> {
    let mut parts = text.split('=');
    let mut next = || parts.next().ok_or_eyre("a route is NAME=LISTEN=SERVER");
    Ok((next()?.to_owned(), next()?.parse()?, next()?.parse()?))
}
