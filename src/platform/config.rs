//! Decoding and following of the operator's topic: the configuration with its queues, accounts and
//! limits, and the requests to evacuate data centres.

use {
    crate::{
        prelude::*,
        process::{
            config_view::ConfigView,
            evacuations::Evacuations,
            ledger::{KeyedPage, KeyedRecord, KeyedStore, NewestFollower, StoreError},
        },
        version::{ApiAccount, CallerLimits, Queue, QueueName, QueueTable},
    },
    derive_more::{Display, Error},
    serde::Deserialize,
    std::collections::BTreeMap,
};

/// The topic to which the operator writes.
const CONFIG_TOPIC: &str = "keyed.op";

/// The key of the configuration in its topic.
const CONFIG_KEY: &str = "config";

/// The start of the key of a request to evacuate a data centre; its name follows.
const EVACUATION_KEY_PREFIX: &str = "evacuate/";

/// The delay before a failed read is retried.
const READ_RETRY_DELAY: Duration = Duration::from_millis(200);

/// The error of a configuration that cannot be decoded.
#[derive(Debug, Display, Error)]
#[display("malformed configuration: {_0}")]
pub struct ConfigError(serde_json::Error);

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireConfig {
    version: u64,
    #[serde(default)]
    routes: Vec<WireRoute>,
    #[serde(default)]
    limits: WireLimits,
    #[serde(default)]
    tenants: Vec<WireTenant>,
}

/// A queue of jobs, which is called a route on the wire.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireRoute {
    name: QueueName,
    host: Arc<str>,
    path_prefix: Arc<str>,
    service: Arc<str>,
    #[serde(default)]
    priority: u32,
    #[serde(default)]
    attempts: Option<u32>,
    #[serde(default)]
    stretch: f64,
    #[serde(default)]
    target_latency_ms: f64,
    #[serde(default)]
    public: bool,
    #[serde(default)]
    advice: Option<serde_json::Value>,
}

#[derive(Deserialize)]
#[serde(default, rename_all = "PascalCase")]
struct WireLimits {
    max_body_bytes: usize,
    header_timeout_ms: u64,
    idle_timeout_ms: u64,
}

