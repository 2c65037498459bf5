from __future__ import annotations

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from hoisthook.configuration.change import Change
from hoisthook.configuration.change import ChangeRecord
from hoisthook.configuration.change import DeleteService
from hoisthook.configuration.change import PutService
from hoisthook.configuration.change import SetDrain
from hoisthook.configuration.configuration_state import ConfigurationState
from hoisthook.configuration.configuration_state import Snapshot
from hoisthook.configuration.service_spec import ServiceSpec
from hoisthook.port.platform_log import LogRecord

CHANGES = st.one_of(
    st.builds(
        PutService, st.builds(ServiceSpec, st.sampled_from("ab"), timeout_ms=st.integers(1, 9))
    ),
    st.builds(DeleteService, st.sampled_from("ab")),
    st.builds(SetDrain, st.sampled_from("xy"), st.booleans()),
)
RECORDS = st.builds(
    ChangeRecord, st.text("0123456789", min_size=1, max_size=2), st.integers(0, 12), CHANGES
)
PAYLOADS = st.lists(
    st.one_of(RECORDS.map(msgspec.json.encode), st.binary(max_size=20)), max_size=40
)


def put(operation: str, base: int, timeout: int = 5, name: str = "a") -> bytes:
    change: Change = PutService(ServiceSpec(name, timeout_ms=timeout))
    return msgspec.json.encode(ChangeRecord(operation, base, change))


def apply_all(payloads: list[bytes]) -> ConfigurationState:
    state = ConfigurationState()
    for offset, payload in enumerate(payloads):
        state.apply(LogRecord(offset, payload))
    return state


def test_first_of_two_racing_changes_wins() -> None:
    state = apply_all([put("1", 0, 5), put("2", 0, 6)])
    assert state.service_by_name["a"].timeout_ms == 5
    assert [outcome.applied for outcome in state.history] == [True, False]
    assert state.history[1].winner == 1


def test_record_that_stands_twice_takes_effect_once() -> None:
    payloads = [put("1", 0, 5), put("2", 1, 6), put("1", 0, 5)]
    state = apply_all(payloads)
    assert state.service_by_name["a"].timeout_ms == 6
    assert len(state.history) == 2


def test_unreadable_and_later_versions_change_nothing() -> None:
    later_version = msgspec.json.encode({"operation_id": "1", "base_revision": 0, "version": 9})
    state = apply_all([b"\xff", later_version, b"{}"])
    assert state.offset == 2
    assert state.unreadable == 3
    assert state.service_by_name == {}


def test_gap_is_an_error() -> None:
    state = apply_all([put("1", 0)])
    with pytest.raises(ValueError, match="does not follow"):
        state.apply(LogRecord(2, put("2", 0)))


@given(PAYLOADS)
def test_equal_prefixes_give_equal_states_also_through_a_snapshot(payloads: list[bytes]) -> None:
    complete = apply_all(payloads)
    for cut in range(0, len(payloads) + 1, 7):
        snapshot = apply_all(payloads[:cut]).snapshot()
        state = ConfigurationState()
        state.restore(msgspec.json.decode(msgspec.json.encode(snapshot), type=Snapshot))
        for offset in range(cut, len(payloads)):
            state.apply(LogRecord(offset, payloads[offset]))
        if payloads:
            assert state.snapshot() == complete.snapshot()


@given(PAYLOADS, st.lists(st.integers(0, 39), max_size=60))
def test_never_goes_back_whatever_is_offered(payloads: list[bytes], offers: list[int]) -> None:
    """The offset never decreases with reordered or repeated records and old snapshots."""
    state = ConfigurationState()
    snapshots = [apply_all(payloads[:cut]).snapshot() for cut in range(len(payloads) + 1)]
    for offer in offers:
        before = state.offset
        if offer < len(payloads) and offer <= state.offset + 1:
            state.apply(LogRecord(offer, payloads[offer]))
        elif offer < len(snapshots):
            state.restore(snapshots[offer])
        assert state.offset >= before
        assert state.snapshot() == snapshots[state.offset + 1]


@given(PAYLOADS)
def test_revision_grows_with_each_applied_change(payloads: list[bytes]) -> None:
    state = ConfigurationState()
    for offset, payload in enumerate(payloads):
        before = dict(state.revision_by_key)
        outcome = state.apply(LogRecord(offset, payload))
        if outcome is not None and outcome.offset == offset and outcome.applied:
            assert outcome.winner > before.get(outcome.key, 0)
        else:
            assert state.revision_by_key == before
