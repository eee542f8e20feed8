//! Changes of the configuration under which every request stays allowed.

use serde_json::{Value, json};

use super::KEY;
use super::scripted_deployment::{change_routes, other_service};

type Change = fn(&mut Value);

/// Changes under which every request stays allowed. All of them leave enough time to the pauses.
pub(super) const CHANGES: [Change; 12] = [
    |_| {},
    |config| change_routes(config, |route| route["service"] = other_service(route)),
    |config| {
        change_routes(config, |route| {
            let weights = json!([{ "service": route["service"], "weight": 1 },
                { "service": other_service(route), "weight": 9 }]);
            route["traffic_split"] = weights;
        });
    },
    |config| {
        let routes = config["routes"].as_array_mut().unwrap();
        for number in 0..20 {
            let mut route = routes[number % 4].clone();
            route["name"] = json!(format!("added{number}"));
            route["path_prefix"] = json!(format!("/added{number}/"));
            routes.push(route);
        }
    },
    |config| change_routes(config, |route| route["timeout_ms"] = json!(20_000)),
    |config| change_routes(config, |route| route["timeout_ms"] = json!(8_000)),
    |config| change_routes(config, |route| route["resumable"] = json!(false)),
    |config| change_routes(config, |route| route["max_attempts"] = json!(1)),
    |config| {
        let services = config["services"].as_array_mut().unwrap();
        for number in 0..20 {
            services.push(json!({ "name": format!("new{number}"), "max_connections": 100 }));
        }
    },
    |config| config["tenants"][0]["api_keys"] = json!(["third key", KEY]),
    |config| {
        let tenant = &mut config["tenants"][0];
        (tenant["rate_per_s"], tenant["burst"]) = (json!(20_000_000), json!(20_000_000));
    },
    |config| {
        config["limits"] = json!({ "max_header_bytes": 4_096, "max_body_bytes": 1_000,
            "header_timeout_ms": 500, "idle_timeout_ms": 4_000 });
    },
];
