"""Injects every fault at every step of a configuration change."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import msgspec
import pytest
from result import Err
from result import Ok

from hoisthook.configuration import configuration_writer
from hoisthook.configuration.change import ChangeRecord
from hoisthook.configuration.change import PutService
from hoisthook.configuration.configuration_follower import CHANGES_STREAM
from hoisthook.configuration.configuration_follower import ConfigurationFollower
from hoisthook.configuration.configuration_state import ConfigurationState
from hoisthook.configuration.configuration_writer import ConfigurationWriter
from hoisthook.configuration.service_spec import ServiceSpec
from hoisthook.result_code import ResultCode
from tests.fakes import FakeClock
from tests.fakes import FakeLog
from tests.fakes import FakePeers

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

STEPS = ("before", "append", "appended", "read back", "accepted")
FAULTS = (
    "outage",
    "request lost",
    "answer lost",
    "racing operator",
    "answer lost, then outage",
    "racing operator, answer lost",
    "records expire",
    "record stands twice",
)


class ConfigurationNode:
    """The configuration components of one node."""

    def __init__(self, log: FakeLog, clock: FakeClock) -> None:
        self.state = ConfigurationState()
        self.follower = ConfigurationFollower(
            self.state, log, FakePeers({}), clock, random.Random(1), retention=100.0
        )
        self.writer = ConfigurationWriter(self.state, self.follower, log)


class SteppedLog(FakeLog):
    """A log that injects a fault once, at one step of the change under test."""

    def __init__(self) -> None:
        super().__init__()
        self.step = ""
        self.inject: Callable[[], Awaitable[None]] | None = None

    async def reach(self, step: str) -> None:
        if step == self.step and self.inject is not None:
            inject, self.inject = self.inject, None
            await inject()

    async def append(self, stream: str, payload: bytes) -> int:
        is_under_test = b'"mine"' in payload
        if is_under_test:
            await self.reach("append")
        offset = await super().append(stream, payload)
        if is_under_test:
            await self.reach("appended")
        return offset

    async def read(self, stream: str, offset: int, *, wait: float = 0.0) -> object:
        if stream == CHANGES_STREAM and self.append_count >= 2:
            await self.reach("read back")
        return await super().read(stream, offset, wait=wait)


def change(operation: str, base: int, timeout: int) -> ChangeRecord:
    return ChangeRecord(operation, base, PutService(ServiceSpec("a", timeout_ms=timeout)))


def make_fault(log: SteppedLog, clock: FakeClock, fault: str) -> Callable[[], Awaitable[None]]:
    async def inject() -> None:
        if "racing operator" in fault:
            await FakeLog.append(log, CHANGES_STREAM, configuration_payload("other", 1, 77))
        if "request lost" in fault:
            log.lose_requests = 1
        if "answer lost" in fault:
            log.lose_answers = 1
        if "outage" in fault:
            log.outage = True
        if fault == "record stands twice":
            await FakeLog.append(log, CHANGES_STREAM, configuration_payload("mine", 1, 50))
        if fault == "records expire":
            snapshot_writer = ConfigurationNode(log, clock)
            await snapshot_writer.follower.read_log()
            clock.advance(30.0)
            await snapshot_writer.follower.keep_snapshot()
            log.expire(CHANGES_STREAM, 0)

    return inject


def configuration_payload(operation: str, base: int, timeout: int) -> bytes:
    return msgspec.json.encode(change(operation, base, timeout))


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("step", STEPS)
async def test_answer_to_the_operator_holds_on_every_node_and_later(
    monkeypatch: pytest.MonkeyPatch, clock: FakeClock, step: str, fault: str
) -> None:
    monkeypatch.setattr(configuration_writer, "READ_BACK_TIMEOUT_SECONDS", 0.05)
    log = SteppedLog()
    writing = ConfigurationNode(log, clock)
    assert isinstance(await writing.writer.submit(change("first", 0, 10)), Ok)
    following = ConfigurationNode(log, clock)
    await following.follower.read_log()
    log.step, log.inject = step, make_fault(log, clock, fault)
    await log.reach("before")
    answer = await writing.writer.submit(change("mine", 1, 50))
    await log.reach("accepted")
    log.outage = False
    log.lose_answers = log.lose_requests = 0
    fresh = ConfigurationNode(log, clock)
    for node in (writing, following, fresh):
        offset = node.state.offset
        await node.follower.read_log()
        assert node.state.offset >= offset
    assert writing.state.snapshot() == following.state.snapshot() == fresh.state.snapshot()
    winner = fresh.state.service_by_name["a"].timeout_ms
    applied = [o.operation_id for o in fresh.state.history if o.applied]
    assert applied.count("mine") + applied.count("other") <= 1
    if isinstance(answer, Ok):
        assert winner == 50
    elif answer.err_value.code in (ResultCode.LOG_UNAVAILABLE, ResultCode.REVISION_CONFLICT):
        assert winner != 50
    # A repeat with the same operation id returns the final outcome and changes nothing more.
    repeated = await fresh.writer.submit(change("mine", 1, 50))
    if isinstance(answer, Ok):
        assert isinstance(repeated, Ok)
        assert repeated.ok_value.winner == answer.ok_value.winner
    if isinstance(repeated, Err):
        assert repeated.err_value.code is ResultCode.REVISION_CONFLICT
    assert (fresh.state.service_by_name["a"].timeout_ms == 50) == isinstance(repeated, Ok)
