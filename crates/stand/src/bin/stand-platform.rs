//! Program that runs the stand-in for the platform.

use {clap::Parser, std::net::SocketAddr};

/// Serves an in-memory table service, object store and VM list.
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
