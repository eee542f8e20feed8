//! Execution of model requests by an engine.

use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use http::request::Parts;
use http::{HeaderMap, Response, StatusCode};
use jujubelink::core::prefix::{CacheScope, PromptFingerprints};
use jujubelink::core::prompt::{chat_prompt, completion_prompt};
use jujubelink::util::http::{Body, full};
use serde_json::{Value, json};

use super::generation::{Generation, Progress, follow};
use super::text::TextState;
use super::{BYTES_PER_TOKEN, Engine, answer, refuse};

/// Time for which the stream of an ended request can be resumed.
const ENDED_RETENTION: Duration = Duration::from_secs(10);

/// Priority of a request without the `x-priority` header.
const DEFAULT_PRIORITY: u8 = 4;

/// A parsed model request.
struct Job {
    id: String,
    model: String,
    prompt: String,
    workspace: String,
    priority: u8,
    tokens: u64,
    is_chat: bool,
}

impl Job {
    fn new(head: &Parts, body: &Value) -> Option<Self> {
        let fields = body.as_object()?;
        let is_chat = head.uri.path().ends_with("/chat/completions");
        let prompt = match is_chat {
            true => chat_prompt(fields)?,
            false => completion_prompt(fields)?.into_owned(),
        };
        let text = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
        let random_id = || format!("{:016x}", rand::random::<u64>());
        Some(Self {
            id: text("x-request-id").map_or_else(random_id, str::to_owned),
            model: body["model"].as_str().unwrap_or_default().to_owned(),
            prompt,
            workspace: text("x-workspace").unwrap_or_default().to_owned(),
            priority: text("x-priority")
                .and_then(|text| text.parse().ok())
                .unwrap_or(DEFAULT_PRIORITY),
            tokens: body["max_tokens"].as_u64().unwrap_or(16),
            is_chat,
        })
    }

    fn prompt_tokens(&self) -> u64 {
        self.prompt.len().div_ceil(BYTES_PER_TOKEN) as u64
    }

    fn chunk(&self, choice: Value) -> Value {
        let object = match self.is_chat {
            true => "chat.completion.chunk",
            false => "text_completion",
        };
        json!({ "id": self.id, "object": object, "created": 0, "model": self.model, "choices": [choice] })
    }

    fn token_event(&self, index: u64, token: &str) -> String {
        let choice = match self.is_chat {
            true => json!({ "index": 0, "delta": { "content": token } }),
            false => json!({ "index": 0, "text": token }),
        };
        format!("id: {index}\ndata: {}\n\n", self.chunk(choice))
    }

    fn last_events(&self, cached_tokens: u64) -> [String; 2] {
        let choice = match self.is_chat {
            true => json!({ "index": 0, "delta": {}, "finish_reason": "length" }),
            false => json!({ "index": 0, "text": "", "finish_reason": "length" }),
        };
        let mut chunk = self.chunk(choice);
        chunk["usage"] = json!({ "prompt_tokens": self.prompt_tokens(),
            "completion_tokens": self.tokens,
            "total_tokens": self.prompt_tokens() + self.tokens,
            "prompt_tokens_details": { "cached_tokens": cached_tokens } });
        let index = self.tokens;
        [
            format!("id: {index}\ndata: {chunk}\n\n"),
            format!("id: {}\ndata: [DONE]\n\n", index + 1),
        ]
    }
}

/// A slot in the batch, released on drop.
struct Slot(Rc<Engine>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.running.set(self.0.running.get() - 1);
        let waiting = self.0.waiting.borrow();
        if let Some((_, waker)) = waiting.first_key_value() {
            waker.wake_by_ref();
        }
    }
}

impl Engine {
    pub(super) async fn complete(self: Rc<Self>, head: &Parts, body: Value) -> Response<Body> {
        if self.records_requests.get() {
            self.seen_headers.borrow_mut().push(head.headers.clone());
            self.seen_bodies.borrow_mut().push(body.clone());
        }
        if let Some(status) = self.faults.borrow().refuse_status {
            let status = StatusCode::from_u16(status).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
            return answer(status, &json!({ "error": { "message": "refused" } }));
        }
        let Some(job) = Job::new(head, &body) else {
            return refuse("malformed request");
        };
        let loaded = self.model.borrow().clone();
        if !loaded.is_empty() && loaded != job.model {
            return answer(
                StatusCode::NOT_FOUND,
                &json!({ "error": { "message": "model" } }),
            );
        }
        let response_head = self.head(&head.headers);
        let generation = Generation::new();
        let id = job.id.clone();
        self.generations
            .borrow_mut()
            .insert(id, Rc::clone(&generation));
        let run = Rc::clone(&self).generate(job, Rc::clone(&generation));
        compio::runtime::spawn(run).detach();
        if body["stream"] == true {
            return response_head
                .header("content-type", "text/event-stream")
                .body(follow(&self, &generation, 0))
                .expect("valid headers");
        }
        generation.keep_running();
        let whole = collect_answer(&generation).await;
        let (status, body) = match whole {
            Ok(body) => (StatusCode::OK, body),
            Err(progress) => {
                let body = json!({ "error": { "message": format!("{progress:?}") } });
                (StatusCode::INTERNAL_SERVER_ERROR, body)
            }
        };
        response_head
            .status(status)
            .header("content-type", "application/json")
            .body(full(body.to_string()))
            .expect("valid headers")
    }

