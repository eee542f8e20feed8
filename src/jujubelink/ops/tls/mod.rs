//! TLS for client connections. Certificates are reloaded when their files change.

mod io;
mod plugin;
mod server;

pub use io::HyperIo;
pub use server::ServerTls;
