//! Generates the requests of a workload.

use std::rc::Rc;
use std::time::Duration;

use jujubelink::core::prefix::PromptFingerprints;
use jujubelink::util::hash::combine;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::{BLOCK_TOKENS, BYTES_PER_TOKEN, ModelSpec, WorkloadSpec};

/// Exponent of the Zipf distribution of document popularity.
const ZIPF_EXPONENT: f64 = 1.1;

/// Fraction of requests that continue a conversation.
const CONTINUATION_RATIO: f64 = 0.5;

/// Maximum number of conversations of a workspace and model that can still continue.
const MAX_OPEN_CONVERSATIONS: usize = 64;

/// One request of the workload.
#[derive(Debug, Clone)]
pub struct WorkRequest {
    /// Arrival time.
    pub at: Duration,
    /// Index of the workspace in the specification.
    pub workspace: usize,
    /// Index of the model in the specification.
    pub model: usize,
    /// Fingerprints of the prompt.
    pub prompt: Rc<PromptFingerprints>,
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Number of tokens to generate.
    pub completion_tokens: u64,
    /// Instance that the load balancer chooses.
    pub instance: usize,
}

impl WorkRequest {
    /// Returns the tokens that are charged for the request.
    pub fn cost_tokens(&self) -> u64 {
        self.prompt_tokens + self.completion_tokens
    }
}

#[derive(Debug, Clone)]
struct Conversation {
    document: usize,
    id: u64,
    turns: u64,
}

/// Generates the requests of all workspaces, in order of arrival.
pub fn generate(spec: &WorkloadSpec, seed: u64) -> Vec<WorkRequest> {
    let mut requests: Vec<_> = (0..spec.workspaces.len())
        .flat_map(|workspace| generate_workspace(spec, workspace, seed))
        .collect();
    requests.sort_by_key(|request| request.at);
    requests
}

fn generate_workspace(spec: &WorkloadSpec, workspace: usize, seed: u64) -> Vec<WorkRequest> {
    let mut random = ChaCha8Rng::seed_from_u64(combine(seed, workspace as u64));
    let workspace_spec = &spec.workspaces[workspace];
    let rate = spec.requests_per_s * workspace_spec.share * workspace_spec.overload;
    let mut open = vec![Vec::new(); spec.models.len()];
    let mut requests = Vec::new();
    let mut at_s = 0.0;
    loop {
        at_s += -(1.0 - random.random::<f64>()).ln() / rate;
        let at = Duration::from_secs_f64(at_s);
        if at >= spec.duration {
            return requests;
        }
        let model = pick_model(spec, random.random());
        let shift_index = (at_s / spec.hot_shift.as_secs_f64()) as u64;
        let model_spec = &spec.models[model];
        let conversation =
            next_conversation(model_spec, shift_index, &mut open[model], &mut random);
        let prompt = prompt(model_spec, workspace, model, &conversation, &mut random);
        let completion = model_spec.completion_tokens as f64 * (0.5 + random.random::<f64>());
        requests.push(WorkRequest {
            at,
            workspace,
            model,
            prompt_tokens: prompt.prompt_bytes as u64 / BYTES_PER_TOKEN,
            prompt: Rc::new(prompt),
            completion_tokens: completion as u64,
            instance: random.random_range(0..spec.instances),
        });
    }
}

fn pick_model(spec: &WorkloadSpec, draw: f64) -> usize {
    let mut sum = 0.0;
    let found = spec.models.iter().position(|model| {
        sum += model.share;
        draw < sum
    });
    found.unwrap_or(0)
}

fn next_conversation(
    model_spec: &ModelSpec,
    shift_index: u64,
    open: &mut Vec<Conversation>,
    random: &mut ChaCha8Rng,
) -> Conversation {
    if !open.is_empty() && random.random::<f64>() < CONTINUATION_RATIO {
        // Recent conversations are more likely to continue.
        let age = (random.random::<f64>().powi(2) * open.len() as f64) as usize;
        let position = open.len() - 1 - age.min(open.len() - 1);
        let mut conversation = open.remove(position);
        conversation.turns += 1;
        if conversation.turns < model_spec.max_history_blocks {
            open.push(conversation.clone());
        }
        return conversation;
    }
    let rank = zipf(model_spec.documents, random.random());
    let document = combine(shift_index, rank as u64) as usize % model_spec.documents;
    let conversation = Conversation {
        document,
        id: random.random(),
        turns: 0,
    };
    if open.len() == MAX_OPEN_CONVERSATIONS {
        open.remove(0);
    }
    open.push(conversation.clone());
    conversation
}

/// Returns a rank, starting at 0, from a Zipf distribution. `draw` is uniform in [0, 1).
fn zipf(count: usize, draw: f64) -> usize {
    let weight = |rank: usize| (rank as f64 + 1.0).powf(-ZIPF_EXPONENT);
    let total: f64 = (0..count).map(weight).sum();
    let mut remaining = draw * total;
    for rank in 0..count {
        remaining -= weight(rank);
        if remaining <= 0.0 {
            return rank;
        }
    }
    count - 1
}

fn prompt(
    model_spec: &ModelSpec,
    workspace: usize,
    model: usize,
    conversation: &Conversation,
    random: &mut ChaCha8Rng,
) -> PromptFingerprints {
    let mut chained = combine(workspace as u64, model as u64);
    let mut blocks = Vec::new();
    let mut extend = |content: u64, count: u64| {
        for block in 0..count {
            chained = combine(chained, combine(content, block));
            blocks.push(chained);
        }
    };
    extend(1, model_spec.system_blocks);
    extend(
        combine(2, conversation.document as u64),
        model_spec.document_blocks,
    );
    extend(combine(3, conversation.id), conversation.turns);
    let unique_tokens = random.random_range(100..BLOCK_TOKENS);
    let tokens = blocks.len() as u64 * BLOCK_TOKENS + unique_tokens;
    PromptFingerprints {
        blocks,
        whole: random.random(),
        prompt_bytes: (tokens * BYTES_PER_TOKEN) as usize,
    }
}
