"""Differences between configurations lead to the same configuration, whatever the way."""

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
        history.take(version)
    delta = history.since(since)
    assert delta is not None
    return delta


def test_difference_holds_what_has_changed_and_what_is_gone() -> None:
    before = parts(3, kept="k", changed="old", gone="g")
    after = parts(4, kept="k", changed="new", added="a")
    delta = delta_between(before, after, since=3)
    assert delta.base == 3
    assert sorted(delta.parts) == ["added", "changed"]
    assert delta.removed == ["gone"]
    applied = delta.applied_to(before)
    assert applied is not None
    assert applied.by_key == after.by_key


def test_node_without_a_configuration_gets_the_whole() -> None:
    delta = delta_between(parts(3, a="1"), since=NO_VERSION)
    assert delta.base == NO_VERSION
    assert delta.applied_to(None) == parts(3, a="1")


def test_nothing_is_told_to_who_has_as_much() -> None:
    history = ConfigurationHistory()
    history.take(parts(3, a="1"))
    assert history.since(3) is None
    assert history.since(9) is None


def test_part_changed_and_changed_back_by_a_version_passed_over_is_found_out() -> None:
    told = delta_between(parts(3, a="1"), parts(5, a="1", b="2"), since=4)
    # Whoever asks has version 4, in which the part was another.
    assert told.applied_to(parts(4, a="x")) is None


def test_who_is_too_far_behind_gets_the_whole() -> None:
    versions = [parts(number, a=str(number)) for number in range(MAX_VERSIONS + 2)]
    assert delta_between(*versions, since=0).base == NO_VERSION
    assert delta_between(*versions, since=MAX_VERSIONS).base == MAX_VERSIONS


@given(st.lists(by_keys, min_size=2, max_size=8), st.data())
def test_any_way_through_any_versions_ends_in_the_newest(
    contents: list[dict[PartKey, bytes]], data: st.DataObject
) -> None:
    """A node that takes differences from one that has had other versions, else asks for all."""
    versions = [ConfigurationParts(number, by_key) for number, by_key in enumerate(contents)]
    newest = versions[-1]
    had = data.draw(st.sets(st.sampled_from(range(len(versions) - 1))))
    history = ConfigurationHistory()
    for version in [versions[number] for number in sorted(had)] + [newest]:
        history.take(version)
    known = data.draw(st.sampled_from(versions[:-1]))
    delta = history.since(known.version)
    assert delta is not None
    applied = delta.applied_to(known)
    if applied is None:
        whole = history.since(NO_VERSION)
        assert whole is not None
        applied = whole.applied_to(known)
    assert applied is not None
    assert applied.by_key == newest.by_key


def test_change_of_one_route_among_many_is_told_in_few_bytes() -> None:
    """What a large configuration costs each link at each change, 1.17 MB before."""
    routes = [RouteOptions(f"service-{n}", prefix=f"/route-{n}/") for n in range(3700)]
    read = ConfigurationReader(ListLog())
    before = read(configuration(1, *routes))
    routes[7] = RouteOptions("service-9", prefix="/route-7/")
    raw = configuration(2, *routes)
    after = read(raw)
    assert before is not None
    assert after is not None
    difference = encode_message(
        SyncReply(configuration=delta_between(before.parts, after.parts, since=1))
    )
    whole = encode_message(
        SyncReply(configuration=delta_between(before.parts, after.parts, since=NO_VERSION))
    )
    assert len(raw) > 1_000_000
    assert len(difference) < 1_000
    assert len(whole) < len(raw) / 5


def test_parts_make_the_same_configuration_as_the_record() -> None:
    raw = configuration(1, RouteOptions("shop"), RouteOptions("front", host="b.example"))
    read = ConfigurationReader(ListLog())
    whole = read(raw)
    assert whole is not None
    again = ConfigurationReader(ListLog()).assemble(whole.parts)
    assert again is not None
    assert sorted(r.name for r in again.routes) == sorted(r.name for r in whole.routes)
    assert again.traits_by_service == whole.traits_by_service
    assert again.limits == whole.limits


def test_unreadable_part_of_a_peer_is_not_believed() -> None:
    log = ListLog()
    assert ConfigurationReader(log).assemble(parts(1, a="{")) is None
    assert log.named("configuration_unreadable")


@given(st.binary(max_size=200))
def test_any_bytes_are_a_message_or_refused(data: bytes) -> None:
    for kind in (b"", b"p", b"z"):
        try:
            decode_message(kind + data, SyncReply)
        except msgspec.DecodeError:
            continue


@pytest.mark.parametrize("cut", [1, 10, 50])
def test_message_cut_short_is_refused(cut: int) -> None:
    whole = encode_message(SyncReply(source="x" * 1000))
    with pytest.raises(msgspec.DecodeError):
        decode_message(whole[:-cut], SyncReply)
