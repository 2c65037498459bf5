"""Deltas between versions lead every node to the same configuration."""

from __future__ import annotations

import msgspec
import pytest
from hoisthook_platform.configuration_record import ConfigurationReader
from hypothesis import given
from hypothesis import strategies as st

from hoisthook.mesh.sync_messages import SyncReply
from hoisthook.mesh.sync_messages import decode_message
from hoisthook.mesh.sync_messages import encode_message
from hoisthook.traffic.configuration_history import MAX_VERSIONS
from hoisthook.traffic.configuration_history import ConfigurationHistory
from hoisthook.traffic.configuration_parts import NO_VERSION
from hoisthook.traffic.configuration_parts import ConfigurationDelta
from hoisthook.traffic.configuration_parts import ConfigurationParts
from hoisthook.traffic.configuration_parts import PartKey
from standin.mesh_system import ListLog
from standin.published_configuration import RouteOptions
from standin.published_configuration import configuration

KEYS = [PartKey(f"routes/{number}") for number in range(4)]
by_keys = st.dictionaries(st.sampled_from(KEYS), st.binary(min_size=1, max_size=2))


def parts(version: int, **texts: str) -> ConfigurationParts:
    return ConfigurationParts(version, {PartKey(k): v.encode() for k, v in texts.items()})


def delta_between(*versions: ConfigurationParts, since: int) -> ConfigurationDelta:
    history = ConfigurationHistory()
    for version in versions:
        history.add_version(version)
    delta = history.since(since)
    assert delta is not None
    return delta


def test_delta_holds_changed_and_removed_parts() -> None:
    before = parts(3, kept="k", changed="old", gone="g")
    after = parts(4, kept="k", changed="new", added="a")
    delta = delta_between(before, after, since=3)
    assert delta.base == 3
    assert sorted(delta.parts) == ["added", "changed"]
    assert delta.removed == ["gone"]
    applied = delta.applied_to(before)
    assert applied is not None
    assert applied.by_key == after.by_key


def test_node_without_a_configuration_gets_all_parts() -> None:
    delta = delta_between(parts(3, a="1"), since=NO_VERSION)
    assert delta.base == NO_VERSION
    assert delta.applied_to(None) == parts(3, a="1")


def test_no_delta_for_a_node_that_is_up_to_date() -> None:
    history = ConfigurationHistory()
    history.add_version(parts(3, a="1"))
    assert history.since(3) is None
    assert history.since(9) is None


def test_part_changed_and_changed_back_by_a_skipped_version_is_detected() -> None:
    delta = delta_between(parts(3, a="1"), parts(5, a="1", b="2"), since=4)
    # The other node has version 4, in which the part differed.
    assert delta.applied_to(parts(4, a="x")) is None


def test_node_too_far_behind_gets_all_parts() -> None:
    versions = [parts(number, a=str(number)) for number in range(MAX_VERSIONS + 2)]
    assert delta_between(*versions, since=0).base == NO_VERSION
    assert delta_between(*versions, since=MAX_VERSIONS).base == MAX_VERSIONS


@given(st.lists(by_keys, min_size=2, max_size=8), st.data())
def test_any_sequence_of_versions_ends_in_the_newest(
    contents: list[dict[PartKey, bytes]], data: st.DataObject
) -> None:
    """A node applies a delta from one that had other versions, or else gets all parts."""
    versions = [ConfigurationParts(number, by_key) for number, by_key in enumerate(contents)]
    newest = versions[-1]
    received = data.draw(st.sets(st.sampled_from(range(len(versions) - 1))))
    history = ConfigurationHistory()
    for version in [versions[number] for number in sorted(received)] + [newest]:
        history.add_version(version)
    known = data.draw(st.sampled_from(versions[:-1]))
    delta = history.since(known.version)
    assert delta is not None
    applied = delta.applied_to(known)
    if applied is None:
        complete = history.since(NO_VERSION)
        assert complete is not None
        applied = complete.applied_to(known)
    assert applied is not None
    assert applied.by_key == newest.by_key


def test_change_of_one_route_among_many_takes_few_bytes() -> None:
    """Sending the complete configuration took 1.17 MB per link and change."""
    routes = [RouteOptions(f"service-{n}", prefix=f"/route-{n}/") for n in range(3700)]
    read = ConfigurationReader(ListLog())
    before = read(configuration(1, *routes))
    routes[7] = RouteOptions("service-9", prefix="/route-7/")
    raw = configuration(2, *routes)
    after = read(raw)
    assert before is not None
    assert after is not None
    delta = encode_message(
        SyncReply(configuration=delta_between(before.parts, after.parts, since=1))
    )
    complete = encode_message(
        SyncReply(configuration=delta_between(before.parts, after.parts, since=NO_VERSION))
    )
    assert len(raw) > 1_000_000
    assert len(delta) < 1_000
    assert len(complete) < len(raw) / 5


def test_parts_make_the_same_configuration_as_the_record() -> None:
    raw = configuration(1, RouteOptions("shop"), RouteOptions("front", host="b.example"))
    read = ConfigurationReader(ListLog())
    decoded = read(raw)
    assert decoded is not None
    assembled = ConfigurationReader(ListLog()).assemble(decoded.parts)
    assert assembled is not None
    assert sorted(r.name for r in assembled.routes) == sorted(r.name for r in decoded.routes)
    assert assembled.traits_by_service == decoded.traits_by_service
    assert assembled.limits == decoded.limits


def test_unreadable_part_of_a_peer_is_not_applied() -> None:
    log = ListLog()
    assert ConfigurationReader(log).assemble(parts(1, a="{")) is None
    assert log.named("configuration_unreadable")


@given(st.binary(max_size=200))
def test_any_bytes_are_a_message_or_refused(data: bytes) -> None:
    for encoding in (b"", b"p", b"z"):
        try:
            decode_message(encoding + data, SyncReply)
        except msgspec.DecodeError:
            continue


@pytest.mark.parametrize("cut", [1, 10, 50])
def test_message_cut_short_is_refused(cut: int) -> None:
    message = encode_message(SyncReply(source="x" * 1000))
    with pytest.raises(msgspec.DecodeError):
        decode_message(message[:-cut], SyncReply)
