//! Serves all targets of a process and the interface that changes them.

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

/// Serves targets until the process ends.
///
/// # Errors
/// When the address of the interface cannot be bound.
pub async fn serve(
    control: SocketAddr,
    specs: Vec<(TargetSpec, Behaviour)>,
    seed: u64,
) -> io::Result<()> {
    let log = Arc::new(Log::default());
    let mut targets = Vec::new();
    for (index, (spec, behaviour)) in specs.into_iter().enumerate() {
        let own_seed = seed.wrapping_add(index as u64);
        let target = Arc::new(Target::new(spec, behaviour, own_seed, log.clone()));
        actix_web::rt::spawn(target::run(target.clone()));
        targets.push(target);
    }
    let shared = web::Data::new(Shared { targets, log });
    HttpServer::new(move || {
        App::new()
            .app_data(shared.clone())
            .route("/runs", web::get().to(runs))
            .route("/sheds", web::get().to(sheds))
            .route("/targets/{name:.*}", web::post().to(set))
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
    HttpResponse::Ok().json(json!({"sheds": shared.log.sheds()}))
}

/// Changes every target whose name starts with the given one.
async fn set(
    shared: web::Data<Shared>,
    name: web::Path<String>,
    behaviour: web::Json<Behaviour>,
) -> HttpResponse {
    let named = |target: &&Arc<Target>| target.spec.name.starts_with(name.as_str());
    let mut changed = 0;
    for target in shared.targets.iter().filter(named) {
        target.set(behaviour.0);
        changed += 1;
    }
    HttpResponse::Ok().json(json!({"changed": changed}))
}
