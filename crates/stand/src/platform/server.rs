//! HTTP interface of the stand-in platform.

use {
    super::store::{FaultConfig, Mode, Store},
    actix_web::{App, HttpResponse, HttpServer, web},
    futures_util::stream,
    ports::{Op, Range, VmInfo},
    serde::Serialize,
    std::{
        io,
        net::SocketAddr,
        sync::{Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
};

const HANG_DURATION: Duration = Duration::from_secs(30);
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

type Shared = web::Data<Mutex<Store>>;

/// Serves the platform on `address` until the process ends.
///
/// # Errors
/// Fails if the address cannot be bound.
pub async fn serve(address: SocketAddr) -> io::Result<()> {
    let shared: Shared = web::Data::new(Mutex::new(Store::default()));
    HttpServer::new(move || {
        App::new()
            .app_data(shared.clone())
            .app_data(web::PayloadConfig::new(MAX_BODY_BYTES))
            .app_data(
                web::JsonConfig::default()
                    .limit(MAX_BODY_BYTES)
                    .content_type_required(false),
            )
            .route("/table/commit", web::post().to(commit))
            .route("/table/get", web::post().to(get))
            .route("/table/sweep", web::post().to(delete_range))
            .route("/objects/{name:.*}", web::get().to(read_object))
            .route("/objects/{name:.*}", web::post().to(write_object))
            .route("/vms", web::get().to(vms))
            .route("/vms", web::post().to(set_vms))
            .route("/control/fault", web::post().to(set_fault))
            .route("/control/snapshot", web::post().to(take_snapshot))
            .route("/control/restore", web::post().to(restore_snapshot))
            .route("/control/stats", web::get().to(stats))
            .route("/control/rows", web::get().to(rows))
    })
    .workers(2)
    .bind(address)?
    .run()
    .await
}

fn lock(store: &Shared) -> MutexGuard<'_, Store> {
    store.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Applies the delay or the outage that is configured. A call for which this returns a
/// response ends with that response and has no effect.
async fn apply_fault(store: &Shared) -> Option<HttpResponse> {
    let fault = lock(store).fault.clone();
    match fault.mode {
        Mode::Up => {}
        Mode::Down => return Some(HttpResponse::ServiceUnavailable().finish()),
        Mode::Hang => {
            actix_web::rt::time::sleep(HANG_DURATION).await;
            return Some(HttpResponse::ServiceUnavailable().finish());
        }
    }
    if fault.delay_ms > 0 {
        actix_web::rt::time::sleep(Duration::from_millis(fault.delay_ms)).await;
    }
    None
}

/// Returns a response whose body fails, so that the connection ends without a complete
/// response.
fn lost_response() -> HttpResponse {
    let body = stream::once(async { Err::<web::Bytes, _>(io::Error::other("response lost")) });
    HttpResponse::Ok().streaming(body)
}

fn json_response<T: Serialize>(value: &T) -> HttpResponse {
    HttpResponse::Ok().json(value)
}

async fn commit(store: Shared, ops: web::Json<Vec<Op>>) -> HttpResponse {
    if let Some(response) = apply_fault(&store).await {
        return response;
    }
    let mut store = lock(&store);
    if store.fault.lose_commits > 0 {
        store.fault.lose_commits -= 1;
        return lost_response();
    }
    let results = store.commit(ops.into_inner());
    if store.fault.lose_responses > 0 {
        store.fault.lose_responses -= 1;
        return lost_response();
    }
    json_response(&results)
}

async fn get(store: Shared, keys: web::Json<Vec<String>>) -> HttpResponse {
    if let Some(response) = apply_fault(&store).await {
        return response;
    }
    json_response(&lock(&store).get(&keys))
}

async fn delete_range(store: Shared, range: web::Json<Range>) -> HttpResponse {
    if let Some(response) = apply_fault(&store).await {
        return response;
    }
    json_response(&lock(&store).delete_range(&range))
}

async fn read_object(store: Shared, name: web::Path<String>) -> HttpResponse {
    if let Some(response) = apply_fault(&store).await {
        return response;
    }
    let mut store = lock(&store);
    store.stats.reads += 1;
    let object = store.objects.get(name.as_str()).cloned();
    object.map_or_else(
        || HttpResponse::NotFound().finish(),
        |bytes| HttpResponse::Ok().body(bytes),
    )
}

async fn write_object(store: Shared, name: web::Path<String>, bytes: web::Bytes) -> HttpResponse {
    if let Some(response) = apply_fault(&store).await {
        return response;
    }
    let mut store = lock(&store);
    store.stats.writes += 1;
    store.objects.insert(name.into_inner(), bytes.to_vec());
    HttpResponse::Ok().finish()
}

async fn vms(store: Shared) -> HttpResponse {
    if let Some(response) = apply_fault(&store).await {
        return response;
    }
    let mut store = lock(&store);
    store.stats.reads += 1;
    json_response(&store.vms)
}

async fn set_vms(store: Shared, vms: web::Json<Vec<VmInfo>>) -> HttpResponse {
    lock(&store).vms = vms.into_inner();
    HttpResponse::Ok().finish()
}

async fn set_fault(store: Shared, fault: web::Json<FaultConfig>) -> HttpResponse {
    lock(&store).fault = fault.into_inner();
    HttpResponse::Ok().finish()
}

async fn take_snapshot(store: Shared) -> HttpResponse {
    lock(&store).take_snapshot();
    HttpResponse::Ok().finish()
}

async fn restore_snapshot(store: Shared) -> HttpResponse {
    lock(&store).restore_snapshot();
    HttpResponse::Ok().finish()
}

async fn stats(store: Shared) -> HttpResponse {
    json_response(&lock(&store).stats)
}

async fn rows(store: Shared) -> HttpResponse {
    json_response(&lock(&store).rows)
}
