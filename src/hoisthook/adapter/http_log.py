"""Client of the platform's log over HTTP with JSON."""

from __future__ import annotations

import base64
from typing import TYPE_CHECKING

import aiosonic
import msgspec
from aiosonic.connectors import TCPConnector
from aiosonic.exceptions import ConnectTimeout
from aiosonic.timeout import Timeouts

from hoisthook.adapter.literal_resolver import LiteralResolver
from hoisthook.exceptions import AppendUnknownError
from hoisthook.exceptions import LogUnavailableError
from hoisthook.identity import format_address
from hoisthook.port.platform_log import LogPage
from hoisthook.port.platform_log import LogRecord
from hoisthook.result_code import ResultCode

if TYPE_CHECKING:
    from hoisthook.identity import Address

CONNECT_SECONDS = 1.0
ANSWER_SECONDS = 3.0
UNAVAILABLE_STATUS = 503
MAX_PAGE_RECORDS = 500


class _WireRecord(msgspec.Struct):
    offset: int
    payload: str


class _WirePage(msgspec.Struct):
    earliest: int
    next: int
    records: list[_WireRecord]


class _WireAppended(msgspec.Struct):
    offset: int


class HttpLog:
    """A `PlatformLog` that uses ``POST`` and ``GET /streams/NAME/records``.

    Parameters
    ----------
    address : Address
        Address of the log service.
    """

    def __init__(self, address: Address) -> None:
        self._base = f"http://{format_address(address)}/streams/"
        self._client = aiosonic.HTTPClient(TCPConnector(resolver=LiteralResolver()))

    async def append(self, stream: str, payload: bytes) -> int:
        """Append a record and return its offset.

        The method is POST, which the client library never retries by itself.

        Raises
        ------
        LogUnavailableError
            If the log rejected the record or refused the connection, so that it was not appended.
        AppendUnknownError
            If no complete answer was received.
        """
        try:
            response = await self._client.post(
                f"{self._base}{stream}/records",
                data=payload,
                timeouts=Timeouts(sock_connect=CONNECT_SECONDS, request_timeout=ANSWER_SECONDS),
            )
            body = await response.content()
        except (ConnectionRefusedError, ConnectTimeout) as error:
            raise LogUnavailableError(ResultCode.LOG_UNAVAILABLE, repr(error)) from error
        except Exception as error:
            raise AppendUnknownError(ResultCode.APPEND_UNKNOWN, repr(error)) from error
        if response.status_code == UNAVAILABLE_STATUS:
            raise LogUnavailableError(
                ResultCode.LOG_UNAVAILABLE, "the log answered with status 503"
            )
        try:
            return msgspec.json.decode(body, type=_WireAppended).offset
        except msgspec.DecodeError as error:
            raise AppendUnknownError(ResultCode.APPEND_UNKNOWN, str(error)) from error

    async def read(self, stream: str, offset: int, *, wait: float = 0.0) -> LogPage:
        """Return records from ``offset`` on.

        Raises
        ------
        LogUnavailableError
            If no complete answer was received.
        """
        query = f"offset={offset}&limit={MAX_PAGE_RECORDS}&wait_ms={int(wait * 1000)}"
        try:
            response = await self._client.get(
                f"{self._base}{stream}/records?{query}",
                timeouts=Timeouts(
                    sock_connect=CONNECT_SECONDS, request_timeout=ANSWER_SECONDS + wait
                ),
            )
            page = msgspec.json.decode(await response.content(), type=_WirePage)
        except Exception as error:
            raise LogUnavailableError(ResultCode.LOG_UNAVAILABLE, repr(error)) from error
        records = tuple(LogRecord(r.offset, base64.b64decode(r.payload)) for r in page.records)
        return LogPage(page.earliest, page.next, records)

    async def close(self) -> None:
        """Close all connections."""
        await self._client.connector.cleanup()