impl Default for WireLimits {
    fn default() -> Self {
        Self {
            max_body_bytes: 262_144,
            header_timeout_ms: 3000,
            idle_timeout_ms: 15_000,
        }
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireTenant {
    name: AccountName,
    #[serde(default)]
    api_keys: Vec<Arc<str>>,
    #[serde(default)]
    guaranteed: WireGuarantee,
}

#[derive(Default, Deserialize)]
#[serde(default, rename_all = "PascalCase")]
struct WireGuarantee {
    gpu: u64,
}

/// Decodes a configuration.
///
/// # Errors
/// Returns a [`ConfigError`] if the body is malformed.
pub fn decode_config(body: &[u8]) -> Result<QueueTable, ConfigError> {
    let wire: WireConfig = serde_json::from_slice(body).map_err(ConfigError)?;
    let mut accounts = BTreeMap::new();
    let mut keys = BTreeMap::new();
    for tenant in wire.tenants {
        for key in tenant.api_keys {
            keys.insert(key, tenant.name.clone());
        }
        let account = ApiAccount {
            name: tenant.name.clone(),
            guaranteed_accelerators: tenant.guaranteed.gpu,
        };
        accounts.insert(tenant.name, account);
    }
    let queues = wire
        .routes
        .into_iter()
        .map(|r| (r.name.clone(), decode_queue(r)));
    Ok(QueueTable {
        version: wire.version,
        queues: queues.collect(),
        accounts,
        accounts_by_key: keys,
        limits: CallerLimits {
            max_body_bytes: wire.limits.max_body_bytes,
            head_timeout: Duration::from_millis(wire.limits.header_timeout_ms),
            idle_timeout: Duration::from_millis(wire.limits.idle_timeout_ms),
        },
    })
}

fn decode_queue(route: WireRoute) -> Queue {
    Queue {
        name: route.name,
        host: route.host,
        prefix: route.path_prefix,
        service: route.service,
        priority: route.priority,
        max_attempts: route.attempts.unwrap_or(1),
        stretch_factor: route.stretch,
        target_latency_ms: route.target_latency_ms as u64,
        is_public: route.public,
        unsupported_feature: route
            .advice
            .map(|_| "queues whose workers are chosen by advice"),
    }
}

/// Follows the operator's topic: puts each newer version of the configuration in force, and
/// keeps `evacuations` up to date. A malformed record leaves both as they are. Never returns.
pub async fn follow_config(
    store: Rc<dyn KeyedStore>,
    clock: Rc<dyn Clock>,
    config: Rc<ConfigView>,
    evacuations: Rc<RefCell<Evacuations>>,
) {
    let mut follower = NewestFollower::new(CONFIG_TOPIC);
    loop {
        match follower.read(&*store, &*clock).await {
            Ok(page) => {
                let is_valid = apply_page(&page, &config);
                let mut evacuations = evacuations.borrow_mut();
                apply_evacuations(&page, follower.is_listing(), &mut evacuations);
                if let Some(read_at) = follower.advance(&page, is_valid) {
                    evacuations.confirm_read(read_at);
                    config.confirm_read(read_at);
                }
            }
            Err(e) => {
                follower.recover(&e);
                if e == StoreError::Trimmed {
                    continue;
                }
                let version = config.table().map(|t| t.version);
                let age = config.age(clock.now());
                tracing::warn!(error = %e, version, ?age, "failed to read the configuration");
                clock.sleep(READ_RETRY_DELAY).await;
            }
        }
    }
}

/// Puts the newest valid configuration of a page in force. Each record replaces the whole
/// configuration, so older ones are decoded only if the newer ones are malformed. Returns whether the
/// newest one of the page is valid.
fn apply_page(
    page: &KeyedPage,
    config: &ConfigView,
) -> bool {
    let mut is_newest_valid = true;
    let records = page.records.iter().rev().filter(|r| &*r.key == CONFIG_KEY);
    let mut valid = records.filter_map(|r| match decode_config(r.value.as_ref()?) {
        Ok(config) => Some(config),
        Err(e) => {
            tracing::error!(offset = r.offset, error = %e, "ignored a malformed configuration");
            is_newest_valid = false;
            None
        }
    });
    let Some(new) = valid.next() else {
        return is_newest_valid;
    };
    let previous = config.table().map(|t| t.version);
    if previous.is_none_or(|v| v < new.version) {
        tracing::info!(
            version = new.version,
            previous,
            queues = new.queues.len(),
            "configuration in force"
        );
        config.replace(new);
    }
    is_newest_valid
}

/// Applies the evacuation requests of a page. A complete page replaces all earlier ones.
fn apply_evacuations(
    page: &KeyedPage,
    is_complete: bool,
    evacuations: &mut Evacuations,
) {
    if is_complete {
        let requests = page.records.iter().filter_map(decode_evacuation);
        let requested = requests.filter(|(_, is_requested, _)| *is_requested);
        evacuations.replace(requested.map(|(name, _, at)| (name, at)).collect());
        return;
    }
    for (name, is_requested, offset) in page.records.iter().filter_map(decode_evacuation) {
        if is_requested {
            evacuations.begin(name, offset);
        } else {
            evacuations.end(&name, offset);
        }
    }
}

/// Decodes an evacuation request: the data centre, whether the record requests or withdraws the
/// evacuation, and the record's offset. Returns `None` for records of other kinds.
fn decode_evacuation(record: &KeyedRecord) -> Option<(DataCentre, bool, u64)> {
    match record.key.strip_prefix(EVACUATION_KEY_PREFIX) {
        Some(name) if !name.is_empty() => {
            let is_requested = record.value.as_ref().is_some_and(|v| !v.is_empty());
            Some((DataCentre::from(name), is_requested, record.offset))
        }
        None if &*record.key == CONFIG_KEY => None,
        Some(_) | None => {
            tracing::warn!(key = %record.key, offset = record.offset, "ignored a record with an unknown key");
            None
        }
    }
}
