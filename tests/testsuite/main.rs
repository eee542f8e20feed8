//! Integration tests. The comment of each test states the failure that it guards against.

mod model_check;
mod support;

mod admin;
mod cli;
mod drain;
mod endless_bytes;
mod fleet;
mod history;
mod http2;
mod kvcache;
mod membership;
mod openai_client;
mod orders;
mod path;
mod peer;
mod plain;
mod platform_format;
mod platform_names;
mod platform_path;
mod queue;
mod quota;
mod refusals;
mod relay;
mod retry;
mod revocation;
mod rollout;
mod routing;
mod scheduler;
mod sessions;
mod settings;
mod spread;
mod stop_schedule;
mod streams;
mod telemetry;
mod tls;
