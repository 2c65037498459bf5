"""Calls to peers over HTTP with JSON."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeVar

import aiosonic
import msgspec
from aiosonic.connectors import TCPConnector
from aiosonic.timeout import Timeouts

from hoisthook.adapter.literal_resolver import LiteralResolver
from hoisthook.identity import format_address
from hoisthook.membership.member import Exchange
from hoisthook.membership.member import Member
from hoisthook.port.peer_transport import ConfigurationPage

if TYPE_CHECKING:
    from hoisthook.identity import Address

T = TypeVar("T")

CONNECT_SECONDS = 0.3
ANSWER_SECONDS = 0.5
EXCHANGE_PATH = "/hoisthook/v1/exchange"
DIGESTS_PATH = "/hoisthook/v1/digests"
MEMBERS_PATH = "/hoisthook/v1/members"
CONFIGURATION_PATH = "/hoisthook/v1/configuration"


class HttpPeers:
    """A `PeerTransport`; all of its calls are idempotent, so retries are safe."""

    def __init__(self) -> None:
        self._client = aiosonic.HTTPClient(TCPConnector(resolver=LiteralResolver()))
        self._timeouts = Timeouts(sock_connect=CONNECT_SECONDS, request_timeout=ANSWER_SECONDS)
        self.bytes_out = 0
        self.bytes_in = 0

    async def exchange(self, address: Address, message: Exchange) -> Exchange:
        """Send membership updates and return the peer's."""
        return await self._post(address, EXCHANGE_PATH, msgspec.json.encode(message), Exchange)

    async def digests(self, address: Address) -> tuple[int, ...]:
        """Return the digests of the buckets of the peer's member table."""
        return await self._post(address, DIGESTS_PATH, b"", tuple[int, ...])

    async def members(self, address: Address, buckets: tuple[int, ...]) -> tuple[Member, ...]:
        """Return the members in some buckets of the peer's table; all if ``buckets`` is empty."""
        body = msgspec.json.encode(buckets)
        return await self._post(address, MEMBERS_PATH, body, tuple[Member, ...])

    async def configuration(self, address: Address, after: int) -> ConfigurationPage:
        """Return the configuration that the peer has applied after offset ``after``."""
        body = b'{"after":%d}' % after
        return await self._post(address, CONFIGURATION_PATH, body, ConfigurationPage)

    async def close(self) -> None:
        """Close all connections."""
        await self._client.connector.cleanup()

    async def _post(self, address: Address, path: str, body: bytes, kind: type[T]) -> T:
        url = f"http://{format_address(address)}{path}"
        self.bytes_out += len(body)
        try:
            response = await self._client.post(url, data=body, timeouts=self._timeouts)
            content = await response.content()
        except Exception as error:
            raise ConnectionError(repr(error)) from error
        self.bytes_in += len(content)
        try:
            return msgspec.json.decode(content, type=kind)
        except msgspec.DecodeError as error:
            raise ConnectionError(f"{path}: {error}") from error
