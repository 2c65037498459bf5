"""Protocol for exchanging membership and configuration between nodes."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

import msgspec

from hoisthook.configuration.configuration_state import Snapshot
from hoisthook.port.platform_log import LogRecord

if TYPE_CHECKING:
    from hoisthook.identity import Address
    from hoisthook.membership.member import Exchange
    from hoisthook.membership.member import Member


class ConfigurationPage(msgspec.Struct, frozen=True):
    """Configuration from a peer, with a snapshot if the requested records are no longer kept.

    Attributes
    ----------
    snapshot : Snapshot or None
        State that the records apply to; None if the requested records are still kept.
    records : tuple of LogRecord
        Subsequent records, in order.
    """

    snapshot: Snapshot | None
    records: tuple[LogRecord, ...]


class PeerTransport(Protocol):
    """Calls to peers; each raises `OSError` or `TimeoutError` when the peer does not answer."""

    async def exchange(self, address: Address, message: Exchange) -> Exchange:
        """Send membership updates and return the peer's."""

    async def digests(self, address: Address) -> tuple[int, ...]:
        """Return the digests of the buckets of the peer's member table."""

    async def members(self, address: Address, buckets: tuple[int, ...]) -> tuple[Member, ...]:
        """Return the members in some buckets of the peer's table; all if ``buckets`` is empty."""

    async def configuration(self, address: Address, after: int) -> ConfigurationPage:
        """Return the configuration that the peer has applied after offset ``after``."""

    async def close(self) -> None:
        """Close all connections."""
