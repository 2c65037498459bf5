"""How a node talks to another about membership and configuration."""

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
    """Configuration from a peer: a snapshot if the records asked for are gone.

    Attributes
    ----------
    snapshot : Snapshot or None
        State to begin with.
    records : tuple of LogRecord
        What follows, in order.
    """

    snapshot: Snapshot | None
    records: tuple[LogRecord, ...]


class PeerTransport(Protocol):
    """Calls to one peer; each raises `OSError` or `TimeoutError` when it does not answer."""

    async def exchange(self, address: Address, message: Exchange) -> Exchange:
        """Tell news and get the peer's."""

    async def digests(self, address: Address) -> tuple[int, ...]:
        """Get the digests of the parts of the peer's table."""

    async def members(self, address: Address, buckets: tuple[int, ...]) -> tuple[Member, ...]:
        """Get some parts of the peer's table; all if ``buckets`` is empty."""

    async def configuration(self, address: Address, after: int) -> ConfigurationPage:
        """Get what the peer has applied after offset ``after``."""

    async def close(self) -> None:
        """Drop connections."""