    pub(super) fn resume(self: Rc<Self>, id: &str, headers: &HeaderMap) -> Response<Body> {
        let found = self.generations.borrow().get(id).cloned();
        let last = headers
            .get("last-event-id")
            .and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
        let Some(generation) = found.filter(|_| !self.faults.borrow().forgets_streams) else {
            return answer(StatusCode::NOT_FOUND, &json!({ "error": "no such stream" }));
        };
        self.count(|counts| counts.resumed += 1);
        self.head(headers)
            .header("content-type", "text/event-stream")
            .body(follow(&self, &generation, last.map_or(0, |last| last + 1)))
            .expect("valid headers")
    }

    /// Waits for a free slot. Requests with a lower priority value come first, then earlier ones.
    async fn take_slot(self: &Rc<Self>, priority: u8) -> Slot {
        let arrival = self.next_arrival.get();
        self.next_arrival.set(arrival + 1);
        let key = (priority, arrival);
        std::future::poll_fn(|cx| {
            let mut waiting = self.waiting.borrow_mut();
            let is_first = waiting.keys().next().is_none_or(|first| *first >= key);
            if self.running.get() < self.settings.max_running && is_first {
                waiting.remove(&key);
                return Poll::Ready(());
            }
            waiting.insert(key, cx.waker().clone());
            Poll::Pending
        })
        .await;
        self.running.set(self.running.get() + 1);
        if self.running.get() < self.settings.max_running
            && let Some((_, waker)) = self.waiting.borrow().first_key_value()
        {
            waker.wake_by_ref();
        }
        Slot(Rc::clone(self))
    }

    async fn generate(self: Rc<Self>, job: Job, generation: Rc<Generation>) {
        let _slot = self.take_slot(job.priority).await;
        if generation.progress() == Progress::Running {
            self.count(|counts| counts.started += 1);
            let cached_tokens = self.prefill(&job).await;
            if self.decode(&job, &generation).await {
                self.count(|counts| counts.completed += 1);
                let [usage, done] = job.last_events(cached_tokens);
                generation.push(usage);
                generation.push(done);
                generation.end(Progress::Done);
            }
        }
        drop(_slot);
        compio::time::sleep(ENDED_RETENTION).await;
        let mut generations = self.generations.borrow_mut();
        if generations
            .get(&job.id)
            .is_some_and(|current| Rc::ptr_eq(current, &generation))
        {
            generations.remove(&job.id);
        }
    }

    /// Processes the prompt and returns the number of its tokens that were cached.
    async fn prefill(&self, job: &Job) -> u64 {
        let crash_text = self.faults.borrow().crash_on_text.clone();
        if crash_text.is_some_and(|text| job.prompt.contains(&text)) {
            self.crash();
            return 0;
        }
        let version = self.weights_version.borrow().clone();
        let scope = CacheScope {
            workspace: &job.workspace,
            model: &job.model,
            weights_version: &version,
        };
        let block_bytes = self.settings.block_bytes;
        let prompt = PromptFingerprints::new(scope, job.prompt.as_bytes(), block_bytes);
        let cached_blocks = self.cache.borrow().cached_prefix(&prompt.blocks);
        let cached_tokens = (cached_blocks * block_bytes / BYTES_PER_TOKEN) as u64;
        let missing = job.prompt_tokens().saturating_sub(cached_tokens);
        let time = self.settings.prefill + self.settings.prefill_per_token * missing as u32;
        if !time.is_zero() {
            compio::time::sleep(time).await;
        }
        self.cache
            .borrow_mut()
            .store(&job.workspace, &prompt.blocks);
        self.count(|counts| {
            counts.prompt_tokens += job.prompt_tokens();
            counts.cached_tokens += cached_tokens;
        });
        cached_tokens
    }

    /// Generates the tokens. Returns whether all of them were generated.
    async fn decode(&self, job: &Job, generation: &Generation) -> bool {
        let mut text = TextState::new(&job.prompt);
        for index in 0..job.tokens {
            if index > 0 {
                let others = self.running.get().saturating_sub(1);
                let batch = self.settings.per_token_per_running * others;
                compio::time::sleep(self.settings.per_token + batch).await;
            }
            if generation.progress() != Progress::Running {
                return false;
            }
            if generation.is_abandoned(self.settings.resume_window) {
                generation.end(Progress::Cancelled);
                return false;
            }
            let token = text.next_token();
            generation.push(job.token_event(index, &token));
            self.count(|counts| counts.generated_tokens += 1);
        }
        true
    }
}

/// Waits for all events of a generation and combines them into a response that is not streamed.
async fn collect_answer(generation: &Generation) -> Result<Value, Progress> {
    let mut index = 0;
    let mut text = String::new();
    let mut last = Value::Null;
    while let Some(event) = generation.event(index).await? {
        index += 1;
        let event = String::from_utf8_lossy(&event);
        let data = event.split("data: ").nth(1).unwrap_or_default().trim();
        let Ok(chunk) = serde_json::from_str::<Value>(data) else {
            continue;
        };
        let choice = &chunk["choices"][0];
        let part = choice["delta"]["content"].as_str();
        text.push_str(part.or(choice["text"].as_str()).unwrap_or_default());
        last = chunk;
    }
    let choice = &mut last["choices"][0];
    match choice["delta"].is_null() {
        true => choice["text"] = json!(text),
        false => {
            choice["delta"] = Value::Null;
            choice["message"] = json!({ "role": "assistant", "content": text });
        }
    }
    Ok(last)
}
