"""Control endpoints of a node: gossip of peers, announcements of the local backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeVar

import msgspec
from starlette.applications import Starlette
from starlette.responses import Response
from starlette.routing import Route

from hoisthook.adapter.http_peers import CONFIGURATION_PATH
from hoisthook.adapter.http_peers import DIGESTS_PATH
from hoisthook.adapter.http_peers import EXCHANGE_PATH
from hoisthook.adapter.http_peers import MEMBERS_PATH
from hoisthook.identity import is_name
from hoisthook.identity import parse_address
from hoisthook.membership.member import Exchange
from hoisthook.result_code import ResultCode

if TYPE_CHECKING:
    from collections.abc import Callable

    from starlette.requests import Request

    from hoisthook.configuration.configuration_follower import ConfigurationFollower
    from hoisthook.membership.gossip import Gossip
    from hoisthook.membership.member_table import MemberTable

T = TypeVar("T")

ANNOUNCE_PATH = "/hoisthook/v1/announce"
MAX_SLOTS = 100_000


class Announcement(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Announcement of a backend server to its node, sent at least once a second.

    Attributes
    ----------
    backend_server : str
        Id of the backend server; 1 to 63 characters of ``a-z 0-9 -``.
    service : str
        Service that it belongs to.
    address : str
        Address that it listens on, ``host:port``.
    slots : int
        Requests that it can run concurrently.
    draining : bool
        Whether it is draining before a stop.
    load_path : str
        Path of its load endpoint; empty if it has none.
    uptime_ms : int
        Time since its start, in milliseconds; load is ramped up after a start.
    """

    backend_server: str
    service: str
    address: str
    slots: int
    draining: bool = False
    load_path: str = ""
    uptime_ms: int = 0

    def problem(self) -> str | None:
        """Return the first validation error, or None."""
        if not is_name(self.backend_server) or not is_name(self.service):
            return "backend_server, service: not 1 to 63 characters of a-z 0-9 -"
        if not 1 <= self.slots <= MAX_SLOTS:
            return f"slots: not between 1 and {MAX_SLOTS}"
        if self.uptime_ms < 0:
            return "uptime_ms: must not be negative"
        if self.load_path and not self.load_path.startswith("/"):
            return "load_path: must start with /"
        try:
            parse_address(self.address)
        except ValueError as error:
            return f"address: {error}"
        return None


class _After(msgspec.Struct):
    after: int


def make_peer_app(gossip: Gossip, table: MemberTable, follower: ConfigurationFollower) -> Starlette:
    """Return the application that serves other nodes."""

    async def exchange(request: Request) -> Response:
        message = await _decode(request, Exchange)
        if message is None:
            return _malformed("exchange")
        return _json(gossip.receive(message))

    async def digests(_: Request) -> Response:
        return _json(table.digest_by_bucket)

    async def members(request: Request) -> Response:
        buckets = await _decode(request, tuple[int, ...])
        if buckets is None:
            return _malformed("buckets")
        return _json(table.members_of(frozenset(buckets)))

    async def configuration(request: Request) -> Response:
        message = await _decode(request, _After)
        if message is None:
            return _malformed("after")
        return _json(follower.page_after(message.after))

    return Starlette(
        routes=[
            Route(EXCHANGE_PATH, exchange, methods=["POST"]),
            Route(DIGESTS_PATH, digests, methods=["POST"]),
            Route(MEMBERS_PATH, members, methods=["POST"]),
            Route(CONFIGURATION_PATH, configuration, methods=["POST"]),
        ]
    )


def make_announcement_app(
    on_announcement: Callable[[Announcement], bool], status: Callable[[], object]
) -> Starlette:
    """Return the application that serves the local backend server."""

    async def announce(request: Request) -> Response:
        message = await _decode(request, Announcement)
        if message is None:
            return _malformed("announcement")
        problem = message.problem()
        if problem is not None:
            return _malformed(problem)
        if not on_announcement(message):
            return _malformed(
                "backend_server: another backend server announces itself to this node"
            )
        return _json(status())

    return Starlette(routes=[Route(ANNOUNCE_PATH, announce, methods=["POST"])])


async def _decode(request: Request, kind: type[T]) -> T | None:
    try:
        return msgspec.json.decode(await request.body(), type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None


def _json(value: object) -> Response:
    return Response(msgspec.json.encode(value), media_type="application/json")


def _malformed(detail: str) -> Response:
    code = ResultCode.REQUEST_MALFORMED
    body = {"code": code.number, "name": code.name, "detail": detail}
    return Response(msgspec.json.encode(body), status_code=400, media_type="application/json")
