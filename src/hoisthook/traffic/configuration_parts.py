"""A configuration as the parts that operators published, and the delta between two versions."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from dataclasses import field
from typing import NewType

import msgspec

# Identifies a route, a service or the limits within a configuration.
PartKey = NewType("PartKey", str)
# Enough to distinguish versions of one configuration; not meant to resist forgery.
DIGEST_BYTES = 8
NO_VERSION = -1


@dataclass(frozen=True, slots=True)
class ConfigurationParts:
    """One version of the configuration, as its published parts.

    Attributes
    ----------
    version : int
        Increases with each change.
    by_key : dict
        Encoded parts.
    digest : bytes
        Digest of all parts, independent of their order.
    """

    version: int
    by_key: dict[PartKey, bytes]
    digest: bytes = field(init=False)

    def __post_init__(self) -> None:
        joined = b"\n".join(self.by_key[key] for key in sorted(self.by_key))
        digest = hashlib.blake2b(joined, digest_size=DIGEST_BYTES).digest()
        object.__setattr__(self, "digest", digest)


class ConfigurationDelta(msgspec.Struct, frozen=True, omit_defaults=True):
    """Changes that turn an older version of the configuration into a newer one.

    Attributes
    ----------
    version : int
        The newer version.
    digest : bytes
        Digest of the newer version, by which the receiver checks the result.
    base : int
        Version that the changes start from, no later than that of the receiver; -1 where
        ``parts`` is the complete configuration.
    parts : dict
        Parts that were added or changed since the base.
    removed : list of PartKey
        Parts that were removed since the base.
    """

    version: int
    digest: bytes
    base: int = NO_VERSION
    parts: dict[PartKey, bytes] = {}
    removed: list[PartKey] = []

    def applied_to(self, known: ConfigurationParts | None) -> ConfigurationParts | None:
        """Return the newer version; None if the delta does not fit the known version."""
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
