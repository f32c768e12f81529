//! Stand-in for the platform.

use {clap::Parser, std::net::SocketAddr};

/// Serves a table service, an object store and a list of VMs from memory.
#[derive(Debug, Parser)]
struct Args {
    /// Address to listen on.
    #[arg(long)]
    listen: SocketAddr,
}

#[actix_web::main]
async fn main() -> eyre::Result<()> {
    let args = Args::parse();
    stand::platform::serve(args.listen).await?;
    Ok(())
}
