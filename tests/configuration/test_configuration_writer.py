from __future__ import annotations

import random
from typing import TYPE_CHECKING
from typing import NamedTuple

import msgspec
import pytest
from result import Err
from result import Ok

from hoisthook.configuration import configuration_writer
from hoisthook.configuration.change import ChangeRecord
from hoisthook.configuration.change import PutService
from hoisthook.configuration.configuration_follower import CHANGES_STREAM
from hoisthook.configuration.configuration_follower import SNAPSHOTS_STREAM
from hoisthook.configuration.configuration_follower import ConfigurationFollower
from hoisthook.configuration.configuration_state import ConfigurationState
from hoisthook.configuration.configuration_writer import ConfigurationWriter
from hoisthook.configuration.service_spec import ServiceSpec
from hoisthook.exceptions import AppendUnknownError
from hoisthook.result_code import ResultCode
from tests.fakes import FakeClock
from tests.fakes import FakeLog
from tests.fakes import FakePeer
from tests.fakes import FakePeers

if TYPE_CHECKING:
    from hoisthook.port.platform_log import LogPage


class ConfigurationNode(NamedTuple):
    state: ConfigurationState
    follower: ConfigurationFollower
    writer: ConfigurationWriter


@pytest.fixture
def peers() -> FakePeers:
    return FakePeers({})


@pytest.fixture(autouse=True)
def short_read_back_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(configuration_writer, "READ_BACK_TIMEOUT_SECONDS", 0.05)


def make_node(log: FakeLog, clock: FakeClock, peers: FakePeers) -> ConfigurationNode:
    state = ConfigurationState()
    follower = ConfigurationFollower(state, log, peers, clock, random.Random(1), retention=100.0)
    return ConfigurationNode(state, follower, ConfigurationWriter(state, follower, log))


def change(operation: str, base: int = 0, timeout: int = 5) -> ChangeRecord:
    return ChangeRecord(operation, base, PutService(ServiceSpec("a", timeout_ms=timeout)))


async def test_accepted_means_read_back(log: FakeLog, clock: FakeClock, peers: FakePeers) -> None:
    node, other_node = make_node(log, clock, peers), make_node(log, clock, peers)
    answer = await node.writer.submit(change("1"))
    assert isinstance(answer, Ok)
    await other_node.follower.read_log()
    assert other_node.state.service_by_name == node.state.service_by_name


async def test_racing_operators_one_wins_and_the_other_gets_a_conflict(
    log: FakeLog, clock: FakeClock, peers: FakePeers
) -> None:
    node, other_node = make_node(log, clock, peers), make_node(log, clock, peers)
    won = await node.writer.submit(change("1", timeout=5))
    lost = await other_node.writer.submit(change("2", timeout=6))
    assert isinstance(won, Ok)
    assert isinstance(lost, Err)
    assert lost.err_value.code is ResultCode.REVISION_CONFLICT
    assert lost.err_value.winner == won.ok_value.winner
    assert other_node.state.service_by_name["a"].timeout_ms == 5


async def test_lost_answer_is_found_again(log: FakeLog, clock: FakeClock, peers: FakePeers) -> None:
    node = make_node(log, clock, peers)
    log.lose_answers = 1
    assert isinstance(await node.writer.submit(change("1")), Ok)
    assert log.append_count == 1


async def test_lost_request_is_sent_again_and_runs_once(
    log: FakeLog, clock: FakeClock, peers: FakePeers
) -> None:
    node = make_node(log, clock, peers)
    log.lose_requests = 1
    answer = await node.writer.submit(change("1"))
    assert isinstance(answer, Ok)
    assert answer.ok_value.winner == 1
    assert log.append_count == 1


async def test_requests_that_stay_lost_are_unknown_and_safe_to_repeat(
    log: FakeLog, clock: FakeClock, peers: FakePeers
) -> None:
    node = make_node(log, clock, peers)
    log.lose_requests = configuration_writer.MAX_APPENDS
    first = await node.writer.submit(change("1"))
    assert isinstance(first, Err)
    assert first.err_value.code is ResultCode.APPEND_UNKNOWN
    assert isinstance(await node.writer.submit(change("1")), Ok)


