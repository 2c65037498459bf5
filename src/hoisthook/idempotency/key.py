"""Idempotency keys that name the node incarnation remembering them."""

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
        The node that issued it and remembers what became of it.
    incarnation : Incarnation
        That node's incarnation; its memory ends with it.
    service : ServiceName
        The service that the key is for.
    issued_ms : int
        Milliseconds between the incarnation's start and the issue.
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
        """Return the signature that ``secret`` gives the key."""
        digest = hashlib.blake2b(
            self._signed_text().encode(), key=secret, digest_size=SIGNATURE_BYTES
        )
        return digest.hexdigest()

    def is_signed_by(self, secret: bytes) -> bool:
        """Return whether the signature is right."""
        return hmac.compare_digest(self.sign(secret), self.signature)

    def _signed_text(self) -> str:
        fields = [PREFIX, self.node, self.incarnation, self.service, str(self.issued_ms)]
        return SEPARATOR.join([*fields, self.nonce])


def parse_key(text: str) -> Key | None:
    """Return the key, or None if ``text`` is none.

    Quotes around it, as in a structured header's string, are taken off.
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
