"""Idempotency keys, which contain the node incarnation that issued them."""

from __future__ import annotations

import hashlib
import hmac
from dataclasses import dataclass

from hoisthook.identity import Incarnation
from hoisthook.identity import NodeId
from hoisthook.identity import ServiceName
from hoisthook.identity import is_name

PREFIX = "hk1"
SEPARATOR = "."
SIGNATURE_BYTES = 10
MAX_KEY_LENGTH = 300


@dataclass(frozen=True, slots=True)
class Key:
    """A parsed key.

    Attributes
    ----------
    node : NodeId
        The node that issued the key and stores its outcome.
    incarnation : Incarnation
        Incarnation of that node; the stored outcome is lost with it.
    service : ServiceName
        The service that the key is for.
    issued_ms : int
        Milliseconds from the start of the incarnation to the issue of the key.
    nonce : str
        Makes the key unique within the incarnation.
    signature : str
        Proves that the incarnation issued it.
    """

    node: NodeId
    incarnation: Incarnation
    service: ServiceName
    issued_ms: int
    nonce: str
    signature: str

    @property
    def text(self) -> str:
        """Return the key as callers send it."""
        return SEPARATOR.join([self._signed_text(), self.signature])

    def sign(self, secret: bytes) -> str:
        """Return the signature of the key under ``secret``."""
        digest = hashlib.blake2b(
            self._signed_text().encode(), key=secret, digest_size=SIGNATURE_BYTES
        )
        return digest.hexdigest()

    def is_signed_by(self, secret: bytes) -> bool:
        """Return whether the key's signature is valid under ``secret``."""
        return hmac.compare_digest(self.sign(secret), self.signature)

    def _signed_text(self) -> str:
        fields = [PREFIX, self.node, self.incarnation, self.service, str(self.issued_ms)]
        return SEPARATOR.join([*fields, self.nonce])


def parse_key(text: str) -> Key | None:
    """Return the parsed key, or None if ``text`` is not a valid key.

    Quotes around it, as in a string of a structured header, are removed.
    """
    text = text.strip().strip('"')
    if len(text) > MAX_KEY_LENGTH:
        return None
    parts = text.split(SEPARATOR)
    if len(parts) != 7 or parts[0] != PREFIX:
        return None
    _, node, incarnation, service, issued, nonce, signature = parts
    if not is_name(node) or not is_name(service) or not incarnation.isalnum():
        return None
    if not (issued.isascii() and issued.isdigit()) or not (nonce.isascii() and nonce.isalnum()):
        return None
    return Key(
        NodeId(node), Incarnation(incarnation), ServiceName(service), int(issued), nonce, signature
    )