async def test_request_lost_before_an_outage_is_unknown(
    log: FakeLog, clock: FakeClock, peers: FakePeers
) -> None:
    """The first append may still arrive, so reporting that nothing changed could be wrong."""
    node = make_node(log, clock, peers)
    log.lose_requests = 1
    read = log.read

    async def read_then_fail(stream: str, offset: int, *, wait: float = 0.0) -> LogPage:
        page = await read(stream, offset, wait=wait)
        log.outage = log.lose_requests == 0
        return page

    log.read = read_then_fail
    answer = await node.writer.submit(change("1"))
    assert isinstance(answer, Err)
    assert answer.err_value.code is ResultCode.APPEND_UNKNOWN


async def test_append_that_arrives_after_its_repeat_takes_effect_once(
    log: FakeLog, clock: FakeClock, peers: FakePeers
) -> None:
    node, other_node = make_node(log, clock, peers), make_node(log, clock, peers)
    log.lose_requests = 1
    assert isinstance(await node.writer.submit(change("1")), Ok)
    await log.append(CHANGES_STREAM, msgspec.json.encode(change("1")))
    await other_node.follower.read_log()
    assert other_node.state.revision_by_key["service/a"] == 1
    assert len(other_node.state.history) == 1


async def test_lost_answer_then_outage_is_unknown_and_a_repeat_does_not_apply_twice(
    log: FakeLog, clock: FakeClock, peers: FakePeers
) -> None:
    node = make_node(log, clock, peers)
    log.lose_answers = 1

    async def outage_follows() -> None:
        log.outage = True

    log.before_append = outage_follows
    first = await node.writer.submit(change("1"))
    assert isinstance(first, Err)
    assert first.err_value.code is ResultCode.APPEND_UNKNOWN
    log.outage = False
    log.before_append = None
    repeated = await make_node(log, clock, peers).writer.submit(change("1"))
    assert isinstance(repeated, Ok)
    assert repeated.ok_value.winner == 1


async def test_outage_is_reported_and_nothing_changes(
    log: FakeLog, clock: FakeClock, peers: FakePeers
) -> None:
    node = make_node(log, clock, peers)
    log.outage = True
    answer = await node.writer.submit(change("1"))
    assert isinstance(answer, Err)
    assert answer.err_value.code is ResultCode.LOG_UNAVAILABLE
    assert node.state.service_by_name == {}


async def test_operation_id_of_another_change_is_refused(
    log: FakeLog, clock: FakeClock, peers: FakePeers
) -> None:
    node = make_node(log, clock, peers)
    await node.writer.submit(change("1"))
    other = ChangeRecord("1", 0, PutService(ServiceSpec("b")))
    answer = await node.writer.submit(other)
    assert isinstance(answer, Err)
    assert answer.err_value.code is ResultCode.OPERATION_ID_REUSED


async def test_bad_value_is_refused_before_the_log(
    log: FakeLog, clock: FakeClock, peers: FakePeers
) -> None:
    answer = await make_node(log, clock, peers).writer.submit(change("1", timeout=0))
    assert isinstance(answer, Err)
    assert answer.err_value.code is ResultCode.SPEC_INVALID
    assert log.append_count == 0


async def test_snapshot_outlives_the_records(
    log: FakeLog, clock: FakeClock, peers: FakePeers
) -> None:
    node = make_node(log, clock, peers)
    await node.writer.submit(change("1"))
    await node.writer.submit(change("2", base=1, timeout=7))
    clock.advance(30.0)
    await node.follower.keep_snapshot()
    log.expire(CHANGES_STREAM, 0)
    new = make_node(log, clock, peers)
    await new.follower.read_log()
    assert new.state.snapshot() == node.state.snapshot()
    assert isinstance(await new.writer.submit(change("3", base=2, timeout=8)), Ok)


