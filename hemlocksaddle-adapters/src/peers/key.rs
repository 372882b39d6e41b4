//! Pre-shared key of the nodes and the proofs of possessing it.
//!
//! A proof is an HMAC-SHA-256 over the prover's role and the challenges of both
//! sides. The role prevents reflection of a proof to its sender; the challenges
//! prevent replay of a recorded proof on another connection.

use std::fmt;

use hemlocksaddle_types::error::{Error, ErrorKind};
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

/// Minimum length of a key in bytes.
pub const MIN_KEY_BYTES: usize = 32;

/// Maximum length of a key in bytes.
pub const MAX_KEY_BYTES: usize = 256;

/// Length of a challenge in bytes.
pub(crate) const CHALLENGE_BYTES: usize = 32;

/// Length of a proof in bytes.
pub(crate) const PROOF_BYTES: usize = 32;

/// Random nonce that a proof must cover.
pub(crate) type Challenge = [u8; CHALLENGE_BYTES];

/// Side of a connection that makes a proof.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Role {
    /// Side that opened the connection.
    Connecting,
    /// Side that accepted the connection.
    Accepting,
}

/// Key shared by all nodes; its `Debug` form does not reveal it.
#[derive(Clone)]
pub struct PeerKey(Hmac<Sha256>);

impl PeerKey {
    /// Computes the proof of `role` for the challenges of both sides.
    pub(crate) fn proof(
        &self,
        role: Role,
        connecting: &Challenge,
        accepting: &Challenge,
    ) -> [u8; PROOF_BYTES] {
        self.mac(role, connecting, accepting)
            .finalize()
            .into_bytes()
            .into()
    }

    /// Whether the proof is valid; compares in constant time.
    pub(crate) fn verify(
        &self,
        role: Role,
        connecting: &Challenge,
        accepting: &Challenge,
        proof: &[u8],
    ) -> bool {
        let mac = self.mac(role, connecting, accepting);
        mac.verify_slice(proof).is_ok()
    }

    fn mac(&self, role: Role, connecting: &Challenge, accepting: &Challenge) -> Hmac<Sha256> {
        let mut mac = self.0.clone();
        mac.update(match role {
            Role::Connecting => b"hemlocksaddle peer connecting",
            Role::Accepting => b"hemlocksaddle peer accepting.",
        });
        mac.update(connecting);
        mac.update(accepting);
        mac
    }
}

impl TryFrom<&str> for PeerKey {
    type Error = Error;

    fn try_from(text: &str) -> Result<PeerKey, Error> {
        if !(MIN_KEY_BYTES..=MAX_KEY_BYTES).contains(&text.len()) {
            let message = format!(
                "key has {} bytes; {MIN_KEY_BYTES} to {MAX_KEY_BYTES} are allowed",
                text.len()
            );
            return Err(Error::new(ErrorKind::Range, message));
        }
        let mac = Hmac::new_from_slice(text.as_bytes())
            .map_err(|cause| Error::new(ErrorKind::Range, cause.to_string()))?;
        Ok(PeerKey(mac))
    }
}

impl fmt::Debug for PeerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PeerKey(..)")
    }
}
