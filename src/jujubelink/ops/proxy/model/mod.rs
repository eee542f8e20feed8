//! Model requests: chat completions and text completions, streamed or complete.

mod assemble;
mod call;
mod chunk;
mod exchange;
mod handler;
mod list;
mod recovery;
mod refusals;
mod stream;

pub(super) use call::Endpoint;
pub(super) use handler::handle_model_request;
pub(super) use list::handle_model_list;
pub(super) use refusals::charge_refusal;
