//! Sizes and shape of a workload.

use std::time::Duration;

/// A model and the shape of its prompts.
#[derive(Debug, Clone)]
pub struct ModelSpec {
    /// Name.
    pub name: &'static str,
    /// Share of the requests.
    pub share: f64,
    /// Blocks of a workspace's system prompt.
    pub system_blocks: u64,
    /// Documents of a workspace.
    pub documents: usize,
    /// Blocks of a document.
    pub document_blocks: u64,
    /// Most blocks of a conversation's history.
    pub max_history_blocks: u64,
    /// Mean generated tokens.
    pub completion_tokens: u64,
}

/// A workspace.
#[derive(Debug, Clone)]
pub struct WorkspaceSpec {
    /// Name.
    pub name: String,
    /// Share of the planned load; the workspace's rate is its share.
    pub share: f64,
    /// Offered load in relation to the rate.
    pub overload: f64,
}

/// A workload over a fleet.
#[derive(Debug, Clone)]
pub struct WorkloadSpec {
    /// Name.
    pub name: &'static str,
    /// Instances.
    pub instances: usize,
    /// Engines; each serves one model in proportion to the models' shares.
    pub engines: usize,
    /// Requests that an engine runs at once.
    pub max_running: u32,
    /// Blocks that an engine caches.
    pub cache_blocks: usize,
    /// Tokens per second of an engine's prefill.
    pub prefill_tokens_per_s: u64,
    /// Planned requests per second, over all workspaces within their rates.
    pub requests_per_s: f64,
    /// Length of the run.
    pub duration: Duration,
    /// Time after which other documents become hot.
    pub hot_shift: Duration,
    /// Time between two crashes; `None` for none.
    pub crash_period: Option<Duration>,
    /// Models.
    pub models: Vec<ModelSpec>,
    /// Workspaces.
    pub workspaces: Vec<WorkspaceSpec>,
}

impl WorkloadSpec {
    /// Sizes of Pedra Polida: 8 instances and 20 engines with one model.
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

    /// Sizes of Cartografía Pirata: 7 instances and 12 engines, a judge with long prompts and a
    /// writer with short ones.
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

    /// One model's part of the full size: all 380 instances, 108 engines and 125 workspaces. Each
    /// instance sees less than one request per second.
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

    /// The same without crashes.
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
