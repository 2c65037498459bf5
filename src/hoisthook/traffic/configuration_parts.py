"""A configuration as the parts that operators published, and what differs between two versions."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from dataclasses import field
from typing import NewType

import msgspec

# Names a route, a service or the limits within a configuration.
PartKey = NewType("PartKey", str)
# Enough to tell versions of one configuration apart; nobody forges them.
DIGEST_BYTES = 8
NO_VERSION = -1


@dataclass(frozen=True, slots=True)
class ConfigurationParts:
    """One version, part by part as published.

    Attributes
    ----------
    version : int
        Increases with each change.
    by_key : dict
        Each part's bytes.
    digest : bytes
        Of all parts, whatever their order.
    """

    version: int
    by_key: dict[PartKey, bytes]
    digest: bytes = field(init=False)

    def __post_init__(self) -> None:
        joined = b"\n".join(self.by_key[key] for key in sorted(self.by_key))
        digest = hashlib.blake2b(joined, digest_size=DIGEST_BYTES).digest()
        object.__setattr__(self, "digest", digest)


class ConfigurationDelta(msgspec.Struct, frozen=True, omit_defaults=True):
    """What turns a version that a node has into a newer one.

    Attributes
    ----------
    version : int
        The newer version.
    digest : bytes
        Of that version, by which a node finds out that the result is not it.
    base : int
        A version at or before that of the node; -1 where the parts are all there are.
    parts : dict
        What is new or has changed since the base.
    removed : list of PartKey
        What is gone since the base.
    """

    version: int
    digest: bytes
    base: int = NO_VERSION
    parts: dict[PartKey, bytes] = {}
    removed: list[PartKey] = []

    def applied_to(self, known: ConfigurationParts | None) -> ConfigurationParts | None:
        """Return the newer version; None where it does not follow from what is known."""
        by_key: dict[PartKey, bytes] = {}
        if self.base != NO_VERSION:
            if known is None or known.version < self.base:
                return None
            by_key = dict(known.by_key)
            for key in self.removed:
                by_key.pop(key, None)
        by_key.update(self.parts)
        newer = ConfigurationParts(self.version, by_key)
        return newer if newer.digest == self.digest else None
