//! Logs, metrics and trace spans.

use std::cell::RefCell;
use std::io::{self, Write};
use std::rc::Rc;
use std::sync::{Arc, Mutex};

use http::{Request, Response};
use hyper::body::Incoming;

use jujubelink::ops::telemetry::{
    MAX_ATTRIBUTE_BYTES, MAX_BUFFERED_SPANS, MAX_MESSAGES_PER_WINDOW, MAX_SPAN_ATTRIBUTES,
    TraceContext, Tracer, new_logger_to, to_otlp_json,
};
use jujubelink::util::http::{Body, collect_limited, full};
use jujubelink_standins::{StandIn, StandInHandle};
use proptest::prelude::*;

use crate::support::{
    ADMIN_KEY, Fleet, Instance, KEY, chat_body, eventually, free_address, run, send, stream_text,
};

/// Collects what a logger writes.
#[derive(Clone, Default)]
struct LogBuffer(Arc<Mutex<Vec<u8>>>);

impl Write for LogBuffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against a log that grows without bound while every request meets the same failure, and against
/// a limit that also drops other messages. Warnings are counted by their place in the source.
#[test]
fn repeated_warnings_are_limited_per_source_location() {
    let buffer = LogBuffer::default();
    let log = new_logger_to(buffer.clone(), slog::Level::Info);
    for index in 0..1000 {
        slog::warn!(log, "the same failure"; "index" => index);
        if index < 20 {
            slog::info!(log, "not limited");
        }
    }
    slog::warn!(log, "another failure");
    let text = String::from_utf8(buffer.0.lock().unwrap().clone()).unwrap();
    let count = |part: &str| text.lines().filter(|line| line.contains(part)).count();
    assert_eq!(count("the same failure"), MAX_MESSAGES_PER_WINDOW as usize);
    assert_eq!(count("not limited"), 20);
    assert_eq!(count("another failure"), 1);
    for line in text.lines() {
        serde_json::from_str::<serde_json::Value>(line).expect("one JSON object per line");
    }
}

/// Guards against spans that use unbounded memory while no collector accepts them.
#[test]
fn the_span_buffer_is_bounded_and_counts_dropped_spans() {
    let tracer = Tracer::new(1);
    for _ in 0..MAX_BUFFERED_SPANS + 5 {
        let mut span = tracer.start_span("hop", None);
        for _ in 0..2 * MAX_SPAN_ATTRIBUTES {
            span.set_attribute("text", "é".repeat(MAX_ATTRIBUTE_BYTES).as_str());
        }
    }
    assert_eq!(tracer.dropped(), 5);
    let spans = tracer.take_finished(usize::MAX);
    assert_eq!(spans.len(), MAX_BUFFERED_SPANS);
    assert_eq!(spans[0].attributes.len(), MAX_SPAN_ATTRIBUTES);
    let encoded = to_otlp_json("i", &spans[..1]).to_string();
    assert!(encoded.len() < 2 * MAX_SPAN_ATTRIBUTES * MAX_ATTRIBUTE_BYTES);
}

/// Guards against a trace that does not continue through this process: spans have to keep the caller's
/// trace id and its decision whether to record the trace.
#[test]
fn spans_continue_the_callers_trace() {
    let header = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";
    let caller = TraceContext::parse(header).unwrap();
    assert_eq!(caller.to_string(), header);
    let tracer = Tracer::new(1_000_000);
    let span = tracer.start_span("queue", Some(caller));
    let inner = tracer.start_span("attempt", Some(span.context()));
    assert_eq!(inner.context().trace_id, caller.trace_id);
    let (outer_id, inner_id) = (span.context().span_id, inner.context().span_id);
    drop(inner);
    drop(span);
    let spans = tracer.take_finished(10);
    assert_eq!(spans[0].parent_span_id, outer_id);
    assert_eq!(spans[1].parent_span_id, caller.span_id);
    let encoded = to_otlp_json("i", &spans);
    let first = &encoded["resourceSpans"][0]["scopeSpans"][0]["spans"][0];
    assert_eq!(first["traceId"], "4bf92f3577b34da6a3ce929d0e0e4736");
    assert_eq!(first["spanId"], format!("{inner_id:016x}"));
    let not_sampled = TraceContext {
        is_sampled: false,
        ..caller
    };
    drop(tracer.start_span("queue", Some(not_sampled)));
    assert!(tracer.take_finished(10).is_empty());
}

/// A collector that keeps the bodies of export requests.
#[derive(Default)]
struct Collector(RefCell<Vec<String>>);

impl StandIn for Collector {
    async fn answer(self: Rc<Self>, request: Request<Incoming>) -> Response<Body> {
        let body = collect_limited(request.into_body(), 1 << 20).await;
        let body = body.unwrap().unwrap();
        let text = String::from_utf8(body.to_vec()).unwrap();
        self.0.borrow_mut().push(text);
        Response::new(full("{}"))
    }
}

