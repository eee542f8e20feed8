//! RPC client of the `Limits` service at other instances. Each call has a timeout.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use derive_more::{Display, Error};
use jujubelink_proto::limits::limits_client::LimitsClient;
use jujubelink_proto::limits::{
    ChargeReply, ChargeRequest, DenyRequest, DirectoryReply, DirectoryRequest, HandOverRequest,
    RefundRequest, VouchRequest,
};

use crate::core::lease::{SessionId, WitnessRef};
use crate::core::limit::CHARGE_TIMEOUT;
use crate::ops::kernel::Context;
use crate::ops::peer::{PeerChannel, PeerChannels};

/// Timeout of a vouch request; shorter than the interval between two requests.
const VOUCH_TIMEOUT: Duration = Duration::from_millis(900);

/// Timeout of other calls.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Failure of an RPC.
#[derive(Debug, Display, Error)]
pub enum RpcError {
    /// The instance's name is not an address.
    #[display("invalid instance address: {instance}")]
    BadAddress {
        /// Name of the instance.
        instance: String,
    },
    /// No response within the timeout.
    #[display("call timed out")]
    Timeout,
    /// The call failed.
    #[display("{message}")]
    Status {
        /// Error reported by the channel or the remote instance.
        message: String,
    },
}

/// Client of the `Limits` service of other instances.
#[derive(Clone)]
pub struct PeerRpcClient {
    context: Context,
    channels: Rc<PeerChannels>,
}

impl PeerRpcClient {
    /// Creates a client that uses the channels of this process.
    pub fn new(context: &Context) -> Self {
        Self {
            context: context.clone(),
            channels: context.service::<PeerChannels>(),
        }
    }

    fn client(&self, instance: &str) -> Result<LimitsClient<PeerChannel>, RpcError> {
        let address: SocketAddr = instance.parse().map_err(|_| RpcError::BadAddress {
            instance: instance.to_owned(),
        })?;
        let channel = self.channels.channel(address);
        let origin = channel.origin();
        Ok(LimitsClient::with_origin(channel, origin))
    }

    async fn with_timeout<T>(
        &self,
        limit: Duration,
        call: impl Future<Output = Result<tonic::Response<T>, tonic::Status>>,
    ) -> Result<T, RpcError> {
        match self.context.timers().timeout(limit, call).await {
            None => Err(RpcError::Timeout),
            Some(Ok(response)) => Ok(response.into_inner()),
            Some(Err(status)) => Err(RpcError::Status {
                message: status.to_string(),
            }),
        }
    }

    /// Asks a witness to vouch for a session. Returns whether it did.
    pub async fn vouch(&self, witness: &WitnessRef, session: &SessionId) -> Result<bool, RpcError> {
        let request = VouchRequest {
            instance: session.instance.to_string(),
            incarnation: session.incarnation,
            witness_incarnation: witness.incarnation,
        };
        let mut client = self.client(&witness.instance)?;
        let reply = self
            .with_timeout(VOUCH_TIMEOUT, client.vouch(request))
            .await?;
        Ok(reply.vouched)
    }

    /// Asks a witness to deny a session. Returns whether it did.
    pub async fn deny(&self, witness: &WitnessRef, session: &SessionId) -> Result<bool, RpcError> {
        let request = DenyRequest {
            instance: session.instance.to_string(),
            incarnation: session.incarnation,
            witness_incarnation: witness.incarnation,
        };
        let mut client = self.client(&witness.instance)?;
        let reply = self
            .with_timeout(CALL_TIMEOUT, client.deny(request))
            .await?;
        Ok(reply.denied)
    }

    /// Charges tokens to the slots held by another instance.
    pub async fn charge(
        &self,
        instance: &str,
        request: ChargeRequest,
    ) -> Result<ChargeReply, RpcError> {
        let mut client = self.client(instance)?;
        self.with_timeout(CHARGE_TIMEOUT, client.charge(request))
            .await
    }

    /// Refunds unused tokens of a charge to the slots of another instance.
    pub async fn refund(&self, instance: &str, request: RefundRequest) -> Result<(), RpcError> {
        let mut client = self.client(instance)?;
        self.with_timeout(CALL_TIMEOUT, client.refund(request))
            .await
            .map(drop)
    }

    /// Notifies another instance that a slot was handed over to it in the platform. Returns whether
    /// it accepted the notification.
    pub async fn hand_over(
        &self,
        instance: &str,
        request: HandOverRequest,
    ) -> Result<bool, RpcError> {
        let mut client = self.client(instance)?;
        let reply = self
            .with_timeout(CALL_TIMEOUT, client.hand_over(request))
            .await?;
        Ok(reply.accepted)
    }

    /// Reads another instance's directory of slot holders.
    pub async fn directory(&self, instance: &str) -> Result<DirectoryReply, RpcError> {
        let mut client = self.client(instance)?;
        self.with_timeout(CALL_TIMEOUT, client.directory(DirectoryRequest {}))
            .await
    }
}
