"""Malformed records and announcements of other writers are skipped and affect no valid ones."""

from __future__ import annotations

import base64
import struct
from typing import TYPE_CHECKING

import msgspec
import pytest
import pytest_asyncio
from hoisthook_platform.log_store import LogStore
from hypothesis import HealthCheck
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from hoisthook.adapter.http.call_server import CallServer
from hoisthook.adapter.http.client_pool import ClientPool
from hoisthook.adapter.logged_store import LoggedStore
from hoisthook.mesh.buffered_exchange import exchange_buffered
from hoisthook.node.loop_clock import LoopClock
from hoisthook.result_code import ResultCode
from standin.mesh_store import join_record
from standin.mesh_system import ListLog
from standin.mesh_system import MeshSystem
from standin.published_configuration import RouteOptions

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from hoisthook.adapter.http.server_exchange import ServerExchange

TOPIC = "keyed.op"
GOOD = {
    "service": "shop",
    "address": "127.0.0.1:1",
    "zone": "z",
    "version": "v1",
    "slots": 4,
    "state": "draining",
    "coldRemainingS": 0,
    "sequence": 1000,
}


@pytest_asyncio.fixture
async def system() -> AsyncIterator[MeshSystem]:
    mesh = MeshSystem()
    await mesh.start()
    yield mesh
    await mesh.close()


def foreign(field: str, value: object) -> bytes:
    return msgspec.json.encode({**GOOD, field: value})


FOREIGN_HEARTBEATS = [
    foreign("sequence", "7"),
    foreign("sequence", None),
    foreign("state", "resting"),
    foreign("state", 1),
    foreign("service", "elsewhere"),
    foreign("service", None),
    foreign("slots", "many"),
    foreign("born", 1.5),
    foreign("born", "yesterday"),
    msgspec.json.encode({k: v for k, v in GOOD.items() if k != "sequence"}),
    msgspec.json.encode({k: v for k, v in GOOD.items() if k != "service"}),
    b"",
    b"[]",
    b"\xff\xfe\x00",
    b'{"service": "shop", "slots"',
]


async def announce(system: MeshSystem, body: bytes, path: bytes = b"Heartbeat/i-9") -> int:
    machine = system.machines[0]
    pool = ClientPool()
    connection = await pool.acquire(machine.endpoints.announcements_address, 1.0)
    result = await exchange_buffered(
        connection, b"POST", b"/-/Instances." + path, [(b"host", b"n")], body, timeout=2.0
    )
    assert isinstance(result, tuple)
    pool.close()
    return result[0].status


@pytest.mark.parametrize("body", FOREIGN_HEARTBEATS)
async def test_invalid_heartbeat_does_not_change_the_observed_backend(
    system: MeshSystem, body: bytes
) -> None:
    machine = await system.add("shop")
    assert await announce(system, body) == 400
    assert machine.node.link.observed_backend.instance == "i-1"
    assert machine.node.link.observed_backend.takes_work
    (line,) = system.log.named("announcement_unreadable")
    assert line["code"] == ResultCode.ANNOUNCEMENT_UNREADABLE.number
    assert len(str(line["reason"])) <= 200


async def test_invalid_deregistration_is_rejected(system: MeshSystem) -> None:
    machine = await system.add("shop")
    assert await announce(system, b'{"born": "now"}', b"Deregister/i-1") == 400
    assert machine.node.link.observed_backend.takes_work


@settings(suppress_health_check=[HealthCheck.function_scoped_fixture], max_examples=40)
@given(
    body=st.binary(max_size=60)
    | st.builds(
        msgspec.json.encode,
        st.dictionaries(
            st.sampled_from(sorted(GOOD)),
            st.none() | st.integers() | st.text(max_size=5),
            max_size=8,
        ),
    )
)
def test_any_bytes_are_decoded_or_rejected(body: bytes) -> None:
    from hoisthook_platform.local_endpoints import _Heartbeat

    try:
        read = msgspec.json.decode(body, type=_Heartbeat)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return
    assert read.state in ("ready", "draining")
    assert isinstance(read.sequence, int)


class FixedAnswerStore:
    """A store that answers every call with the same body."""

    def __init__(self, body: bytes) -> None:
        self._body = body
        self._server = CallServer(("127.0.0.1", 0), self._serve)

    async def store(self, log: ListLog) -> LoggedStore:
        await self._server.start()
        return LoggedStore(LogStore(self._server.address, ClientPool()), LoopClock(), log)

    async def _serve(self, exchange: ServerExchange) -> None:
        exchange.respond(200, [], self._body)


async def test_unreadable_records_do_not_affect_the_others_of_a_page() -> None:
    good = {"key": "a", "value": base64.b64encode(b"1").decode(), "offset": 3}
    items = [
        good,
        {"key": "b", "value": "no base64!"},
        {"key": 7, "value": ""},
        {"value": ""},
        [],
        {**good, "key": "c"},
    ]
    body = msgspec.json.encode({"items": items, "hasMore": False, "end": 9})
    log = ListLog()
    page = await (await FixedAnswerStore(body).store(log)).newest(TOPIC)
    assert [record.key for record in page.records] == ["a", "c"]
    (line,) = log.named("records_unreadable")
    assert (line["code"], line["count"]) == (ResultCode.RECORD_UNREADABLE.number, 4)


async def test_record_without_a_key_does_not_affect_its_neighbours() -> None:
    contents = [join_record("a", b"1"), b"", b"\x09short", b"\x02\xff\xfe!", join_record("b", b"")]
    body = struct.pack(">QQ", 5, 0)
    body += b"".join(struct.pack(">I", len(content)) + content for content in contents)
    page = await (await FixedAnswerStore(body).store(ListLog())).changes(TOPIC, 0, 0.0)
    assert page is not None
    assert [(record.key, record.offset) for record in page.records] == [("a", 0), ("b", 4)]
    assert page.end == 5


async def test_reading_continues_from_the_end_offset_of_the_first_page() -> None:
    """A record written to the first page while the second is read must not be missed."""
    end_offsets = iter([10, 12])

    class TwoPages(FixedAnswerStore):
        async def _serve(self, exchange: ServerExchange) -> None:
            is_first_page = b"after=" not in exchange.head.target
            item = {"key": "a" if is_first_page else "b", "value": "MQ==", "offset": 1}
            page_content = {"items": [item], "hasMore": is_first_page, "end": next(end_offsets)}
            exchange.respond(200, [], msgspec.json.encode(page_content))

    page = await (await TwoPages(b"").store(ListLog())).newest(TOPIC)
    assert [record.key for record in page.records] == ["a", "b"]
    assert page.end == 10


async def test_foreign_record_in_the_topic_does_not_affect_the_configuration(
    system: MeshSystem,
) -> None:
    await system.add("shop")
    system.store.topic(TOPIC).append([b"\x09short", join_record("else", b"\xff")])
    system.publish(1, RouteOptions("shop"))
    await system.until_configured(1)
