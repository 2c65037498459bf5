"""Each way by which a node hears of ends that it has not seen itself."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from hoisthook.identity import DataCentre
from hoisthook.identity import InstanceId
from hoisthook.identity import NodeId
from hoisthook.identity import RequestId
from hoisthook.identity import ServiceName
from hoisthook.identity import WorkId
from hoisthook.local_backend.crash_monitor import CrashMonitor
from hoisthook.local_backend.exit_detector import LostRequest
from hoisthook.mesh import crash_notifier
from hoisthook.mesh import crash_records
from hoisthook.mesh.crash_notifier import CrashNotifier
from hoisthook.mesh.crash_records import CrashRecords
from hoisthook.mesh.peer import Peer
from hoisthook.mesh.peer_directory import PeerDirectory
from hoisthook.node.loop_clock import LoopClock
from hoisthook.port.record_store import KeyedRecord
from hoisthook.retry.crash_evidence import CrashEvidence
from standin.mesh_system import ListLog

if TYPE_CHECKING:
    import pytest

    from hoisthook.identity import Address
    from standin.mesh_system import Machine
    from standin.mesh_system import MeshSystem
    from tests.fakes import FakeClock

SHOP = ServiceName("shop")
WORK = WorkId("w")


class SilentAtFirst:
    """Peers that do not answer at first; in place of a `PeerSync`."""

    def __init__(self, silent: dict[str, int]) -> None:
        self._silent = silent
        self.told: list[str] = []
        self.all_told = asyncio.Event()

    async def tell_crashes(self, address: Address) -> bool:
        host = address[0]
        if self._silent.get(host, 0) > 0:
            self._silent[host] -= 1
            return False
        self.told.append(host)
        if set(self.told) == {"10.0.0.1", "10.0.0.2", "10.0.0.3"}:
            self.all_told.set()
        return True


def directory_of_four() -> PeerDirectory:
    def peer(number: int, service: str = "shop") -> Peer:
        name = NodeId(f"node-{number}")
        return Peer(name, f"10.0.0.{number}:1", ServiceName(service), DataCentre("one"))

    directory = PeerDirectory(peer(0), ListLog())
    directory.merge([peer(1), peer(2), peer(3), peer(4, "another")], "test")
    return directory


async def test_all_of_the_service_are_told_until_each_has_heard(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(crash_notifier, "FIRST_PAUSE_SECONDS", 0.001)
    sync = SilentAtFirst({"10.0.0.2": 3})
    news = CrashNotifier(directory_of_four(), sync, LoopClock())  # type: ignore[arg-type]
    news.tell()
    async with asyncio.timeout(10.0):
        await sync.all_told.wait()
    assert sorted(sync.told) == ["10.0.0.1", "10.0.0.2", "10.0.0.3"]


async def test_what_is_new_does_not_wait_for_one_that_is_silent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(crash_notifier, "FIRST_PAUSE_SECONDS", 600.0)
    sync = SilentAtFirst({"10.0.0.2": 1})
    news = CrashNotifier(directory_of_four(), sync, LoopClock())  # type: ignore[arg-type]
    news.tell()
    while len(sync.told) < 2:
        await asyncio.sleep(0)
    news.tell()
    async with asyncio.timeout(10.0):
        await sync.all_told.wait()
    news.close()


class StoredRecords:
    """A store that keeps what is put, in place of the platform's."""

    def __init__(self) -> None:
        self.value_by_key: dict[str, bytes] = {}
        self.written = asyncio.Event()

    async def put(self, _: str, record: KeyedRecord) -> int:
        self.value_by_key[record.key] = record.value
        self.written.set()
        return 0


def blamed_for_three_ends(clock: FakeClock) -> tuple[CrashEvidence, CrashMonitor]:
    evidence = CrashEvidence(ListLog())
    return evidence, CrashMonitor(SHOP, evidence, clock)


async def test_record_is_kept_for_as_long_as_the_work_is_refused(
    clock: FakeClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def pass_time(seconds: float) -> None:
        clock.advance(seconds)

    evidence, crash_monitor = blamed_for_three_ends(clock)
    store = StoredRecords()
    records = CrashRecords("t", store, evidence, crash_monitor, clock, ListLog(), wall=clock.now)  # type: ignore[arg-type]
    monkeypatch.setattr(crash_records.asyncio, "sleep", pass_time)
    for life in range(3):
        crash_monitor.ended(
            [LostRequest(RequestId("q"), WORK, InstanceId(f"i-{life}"), clock.now())]
        )
    await store.written.wait()
    (key, value), *_ = store.value_by_key.items()
    another = CrashEvidence(ListLog())
    reader = CrashRecords("t", store, another, crash_monitor, clock, ListLog(), wall=clock.now)  # type: ignore[arg-type]
    assert reader.take(KeyedRecord(key, value))
    while store.value_by_key[key]:
        await asyncio.wait([asyncio.ensure_future(store.written.wait())])
    assert another.rejected_for(SHOP, WORK, clock.now()) == 0.0
    records.close()


async def test_record_that_cannot_be_read_is_told_and_passed_over(clock: FakeClock) -> None:
    evidence, crash_monitor = blamed_for_three_ends(clock)
    log = ListLog()
    records = CrashRecords("t", StoredRecords(), evidence, crash_monitor, clock, log)  # type: ignore[arg-type]
    for value in (b"", b"{}", b"\xff", b'{"at":1,"reports":[{"work":1}]}'):
        assert records.take(KeyedRecord("crash/x", value))
    assert len(log.named("crash_record_unreadable")) == 4
    assert not records.take(KeyedRecord("node-1", b"{}"))
    assert len(evidence) == 0


async def two_machines(system: MeshSystem) -> tuple[Machine, Machine]:
    """Return a node that knows of an end and one that does not; none asks by itself."""
    knows = await system.add("shop")
    other = await system.add("shop")
    for machine in (knows, other):
        for task in machine.node._tasks:
            task.cancel()
    knows.node.crashes.evidence.ended(SHOP, WORK, InstanceId("i-1"), LoopClock().now())
    return knows, other


async def test_who_asks_is_told_what_it_lacks(system: MeshSystem) -> None:
    knows, other = await two_machines(system)
    await other.node.sync.ask(knows.node.peers_address)
    assert other.node.crashes.evidence.digest(SHOP) == knows.node.crashes.evidence.digest(SHOP)


async def test_who_is_asked_is_told_next_what_it_lacks(system: MeshSystem) -> None:
    knows, other = await two_machines(system)
    await knows.node.sync.ask(other.node.peers_address, wants_news=True)
    assert not other.node.crashes.evidence.has_evidence(SHOP)
    await knows.node.sync.ask(other.node.peers_address, wants_news=True)
    assert other.node.crashes.evidence.digest(SHOP) == knows.node.crashes.evidence.digest(SHOP)


async def test_nothing_is_told_where_both_know_the_same(system: MeshSystem) -> None:
    knows, other = await two_machines(system)
    await knows.node.sync.tell_crashes(other.node.peers_address)
    question = knows.node.sync._question(other.node.peers_address, wants_news=True)
    assert question.crashes == []
    assert other.node.sync._answers.reply_to(question, store_away=False).crashes == []
