//! Parsing of model requests.

use std::rc::Rc;

use bytes::Bytes;
use serde_json::{Map, Value, json};

use crate::core::config::{ConfigSnapshot, Model};
use crate::core::ids::{ModelId, Tokens};
use crate::core::prefix::{CacheScope, PromptFingerprints};
use crate::core::prompt::{chat_prompt, completion_prompt};
use crate::ops::proxy::refusal::{Refusal, RefusalCode};

/// Limit on the number of alternative completions (`n` and `best_of`).
const MAX_CHOICES: u64 = 16;

/// API endpoint of a model request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::ops::proxy) enum Endpoint {
    Chat,
    Completion,
}

impl Endpoint {
    /// Returns the endpoint at a request path.
    pub(in crate::ops::proxy) fn from_path(path: &str) -> Option<Self> {
        match path {
            "/v1/chat/completions" => Some(Self::Chat),
            "/v1/completions" => Some(Self::Completion),
            _ => None,
        }
    }

    /// Returns the path of the endpoint at engines.
    pub(super) fn path(self) -> &'static str {
        match self {
            Self::Chat => "/v1/chat/completions",
            Self::Completion => "/v1/completions",
        }
    }
}

/// A parsed model request with the body to send to an engine.
#[derive(Debug, Clone)]
pub(super) struct ModelCall {
    pub(super) endpoint: Endpoint,
    pub(super) model: ModelId,
    /// Block fingerprints of the canonical prompt.
    pub(super) prompt: Rc<PromptFingerprints>,
    /// Upper bound of the number of prompt tokens.
    pub(super) prompt_tokens: Tokens,
    /// Maximum number of generated tokens for each choice.
    pub(super) max_tokens: Tokens,
    /// Number of alternative completions.
    pub(super) choices: u64,
    /// Whether the client requested a stream.
    pub(super) is_stream: bool,
    /// Whether the client requested the usage chunk of a stream.
    pub(super) include_usage: bool,
    /// Whether the engine continues the last message of the request instead of starting a new one
    /// (`continue_final_message`).
    continues_last_message: bool,
    /// Body to send to the engine.
    pub(super) body: Bytes,
}

impl ModelCall {
    /// Parses the body of a client request.
    pub(super) fn parse(
        endpoint: Endpoint,
        body: &[u8],
        config: &ConfigSnapshot,
        cache_namespace: &str,
    ) -> Result<Self, Refusal> {
        let fields: Map<String, Value> = serde_json::from_slice(body)
            .map_err(|error| invalid(format!("the body is not a JSON object: {error}")))?;
        let name = match fields.get("model") {
            Some(Value::String(name)) => name,
            _ => return Err(invalid("the field \"model\" must be a string")),
        };
        let entry = config.fleet.models.get_key_value(name.as_str());
        let (model_id, model) =
            entry.ok_or_else(|| Refusal::not_run(RefusalCode::UnknownModel, "no such model"))?;
        let (model_id, model) = (model_id.clone(), model.clone());
        let is_stream = parse_bool_field(&fields, "stream")?;
        let include_usage = fields
            .get("stream_options")
            .and_then(|options| options.get("include_usage"))
            == Some(&Value::Bool(true));
        let max_tokens = max_tokens(&fields, &model)?;
        let choices = choices(&fields)?;
        let mut call = Self::new(
            endpoint,
            fields,
            model_id,
            &model,
            cache_namespace,
            max_tokens,
        )?;
        call.is_stream = is_stream;
        call.include_usage = include_usage;
        call.choices = choices;
        Ok(call)
    }

    fn new(
        endpoint: Endpoint,
        mut fields: Map<String, Value>,
        model_id: ModelId,
        model: &Model,
        cache_namespace: &str,
        max_tokens: Tokens,
    ) -> Result<Self, Refusal> {
        fields.remove("max_completion_tokens");
        fields.insert("max_tokens".to_owned(), json!(max_tokens));
        fields.insert("stream".to_owned(), json!(true));
        fields.insert(
            "stream_options".to_owned(),
            json!({ "include_usage": true }),
        );
        let scope = CacheScope {
            workspace: cache_namespace,
            model: &model_id,
            weights_version: &model.weights_version,
        };
        let block_bytes = model.block_bytes as usize;
        let fingerprint = |text: &str| PromptFingerprints::new(scope, text.as_bytes(), block_bytes);
        let prompt = match endpoint {
            Endpoint::Chat => chat_prompt(&fields)
                .map(|text| fingerprint(&text))
                .ok_or_else(|| invalid("the field \"messages\" must be a list of messages"))?,
            Endpoint::Completion => completion_prompt(&fields)
                .map(|text| fingerprint(&text))
                .ok_or_else(|| invalid("the field \"prompt\" must be a string"))?,
        };
        let min_bytes = u64::from(model.min_bytes_per_token.max(1));
        let continues_last_message =
            fields.get("continue_final_message") == Some(&Value::Bool(true));
        Ok(Self {
            endpoint,
            model: model_id,
            prompt_tokens: (prompt.prompt_bytes as u64).div_ceil(min_bytes),
            prompt: Rc::new(prompt),
            max_tokens,
            choices: 1,
            is_stream: false,
            include_usage: false,
            continues_last_message,
            body: Value::Object(fields).to_string().into(),
        })
    }

