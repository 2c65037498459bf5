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
from hoisthook.result_code import ResultCode
from tests.fakes import FakeClock
from tests.fakes import FakeLog
from tests.fakes import FakePeer
from tests.fakes import FakePeers

if TYPE_CHECKING:
    from hoisthook.port.platform_log import LogPage


class Seat(NamedTuple):
    state: ConfigurationState
    follower: ConfigurationFollower
    writer: ConfigurationWriter


@pytest.fixture
def peers() -> FakePeers:
    return FakePeers({})


@pytest.fixture(autouse=True)
def short_settling(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(configuration_writer, "SETTLE_SECONDS", 0.05)


def seat(log: FakeLog, clock: FakeClock, peers: FakePeers) -> Seat:
    state = ConfigurationState()
    follower = ConfigurationFollower(state, log, peers, clock, random.Random(1), retention=100.0)
    return Seat(state, follower, ConfigurationWriter(state, follower, log))


def change(operation: str, base: int = 0, timeout: int = 5) -> ChangeRecord:
    return ChangeRecord(operation, base, PutService(ServiceSpec("a", timeout_ms=timeout)))


async def test_accepted_means_read_back(log: FakeLog, clock: FakeClock, peers: FakePeers) -> None:
    here, there = seat(log, clock, peers), seat(log, clock, peers)
    done = await here.writer.submit(change("1"))
    assert isinstance(done, Ok)
    await there.follower.read_log()
    assert there.state.service_by_name == here.state.service_by_name


async def test_racing_operators_one_wins_and_the_other_is_told(
    log: FakeLog, clock: FakeClock, peers: FakePeers
) -> None:
    here, there = seat(log, clock, peers), seat(log, clock, peers)
    won = await here.writer.submit(change("1", timeout=5))
    lost = await there.writer.submit(change("2", timeout=6))
    assert isinstance(won, Ok)
    assert isinstance(lost, Err)
    assert lost.err_value.code is ResultCode.REVISION_CONFLICT
    assert lost.err_value.winner == won.ok_value.winner
    assert there.state.service_by_name["a"].timeout_ms == 5


async def test_lost_answer_is_found_again(log: FakeLog, clock: FakeClock, peers: FakePeers) -> None:
    here = seat(log, clock, peers)
    log.lose_answers = 1
    assert isinstance(await here.writer.submit(change("1")), Ok)
    assert log.append_count == 1


async def test_lost_request_is_sent_again_and_runs_once(
    log: FakeLog, clock: FakeClock, peers: FakePeers
) -> None:
    here = seat(log, clock, peers)
    log.lose_requests = 1
    done = await here.writer.submit(change("1"))
    assert isinstance(done, Ok)
    assert done.ok_value.winner == 1
    assert log.append_count == 1


async def test_requests_that_stay_lost_are_unknown_and_safe_to_repeat(
    log: FakeLog, clock: FakeClock, peers: FakePeers
) -> None:
    here = seat(log, clock, peers)
    log.lose_requests = configuration_writer.MAX_APPENDS
    first = await here.writer.submit(change("1"))
    assert isinstance(first, Err)
    assert first.err_value.code is ResultCode.APPEND_UNKNOWN
    assert isinstance(await here.writer.submit(change("1")), Ok)


async def test_request_lost_before_an_outage_is_unknown(
    log: FakeLog, clock: FakeClock, peers: FakePeers
) -> None:
    """The first append may still arrive, so "nothing changed" would say too much."""
    here = seat(log, clock, peers)
    log.lose_requests = 1
    refuses_after_read = log.read

    async def read_then_refuse(stream: str, offset: int, *, wait: float = 0.0) -> LogPage:
        page = await refuses_after_read(stream, offset, wait=wait)
        log.outage = log.lose_requests == 0
        return page

    log.read = read_then_refuse
    done = await here.writer.submit(change("1"))
    assert isinstance(done, Err)
    assert done.err_value.code is ResultCode.APPEND_UNKNOWN


async def test_append_that_arrives_after_its_repeat_takes_effect_once(
    log: FakeLog, clock: FakeClock, peers: FakePeers
) -> None:
    here, there = seat(log, clock, peers), seat(log, clock, peers)
    log.lose_requests = 1
    assert isinstance(await here.writer.submit(change("1")), Ok)
    await log.append(CHANGES_STREAM, msgspec.json.encode(change("1")))
    await there.follower.read_log()
    assert there.state.revision_by_key["service/a"] == 1
    assert len(there.state.history) == 1


async def test_lost_answer_then_outage_is_unknown_and_a_repeat_does_not_apply_twice(
    log: FakeLog, clock: FakeClock, peers: FakePeers
) -> None:
    here = seat(log, clock, peers)
    log.lose_answers = 1

    async def outage_follows() -> None:
        log.outage = True

    log.before_append = outage_follows
    first = await here.writer.submit(change("1"))
    assert isinstance(first, Err)
    assert first.err_value.code is ResultCode.APPEND_UNKNOWN
    log.outage = False
    log.before_append = None
    again = await seat(log, clock, peers).writer.submit(change("1"))
    assert isinstance(again, Ok)
    assert again.ok_value.winner == 1


async def test_outage_is_said_and_nothing_changes(
    log: FakeLog, clock: FakeClock, peers: FakePeers
) -> None:
    here = seat(log, clock, peers)
    log.outage = True
    done = await here.writer.submit(change("1"))
    assert isinstance(done, Err)
    assert done.err_value.code is ResultCode.LOG_UNAVAILABLE
    assert here.state.service_by_name == {}


async def test_operation_id_of_another_change_is_refused(
    log: FakeLog, clock: FakeClock, peers: FakePeers
) -> None:
    here = seat(log, clock, peers)
    await here.writer.submit(change("1"))
    other = ChangeRecord("1", 0, PutService(ServiceSpec("b")))
    done = await here.writer.submit(other)
    assert isinstance(done, Err)
    assert done.err_value.code is ResultCode.OPERATION_ID_REUSED


async def test_bad_value_is_refused_before_the_log(
    log: FakeLog, clock: FakeClock, peers: FakePeers
) -> None:
    done = await seat(log, clock, peers).writer.submit(change("1", timeout=0))
    assert isinstance(done, Err)
    assert done.err_value.code is ResultCode.SPEC_INVALID
    assert log.append_count == 0


async def test_snapshot_outlives_the_records(
    log: FakeLog, clock: FakeClock, peers: FakePeers
) -> None:
    here = seat(log, clock, peers)
    await here.writer.submit(change("1"))
    await here.writer.submit(change("2", base=1, timeout=7))
    clock.advance(30.0)
    await here.follower.keep_snapshot()
    log.expire(CHANGES_STREAM, 0)
    new = seat(log, clock, peers)
    await new.follower.read_log()
    assert new.state.snapshot() == here.state.snapshot()
    assert isinstance(await new.writer.submit(change("3", base=2, timeout=8)), Ok)


async def test_racing_snapshots_are_harmless(
    log: FakeLog, clock: FakeClock, peers: FakePeers
) -> None:
    old, newer = seat(log, clock, peers), seat(log, clock, peers)
    await old.writer.submit(change("1"))
    clock.advance(30.0)
    await newer.writer.submit(change("2", base=1, timeout=7))
    await newer.follower.keep_snapshot()
    await log.append(SNAPSHOTS_STREAM, b"not a snapshot")
    await log.append(SNAPSHOTS_STREAM, msgspec.json.encode(old.state.snapshot()))
    log.expire(CHANGES_STREAM, 0)
    new = seat(log, clock, peers)
    await new.follower.read_log()
    assert new.state.service_by_name["a"].timeout_ms == 7


async def test_paused_past_retention_catches_up_by_snapshot(
    log: FakeLog, clock: FakeClock, peers: FakePeers
) -> None:
    here, paused = seat(log, clock, peers), seat(log, clock, peers)
    await here.writer.submit(change("1"))
    await paused.follower.read_log()
    for number in range(2, 6):
        await here.writer.submit(change(str(number), base=number - 1, timeout=number))
    clock.advance(30.0)
    await here.follower.keep_snapshot()
    log.expire(CHANGES_STREAM, 1)
    await paused.follower.read_log()
    assert paused.state.snapshot() == here.state.snapshot()


async def test_node_started_in_an_outage_learns_from_a_peer(
    log: FakeLog, clock: FakeClock, peers: FakePeers
) -> None:
    here = seat(log, clock, peers)
    await here.writer.submit(change("1"))
    log.outage = True
    address = ("127.0.0.1", 1)
    new = seat(log, clock, FakePeers({address: FakePeer(None, here.follower)}))
    await new.follower.fetch_from_peer(address, here.state.offset)
    assert new.state.snapshot() == here.state.snapshot()


async def test_peer_with_an_old_copy_is_not_asked_and_not_believed(
    log: FakeLog, clock: FakeClock, peers: FakePeers
) -> None:
    old, here = seat(log, clock, peers), seat(log, clock, peers)
    await old.writer.submit(change("1"))
    await here.writer.submit(change("2", base=1, timeout=9))
    address = ("127.0.0.1", 1)
    behind = FakePeers({address: FakePeer(None, old.follower)})
    ahead = ConfigurationFollower(here.state, log, behind, clock, random.Random(1), retention=9.0)
    await ahead.fetch_from_peer(address, old.state.offset)
    await ahead.fetch_from_peer(address, 99)
    assert here.state.service_by_name["a"].timeout_ms == 9
