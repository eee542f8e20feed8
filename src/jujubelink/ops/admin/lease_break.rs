//! Ends the session of an instance that an operator asserts to be destroyed.

use crate::core::lease::{SessionRecord, SessionState};
use crate::ops::kernel::Context;
use crate::ops::platform::PlatformClient;
use crate::ops::services::{LeaseBreakError, MemberService, MemberState};

/// Maximum number of attempts, in case responses of the platform are lost.
const MAX_ATTEMPTS: u32 = 4;

/// Fences the session of `instance`, so that others can take its limit slots and leases without
/// waiting. Fails if the instance is a live member or if its session is renewed during the call,
/// because it has then not been destroyed.
pub(super) async fn break_session(
    context: &Context,
    instance: &str,
) -> Result<(), LeaseBreakError> {
    let members = context.service::<dyn MemberService>();
    let is_alive = members.members().iter().any(|member| {
        &*member.instance == instance
            && matches!(member.state, MemberState::Alive | MemberState::Leaving)
    });
    if is_alive || &*members.self_id() == instance {
        return Err(LeaseBreakError::StillAlive);
    }
    let platform = context.service::<PlatformClient>();
    let key = format!("sessions/{instance}");
    let mut observed_version = None;
    for _ in 0..MAX_ATTEMPTS {
        let Ok(stored) = platform.read(&key).await else {
            continue;
        };
        let Some(object) = stored else {
            return Err(LeaseBreakError::NoSession);
        };
        let Ok(mut record) = object.parse::<SessionRecord>() else {
            return Err(LeaseBreakError::Unavailable);
        };
        if record.state == SessionState::Fenced {
            return Ok(());
        }
        if observed_version.is_some_and(|version| version != object.version) {
            return Err(LeaseBreakError::StillAlive);
        }
        observed_version = Some(object.version);
        record.state = SessionState::Fenced;
        record.nonce = rand::random();
        // The result is ignored: after a conflict or a lost response, the next read shows whether
        // the session is fenced.
        let _ = platform.write(&key, object.version, &record).await;
    }
    Err(LeaseBreakError::Unavailable)
}
