//! Starts the targets of a process and serves the HTTP interface that controls them.

use {
    super::{
        log::Log,
        target::{self, Behaviour, Target, TargetSpec},
    },
    actix_web::{App, HttpResponse, HttpServer, web},
    serde_json::json,
    std::{io, net::SocketAddr, sync::Arc},
};

struct Shared {
    targets: Vec<Arc<Target>>,
    log: Arc<Log>,
}

/// Serves targets, and their control interface on `control`, until the process ends.
/// The random numbers of each target follow from `seed` and its position in `specs`.
///
/// # Errors
/// Fails if `control` cannot be bound.
pub async fn serve(
    control: SocketAddr,
    specs: Vec<(TargetSpec, Behaviour)>,
    seed: u64,
) -> io::Result<()> {
    let log = Arc::new(Log::default());
    let mut targets = Vec::new();
    for (index, (spec, behaviour)) in specs.into_iter().enumerate() {
        let target_seed = seed.wrapping_add(index as u64);
        let target = Arc::new(Target::new(spec, behaviour, target_seed, log.clone()));
        actix_web::rt::spawn(target::serve(target.clone()));
        targets.push(target);
    }
    let shared = web::Data::new(Shared { targets, log });
    HttpServer::new(move || {
        App::new()
            .app_data(shared.clone())
            .route("/runs", web::get().to(runs))
            .route("/sheds", web::get().to(sheds))
            .route("/targets/{name:.*}", web::post().to(set_behaviour))
    })
    .workers(1)
    .bind(control)?
    .run()
    .await
}

async fn runs(shared: web::Data<Shared>) -> HttpResponse {
    HttpResponse::Ok().json(shared.log.runs())
}

async fn sheds(shared: web::Data<Shared>) -> HttpResponse {
    HttpResponse::Ok().json(json!({"sheds": shared.log.shed_count()}))
}

/// Changes every target whose name starts with the given prefix; returns their number when the change
/// is in force.
async fn set_behaviour(
    shared: web::Data<Shared>,
    prefix: web::Path<String>,
    behaviour: web::Json<Behaviour>,
) -> HttpResponse {
    let matches_prefix = |target: &&Arc<Target>| target.spec.name.starts_with(prefix.as_str());
    let mut changed = 0;
    for target in shared.targets.iter().filter(matches_prefix) {
        target.set_behaviour(behaviour.0);
        changed += 1;
    }
    for target in shared.targets.iter().filter(matches_prefix) {
        target.wait_until_closed().await;
    }
    HttpResponse::Ok().json(json!({"changed": changed}))
}
