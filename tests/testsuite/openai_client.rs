//! A third-party client library for the OpenAI API against two instances.

use std::net::SocketAddr;

use async_openai::Client;
use async_openai::config::OpenAIConfig;
use async_openai::types::chat::{
    ChatCompletionRequestUserMessageArgs, CreateChatCompletionRequest,
    CreateChatCompletionRequestArgs,
};
use futures_util::StreamExt;
use jujubelink_standins::engine::generated_text;

use crate::support::{Fleet, KEY, canonical_chat_prompt, eventually, run};

const TOKENS: u32 = 30;

const PROMPT: &str = "which band needs regrinding?";

fn chat_request(stream: bool) -> CreateChatCompletionRequest {
    let message = ChatCompletionRequestUserMessageArgs::default()
        .content(PROMPT)
        .build()
        .unwrap();
    CreateChatCompletionRequestArgs::default()
        .model("shop")
        .max_tokens(TOKENS)
        .stream(stream)
        .messages([message.into()])
        .build()
        .unwrap()
}

/// Returns the text of a streamed response and of one without streaming.
async fn complete_chat(address: SocketAddr) -> (String, String) {
    let config = OpenAIConfig::new()
        .with_api_key(KEY)
        .with_api_base(format!("http://{address}/v1"));
    let client = Client::with_config(config);
    let stream = client.chat().create_stream(chat_request(true)).await;
    let chunks: Vec<_> = stream.unwrap().map(Result::unwrap).collect().await;
    let streamed = chunks
        .iter()
        .flat_map(|chunk| &chunk.choices)
        .filter_map(|choice| choice.delta.content.clone())
        .collect();
    let unstreamed = client.chat().create(chat_request(false)).await.unwrap();
    let unstreamed = unstreamed.choices[0].message.content.clone().unwrap();
    (streamed, unstreamed)
}

/// Runs [`complete_chat`] on a thread of its own, because the library needs another event loop.
async fn complete_chat_on_thread(address: SocketAddr) -> (String, String) {
    let client = std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .unwrap();
        runtime.block_on(complete_chat(address))
    });
    eventually("the client finishes", || {
        let is_finished = client.is_finished();
        async move { is_finished.then_some(()) }
    })
    .await;
    client.join().expect("the client succeeds")
}

/// Guards against responses that the parser of these tests accepts and client libraries reject.
#[test]
fn a_client_library_reads_streamed_and_unstreamed_responses_through_two_instances() {
    run(async {
        let fleet = Fleet::new(2);
        let instances = [fleet.start_instance().await, fleet.start_instance().await];
        for instance in &instances {
            let (streamed, unstreamed) = complete_chat_on_thread(instance.client_address).await;
            assert_eq!(
                streamed,
                generated_text(&canonical_chat_prompt(PROMPT), u64::from(TOKENS))
            );
            assert_eq!(streamed, unstreamed);
        }
    });
}
