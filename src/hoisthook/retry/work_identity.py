"""Identifies the work of a request, so that it is recognised in later requests."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from hoisthook.identity import WorkId

if TYPE_CHECKING:
    from hoisthook.adapter.http.message import Header

# Collision resistance: a sender that chooses bodies needs about 2^64 attempts for one collision.
DIGEST_BYTES = 16


def identify(method: bytes, headers: list[Header], target: bytes, body: bytes) -> WorkId:
    """Return the identity of a request's work.

    It covers method, host, path, query and body. It leaves out the request's id, its deadline and
    all other headers: they differ between requests or senders of the same work, and a request
    that crashes a backend server does so whoever sends it.
    """
    host = next((value for name, value in headers if name == b"host"), b"")
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (method, host.lower(), target, body):
        # A length prefix per part, so that bytes moved between parts change the digest.
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return WorkId(digest.hexdigest())