    /// Returns the upper bound of prompt and generated tokens together.
    pub(super) fn cost_tokens(&self) -> Tokens {
        self.prompt_tokens + self.max_tokens * self.choices
    }

    /// Returns a request for the rest of a response after `text`, which has `tokens` tokens, was
    /// delivered. Returns `None` if nothing is left to generate.
    pub(super) fn continuation(
        &self,
        config: &ConfigSnapshot,
        cache_namespace: &str,
        text: &str,
        tokens: Tokens,
    ) -> Option<Self> {
        let remaining = self
            .max_tokens
            .checked_sub(tokens)
            .filter(|remaining| *remaining > 0)?;
        let mut fields: Map<String, Value> = serde_json::from_slice(&self.body).ok()?;
        match self.endpoint {
            Endpoint::Completion => append(fields.get_mut("prompt")?, text),
            Endpoint::Chat => self.continue_chat(&mut fields, text)?,
        }
        let model = config.fleet.models.get(&self.model)?;
        let model_id = self.model.clone();
        let call = Self::new(
            self.endpoint,
            fields,
            model_id,
            model,
            cache_namespace,
            remaining,
        )
        .ok()?;
        Some(Self {
            is_stream: self.is_stream,
            include_usage: self.include_usage,
            ..call
        })
    }

    fn continue_chat(&self, fields: &mut Map<String, Value>, text: &str) -> Option<()> {
        let messages = fields.get_mut("messages")?.as_array_mut()?;
        if self.continues_last_message {
            append(messages.last_mut()?.get_mut("content")?, text);
        } else {
            messages.push(json!({ "role": "assistant", "content": text }));
        }
        fields.insert("continue_final_message".to_owned(), json!(true));
        fields.insert("add_generation_prompt".to_owned(), json!(false));
        Some(())
    }
}

fn append(value: &mut Value, text: &str) {
    if let Value::String(content) = value {
        content.push_str(text);
    }
}

fn invalid(message: impl Into<String>) -> Refusal {
    Refusal::not_run(RefusalCode::InvalidRequest, message)
}

fn parse_bool_field(fields: &Map<String, Value>, name: &str) -> Result<bool, Refusal> {
    match fields.get(name) {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(value)) => Ok(*value),
        Some(_) => Err(invalid(format!("the field {name:?} must be true or false"))),
    }
}

fn parse_number_field(fields: &Map<String, Value>, name: &str) -> Result<Option<u64>, Refusal> {
    match fields.get(name) {
        None | Some(Value::Null) => Ok(None),
        Some(value) => match value.as_u64().filter(|number| *number > 0) {
            Some(number) => Ok(Some(number)),
            None => Err(invalid(format!(
                "the field {name:?} must be a positive number"
            ))),
        },
    }
}

/// Returns the requested limit on generated tokens, or the model's default, capped by the model's
/// limit.
fn max_tokens(fields: &Map<String, Value>, model: &Model) -> Result<Tokens, Refusal> {
    let max_completion_tokens = parse_number_field(fields, "max_completion_tokens")?;
    let requested = max_completion_tokens.or(parse_number_field(fields, "max_tokens")?);
    let allowance = requested.unwrap_or(model.default_max_tokens);
    Ok(allowance.clamp(1, model.max_tokens_limit.max(1)))
}

fn choices(fields: &Map<String, Value>) -> Result<u64, Refusal> {
    let n = parse_number_field(fields, "n")?.unwrap_or(1);
    let best_of = parse_number_field(fields, "best_of")?.unwrap_or(1);
    let choices = n.max(best_of);
    if choices > MAX_CHOICES {
        return Err(invalid(format!(
            "at most {MAX_CHOICES} choices can be asked for"
        )));
    }
    Ok(choices)
}
