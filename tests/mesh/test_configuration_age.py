from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from hoisthook.identity import parse_address
from hoisthook.mesh import configuration_watch
from hoisthook.mesh.sync_messages import SyncReply
from standin.mesh_store import Outage
from standin.published_configuration import RouteOptions
from tests.waiting import until

if TYPE_CHECKING:
    import pytest

    from standin.mesh_system import MeshSystem


async def test_request_without_a_route_is_logged_with_the_age_of_the_configuration(
    system: MeshSystem,
) -> None:
    machine = await system.add("shop")
    system.publish(1, RouteOptions("shop"))
    await system.until_configured(1)
    status, _, _ = await system.call(machine, host="unknown.example")
    assert status == 404
    (line,) = system.log.named("answered")
    assert isinstance(line["configuration_age"], float)


async def test_reply_to_a_poll_confirms_as_much_as_the_reader_knows(
    system: MeshSystem, monkeypatch: pytest.MonkeyPatch
) -> None:
    # No poll of the store ends during the test.
    monkeypatch.setattr(configuration_watch, "MIN_WAIT_SECONDS", 60.0)
    monkeypatch.setattr(configuration_watch, "MAX_WAIT_SECONDS", 60.0)
    system.readers_per_data_centre = 1
    for _ in range(3):
        await system.add("shop")
    system.merge_all_peers()
    system.publish(1, RouteOptions("shop"))
    await system.until_configured(1)
    nodes = [machine.node for machine in system.machines]
    (reader,) = (node for node in nodes if not node._watch._readers.poll_targets())
    others = [node for node in nodes if node is not reader]
    replies = [node.sync._position_by_address for node in others]
    await until(lambda: all(replies))
    as_of = reader._configuration_age.as_of
    assert all(node._configuration_age.as_of <= as_of for node in others)


def test_older_nodes_report_no_age() -> None:
    fields = msgspec.to_builtins(SyncReply())
    assert "age" not in fields
    assert msgspec.convert(fields, SyncReply).age is None


async def test_reply_of_a_node_that_has_read_nothing_confirms_nothing(system: MeshSystem) -> None:
    """Guards against a reader that has just started and is taken for one of an older version."""
    asking = await system.add("shop")
    system.store.outage = Outage.SILENT
    started = await system.add("shop")
    as_of = asking.node._configuration_age.as_of
    address = parse_address(started.node.directory.me.address)
    assert await asking.node.sync.poll(address) is not None
    assert asking.node._configuration_age.as_of == as_of
