//! Parameters of a workload.

use std::time::Duration;

/// A model and the structure of its prompts.
#[derive(Debug, Clone)]
pub struct ModelSpec {
    /// Name.
    pub name: &'static str,
    /// Fraction of the requests that use the model.
    pub share: f64,
    /// Blocks in the system prompt of a workspace.
    pub system_blocks: u64,
    /// Number of documents of a workspace.
    pub documents: usize,
    /// Blocks in a document.
    pub document_blocks: u64,
    /// Maximum number of blocks in the history of a conversation.
    pub max_history_blocks: u64,
    /// Mean number of generated tokens.
    pub completion_tokens: u64,
}

/// A workspace.
#[derive(Debug, Clone)]
pub struct WorkspaceSpec {
    /// Name.
    pub name: String,
    /// Fraction of the planned load; the rate limit of the workspace is derived from it.
    pub share: f64,
    /// Offered load as a multiple of the planned one.
    pub overload: f64,
}

/// A workload and the fleet that serves it.
#[derive(Debug, Clone)]
pub struct WorkloadSpec {
    /// Name.
    pub name: &'static str,
    /// Number of instances.
    pub instances: usize,
    /// Number of engines. Each serves one model; models get engines in proportion to their shares.
    pub engines: usize,
    /// Maximum number of concurrent requests of an engine.
    pub max_running: u32,
    /// Cache capacity of an engine in blocks.
    pub cache_blocks: usize,
    /// Prefill throughput of an engine.
    pub prefill_tokens_per_s: u64,
    /// Planned requests per second over all workspaces, without overload.
    pub requests_per_s: f64,
    /// Duration of the run.
    pub duration: Duration,
    /// Interval at which other documents become popular.
    pub hot_shift: Duration,
    /// Interval between engine crashes; no crashes if `None`.
    pub crash_period: Option<Duration>,
    /// Models.
    pub models: Vec<ModelSpec>,
    /// Workspaces.
    pub workspaces: Vec<WorkspaceSpec>,
}

impl WorkloadSpec {
    /// The `pedra polida` workload: 8 instances and 20 engines with one model.
    pub fn pedra_polida() -> Self {
        Self {
            name: "pedra polida",
            instances: 8,
            engines: 20,
            max_running: 16,
            cache_blocks: 150,
            prefill_tokens_per_s: 20_000,
            requests_per_s: 50.0,
            duration: Duration::from_secs(300),
            hot_shift: Duration::from_secs(20),
            crash_period: Some(Duration::from_secs(15)),
            models: vec![ModelSpec {
                name: "clerk",
                share: 1.0,
                system_blocks: 2,
                documents: 40,
                document_blocks: 4,
                max_history_blocks: 6,
                completion_tokens: 100,
            }],
            workspaces: workspaces(),
        }
    }

    /// The `cartografia pirata` workload: 7 instances and 12 engines with two models, `judge` with
    /// long prompts and `writer` with short ones.
    pub fn cartografia_pirata() -> Self {
        Self {
            name: "cartografia pirata",
            instances: 7,
            engines: 12,
            requests_per_s: 24.0,
            models: vec![
                ModelSpec {
                    name: "judge",
                    share: 0.6,
                    system_blocks: 4,
                    documents: 20,
                    document_blocks: 8,
                    max_history_blocks: 4,
                    completion_tokens: 60,
                },
                ModelSpec {
                    name: "writer",
                    share: 0.4,
                    system_blocks: 1,
                    documents: 40,
                    document_blocks: 1,
                    max_history_blocks: 2,
                    completion_tokens: 120,
                },
            ],
            ..Self::pedra_polida()
        }
    }

    /// One of the twelve models of a fleet at full size, with all 380 instances, 108 engines and
    /// 125 workspaces. Each instance receives less than one request per second.
    pub fn full_size_model() -> Self {
        let mut workspaces = workspaces();
        for workspace in &mut workspaces {
            workspace.share *= 0.4;
        }
        workspaces.extend((0..120).map(|index| WorkspaceSpec {
            name: format!("w{index:03}"),
            share: 0.005,
            overload: 1.0,
        }));
        Self {
            name: "one model of twelve at full size",
            instances: 380,
            engines: 108,
            requests_per_s: 242.0,
            duration: Duration::from_secs(60),
            workspaces,
            ..Self::pedra_polida()
        }
    }

    /// Returns the same workload without engine crashes.
    pub fn without_crashes(mut self) -> Self {
        self.crash_period = None;
        self
    }
}

fn workspaces() -> Vec<WorkspaceSpec> {
    let workspace = |name: &str, share, overload| WorkspaceSpec {
        name: name.to_owned(),
        share,
        overload,
    };
    vec![
        workspace("large-a", 0.45, 1.0),
        workspace("large-b", 0.30, 1.0),
        workspace("medium", 0.15, 1.0),
        workspace("small", 0.02, 1.0),
        workspace("noisy", 0.08, 5.0),
    ]
}