async def test_snapshot_that_was_lost_on_the_way_is_written_again(
    log: FakeLog, clock: FakeClock, peers: FakePeers
) -> None:
    """Guards against records that expire although no snapshot covers them."""
    node = make_node(log, clock, peers)
    await node.writer.submit(change("1"))
    clock.advance(30.0)
    log.lose_requests = 1
    with pytest.raises(AppendUnknownError):
        await node.follower.keep_snapshot()
    await node.follower.keep_snapshot()
    log.expire(CHANGES_STREAM, 0)
    new = make_node(log, clock, peers)
    await new.follower.read_log()
    assert new.state.snapshot() == node.state.snapshot()


async def test_snapshot_whose_confirmation_was_lost_is_not_written_twice(
    log: FakeLog, clock: FakeClock, peers: FakePeers
) -> None:
    node = make_node(log, clock, peers)
    await node.writer.submit(change("1"))
    clock.advance(30.0)
    log.lose_answers = 1
    with pytest.raises(AppendUnknownError):
        await node.follower.keep_snapshot()
    await node.follower.keep_snapshot()
    assert len(log.records_by_stream[SNAPSHOTS_STREAM]) == 1


async def test_racing_snapshots_are_harmless(
    log: FakeLog, clock: FakeClock, peers: FakePeers
) -> None:
    old, newer = make_node(log, clock, peers), make_node(log, clock, peers)
    await old.writer.submit(change("1"))
    clock.advance(30.0)
    await newer.writer.submit(change("2", base=1, timeout=7))
    await newer.follower.keep_snapshot()
    await log.append(SNAPSHOTS_STREAM, b"not a snapshot")
    await log.append(SNAPSHOTS_STREAM, msgspec.json.encode(old.state.snapshot()))
    log.expire(CHANGES_STREAM, 0)
    new = make_node(log, clock, peers)
    await new.follower.read_log()
    assert new.state.service_by_name["a"].timeout_ms == 7


async def test_paused_past_retention_catches_up_by_snapshot(
    log: FakeLog, clock: FakeClock, peers: FakePeers
) -> None:
    node, paused = make_node(log, clock, peers), make_node(log, clock, peers)
    await node.writer.submit(change("1"))
    await paused.follower.read_log()
    for number in range(2, 6):
        await node.writer.submit(change(str(number), base=number - 1, timeout=number))
    clock.advance(30.0)
    await node.follower.keep_snapshot()
    log.expire(CHANGES_STREAM, 1)
    await paused.follower.read_log()
    assert paused.state.snapshot() == node.state.snapshot()


async def test_node_started_in_an_outage_learns_from_a_peer(
    log: FakeLog, clock: FakeClock, peers: FakePeers
) -> None:
    node = make_node(log, clock, peers)
    await node.writer.submit(change("1"))
    log.outage = True
    address = ("127.0.0.1", 1)
    new = make_node(log, clock, FakePeers({address: FakePeer(None, node.follower)}))
    await new.follower.fetch_from_peer(address, node.state.offset)
    assert new.state.snapshot() == node.state.snapshot()


async def test_older_state_of_a_peer_is_neither_fetched_nor_applied(
    log: FakeLog, clock: FakeClock, peers: FakePeers
) -> None:
    old, node = make_node(log, clock, peers), make_node(log, clock, peers)
    await old.writer.submit(change("1"))
    await node.writer.submit(change("2", base=1, timeout=9))
    address = ("127.0.0.1", 1)
    behind = FakePeers({address: FakePeer(None, old.follower)})
    ahead = ConfigurationFollower(node.state, log, behind, clock, random.Random(1), retention=9.0)
    await ahead.fetch_from_peer(address, old.state.offset)
    await ahead.fetch_from_peer(address, 99)
    assert node.state.service_by_name["a"].timeout_ms == 9