/// Guards against keys, prompts and responses in logs and spans, also at the most verbose level and for
/// refused requests; against log lines that are not JSON; and against stages of a request without a span
/// or a trace that is not forwarded to the engine.
#[test]
fn logs_and_spans_cover_each_stage_and_contain_no_secrets() {
    run(async {
        let fleet = Fleet::new(1);
        let collector = Rc::new(Collector::default());
        let handle = StandInHandle::start(collector.clone()).unwrap();
        let collector_address = handle.address();
        let settings = format!(
            "[log]\nlevel = \"trace\"\n\n[tracing]\ncollector_address = \"{collector_address}\"\n"
        );
        let path = std::env::temp_dir().join(format!("jujubelink-log-{}", std::process::id()));
        let log = std::fs::File::create(&path).unwrap();
        let addresses = [free_address(), free_address(), free_address()];
        let platform = fleet.platform_address();
        let instance = Instance::start_with(addresses, platform, &[], &settings, log.into()).await;
        eventually("the instance is ready", || async {
            let response = send(instance.client_address, Request::get("/readyz"), None).await;
            (response.status == 200).then_some(())
        })
        .await;
        let trace = "4bf92f3577b34da6a3ce929d0e0e4736";
        let header = format!("00-{trace}-00f067aa0ba902b7-01");
        let send_chat = |key: &str| {
            let request = Request::post("/v1/chat/completions")
                .header("authorization", format!("Bearer {key}"))
                .header("traceparent", &header);
            let body = chat_body("a very private question", 5, true);
            send(instance.client_address, request, Some(body))
        };
        let response = send_chat(KEY).await;
        assert_eq!(response.status, 200, "{}", response.body);
        let refused = send_chat("a wrong client key").await;
        assert_eq!(refused.status, 401);

        let names = ["\"request\"", "\"limit\"", "\"queue\"", "\"attempt\""];
        let spans = eventually("the spans are exported", || async {
            let text = collector.0.borrow().concat();
            let has_all = names.iter().all(|name| text.contains(name));
            (has_all && text.contains("invalid_key")).then_some(text)
        })
        .await;
        assert!(spans.contains(trace));
        let seen = &fleet.engines[0].seen_headers()[0];
        let forwarded = seen["traceparent"].to_str().unwrap();
        assert!(forwarded.contains(trace) && forwarded != header);

        // Without a collector requests are still served, and dropped spans are counted.
        drop(handle);
        assert_eq!(send_chat(KEY).await.status, 200);
        eventually("dropped spans are counted", || async {
            let request =
                Request::get("/v1/status").header("authorization", format!("Bearer {ADMIN_KEY}"));
            let response = send(instance.admin_address, request, None).await;
            let status: serde_json::Value = serde_json::from_str(&response.body).unwrap();
            (status["spans_dropped"].as_u64() > Some(0)).then_some(())
        })
        .await;

        let log = std::fs::read_to_string(&path).unwrap();
        let _ = std::fs::remove_file(&path);
        assert!(log.contains("request refused") && log.contains(trace));
        for line in log.lines() {
            serde_json::from_str::<serde_json::Value>(line).expect("one JSON object per line");
        }
        let response_text = stream_text(&response);
        let secrets = [
            KEY,
            "a wrong client key",
            "private question",
            "engine-credential",
            response_text.as_str(),
            ADMIN_KEY,
        ];
        for secret in secrets {
            assert!(!spans.contains(secret), "{secret:?} is in a span");
            assert!(!log.contains(secret), "{secret:?} is in the log");
        }
    });
}

/// Guards against a metric that is missing from the documentation. The names are collected from
/// the source.
#[test]
fn every_metric_is_documented() {
    let root = std::path::Path::new(env!("CARGO_MANIFEST_DIR"));
    let documented = std::fs::read_to_string(root.join("docs/metrics.md")).unwrap();
    let mut missing = Vec::new();
    let mut found = 0;
    for source in rust_files(&root.join("src")) {
        let text = std::fs::read_to_string(&source).unwrap();
        for name in metric_names(&text) {
            found += 1;
            if !documented.contains(&format!("`{name}`")) {
                missing.push(format!("{}: {name}", source.display()));
            }
        }
    }
    assert!(found > 0, "no metric was found in the code");
    assert!(missing.is_empty(), "not in docs/metrics.md: {missing:#?}");
}

/// Rust files in a folder and its subfolders.
fn rust_files(folder: &std::path::Path) -> Vec<std::path::PathBuf> {
    let entries = std::fs::read_dir(folder).unwrap();
    let mut files = Vec::new();
    for entry in entries {
        let path = entry.unwrap().path();
        if path.is_dir() {
            files.extend(rust_files(&path));
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
    files
}

/// Names that are passed to `count`, `gauge` and `time` of `Metrics`, also across line breaks. A
/// placeholder in a name is returned as `*`.
fn metric_names(text: &str) -> Vec<String> {
    let compact: String = text.split_whitespace().collect();
    let mut names = Vec::new();
    for call in ["count(", "gauge(", "time("] {
        for argument in ["\"", "&format!(\""] {
            names.extend(quoted_after(&compact, &format!(".{call}{argument}")));
        }
    }
    if compact.contains("(&name,") {
        names.extend(quoted_after(&compact, "letname=format!(\""));
    }
    names
}

/// The text between each occurrence of `start` and the next quotation mark.
fn quoted_after(text: &str, start: &str) -> Vec<String> {
    text.split(start)
        .skip(1)
        .filter_map(|rest| rest.split('"').next())
        .map(|name| match (name.find('{'), name.rfind('}')) {
            (Some(open), Some(close)) => format!("{}*{}", &name[..open], &name[close + 1..]),
            _ => name.to_owned(),
        })
        .collect()
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(5), ..ProptestConfig::with_cases(1024) })]

    /// Guards against panics on any header that a client sends, and against a context that changes when
    /// it is written and parsed again.
    #[test]
    fn any_traceparent_is_parsed_or_ignored(
        text in "\\PC{0,70}",
        near_miss in "[0-9a-f]{2}-[0-9a-f]{31,33}-[0-9a-f]{16}-[0-9a-fA-F]{2}(-x)?",
        trace_id in 1u128.., span_id in 1u64.., is_sampled: bool,
    ) {
        for header in [text, near_miss] {
            if let Some(context) = TraceContext::parse(&header) {
                prop_assert_eq!(TraceContext::parse(&context.to_string()), Some(context));
            }
        }
        let context = TraceContext { trace_id, span_id, is_sampled };
        prop_assert_eq!(TraceContext::parse(&context.to_string()), Some(context));
    }
}
