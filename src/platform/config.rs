//! The platform's configuration, translated into a route table.

use std::time::Duration;

use serde::Deserialize;

use crate::config::ConnectionLimits;
use crate::config::PathRoute;
use crate::config::Payer;
use crate::config::RepeatPolicy;
use crate::config::RouteTable;
use crate::config::TablePool;
use crate::field;
use crate::field::FieldError;
use crate::ids::NameError;
use crate::ids::TableVersion;
use crate::key_hash::KeyHash;
use crate::tokens::Tokens;

/// The longest time that a route or the start of an endpoint takes.
const MAX_TIME: Duration = Duration::from_secs(24 * 60 * 60);

/// The key of the newest configuration.
pub(crate) const KEY: &str = "config";

#[derive(Deserialize)]
struct Wire {
    version: u64,
    routes: Vec<WireRoute>,
    services: Vec<WireService>,
    limits: WireLimits,
    #[serde(default)]
    tenants: Vec<WireTenant>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireRoute {
    name: String,
    host: String,
    path_prefix: String,
    kind: WireKind,
    timeout_ms: f64,
    target_latency_ms: f64,
    #[serde(default)]
    priority: u8,
    /// The only service, unless the route is split.
    service: Option<String>,
    #[serde(default)]
    traffic_split: Vec<WireShare>,
    max_attempts: u32,
    #[serde(default)]
    public: bool,
    #[serde(default)]
    resumable: bool,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum WireKind {
    Idempotent,
    NonIdempotent,
    Streaming,
}

#[derive(Deserialize)]
struct WireShare {
    service: String,
    weight: u32,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireService {
    name: String,
    max_connections: u32,
    engine: Option<WireEngine>,
    /// How long an endpoint is cold after its start, in seconds.
    #[serde(default)]
    cold_start_s: f64,
    /// How many requests per second a cold endpoint can handle.
    #[serde(default)]
    cold_per_s: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireEngine {
    slots: u32,
    /// The maximum number of tokens in one event of a stream.
    stride: u64,
    /// How many tokens fit into its memory.
    kv_capacity: Option<u64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireLimits {
    max_header_bytes: usize,
    max_body_bytes: usize,
    header_timeout_ms: u64,
    idle_timeout_ms: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireTenant {
    name: String,
    api_keys: Vec<String>,
    #[serde(default)]
    priority: u8,
    prepaid: Option<f64>,
}

/// Decodes a configuration.
///
/// # Errors
///
/// Names the field that is invalid.
pub(crate) fn decode(text: &[u8]) -> Result<RouteTable, FieldError> {
    let wire: Wire = field::read_json(text)?;
    let intake = ConnectionLimits {
        head_bytes: wire.limits.max_header_bytes,
        body_bytes: wire.limits.max_body_bytes,
        head_time: Duration::from_millis(wire.limits.header_timeout_ms),
        idle_time: Duration::from_millis(wire.limits.idle_timeout_ms),
    };
    let routes = wire
        .routes
        .into_iter()
        .map(route)
        .collect::<Result<_, _>>()?;
    let pools = wire
        .services
        .into_iter()
        .map(pool)
        .collect::<Result<_, _>>()?;
    let payers = wire
        .tenants
        .into_iter()
        .map(payer)
        .collect::<Result<_, _>>()?;
    Ok(RouteTable::new(
        TableVersion(wire.version),
        intake,
        routes,
        pools,
        payers,
    ))
}

fn route(wire: WireRoute) -> Result<PathRoute, FieldError> {
    let invalid = |error: NameError| invalid_name("routes", &wire.name, &error);
    let mut split = Vec::new();
    for share in &wire.traffic_split {
        split.push((share.service.parse().map_err(invalid)?, share.weight));
    }
    if let Some(service) = &wire.service {
        split.push((service.parse().map_err(invalid)?, 1));
    }
    if split.is_empty() {
        return Err(FieldError::new(
            format!("routes/{}", wire.name),
            "no service",
            "at least one",
        ));
    }
    Ok(PathRoute {
        name: wire.name.parse().map_err(invalid)?,
        repeat: match wire.kind {
            WireKind::Idempotent => RepeatPolicy::Whole,
            WireKind::Streaming if wire.resumable => RepeatPolicy::Resume,
            WireKind::Streaming | WireKind::NonIdempotent => RepeatPolicy::Never,
        },
        host: wire.host,
        prefix: wire.path_prefix,
        timeout: millis(wire.timeout_ms),
        objective: millis(wire.target_latency_ms),
        priority: wire.priority,
        split,
        attempts: wire.max_attempts.max(1),
        public: wire.public,
    })
}

/// Converts a time of the configuration; one that is longer than any request lasts is cut to that.
fn millis(ms: f64) -> Duration {
    let max_ms = MAX_TIME.as_secs_f64() * 1000.0;
    Duration::from_secs_f64(ms.clamp(0.0, max_ms) / 1000.0)
}

fn pool(wire: WireService) -> Result<TablePool, FieldError> {
    let name = wire.name.parse();
    let warmup = Duration::try_from_secs_f64(wire.cold_start_s);
    let warmup = warmup.map_err(|_| {
        FieldError::new(
            format!("services/{}", wire.name),
            wire.cold_start_s.to_string(),
            "a time",
        )
    })?;
    Ok(TablePool {
        name: name.map_err(|error| invalid_name("services", &wire.name, &error))?,
        connections: wire.max_connections,
        slots: wire.engine.as_ref().map(|engine| engine.slots),
        stride: wire
            .engine
            .as_ref()
            .map_or(1, |engine| engine.stride.max(1)),
        warmup: warmup.min(MAX_TIME),
        memory: wire.engine.as_ref().and_then(|engine| engine.kv_capacity),
        cold_rate: wire.cold_per_s as u32,
    })
}

fn payer(wire: WireTenant) -> Result<Payer, FieldError> {
    let invalid = |error: NameError| invalid_name("tenants", &wire.name, &error);
    Ok(Payer {
        account: wire.name.parse().map_err(invalid)?,
        team: wire.name.parse().map_err(invalid)?,
        keys: wire.api_keys.iter().map(|key| KeyHash::of(key)).collect(),
        priority: wire.priority,
        // Fractions of a token can't be spent.
        prepaid: wire.prepaid.map(|prepaid| Tokens(prepaid.max(0.0) as u64)),
    })
}

fn invalid_name(list: &str, name: &str, error: &NameError) -> FieldError {
    FieldError::new(format!("{list}/{name}"), error.to_string(), "a name")
}
