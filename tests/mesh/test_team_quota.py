"""A team's quota holds over all nodes together, tested over sockets."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from hoisthook.mesh.team_quotas import TeamQuotas
from hoisthook.settings.mesh_settings import MeshTeamSettings
from standin.mesh_backend import Fault
from standin.published_configuration import MAX_BODY_BYTES
from standin.published_configuration import RouteOptions
from standin.published_configuration import TeamOptions
from tests.waiting import until

if TYPE_CHECKING:
    import pytest

    from hoisthook.teams.quota_verdict import Token
    from hoisthook.teams.team import Team
    from standin.mesh_system import Machine
    from standin.mesh_system import MeshSystem

TEAMS = MeshTeamSettings(quota_window_seconds=5.0, quota_over_share=0.1, quota_extra=10.0)
PORT = TeamOptions("port", ("key",), per_second=10.0, burst=10.0)
# Tokens accrue so slowly that used ones are not replaced during the test.
SLOW = TeamOptions("port", ("key",), per_second=0.1, burst=8.0)
OVERSIZED = bytes(MAX_BODY_BYTES + 1)
OTHER = TeamOptions("other", ("other-key",))
BOUND = (10.0 * 5.0 + 10.0) * 1.1 + 10.0


async def ingresses_and_server(
    system: MeshSystem, port: TeamOptions
) -> tuple[list[Machine], Machine]:
    system.teams = TEAMS
    ingresses = [await system.add("front") for _ in range(3)]
    server = await system.add("shop", slots=100)
    system.merge_all_peers()
    system.publish(1, RouteOptions("shop"), teams=[port, OTHER])
    await system.until_configured(1)
    # Nodes that have just started do not know which tokens were granted before.
    await asyncio.sleep(1.5)
    return ingresses, server


async def send_calls(system: MeshSystem, ingresses: list[Machine], count: int) -> list[int]:
    calls = [system.call(ingresses[n % len(ingresses)], key="key") for n in range(count)]
    return [status for status, _, _ in await asyncio.gather(*calls)]


async def test_all_ingress_nodes_together_admit_one_quota(system: MeshSystem) -> None:
    ingresses, server = await ingresses_and_server(system, PORT)
    started_at = asyncio.get_running_loop().time()
    statuses: list[int] = []
    for _ in range(5):
        statuses += await send_calls(system, ingresses, 30)
        await asyncio.sleep(0.2)
    seconds = asyncio.get_running_loop().time() - started_at
    assert set(statuses) == {200, 429}
    assert len(server.backend.runs) == statuses.count(200)
    assert statuses.count(200) <= BOUND
    assert statuses.count(200) >= 10.0 * seconds - 10.0


async def test_team_over_its_quota_gets_retry_after_and_others_are_served(
    system: MeshSystem,
) -> None:
    ingresses, server = await ingresses_and_server(system, PORT)
    while (answer := await system.call(ingresses[0], key="key"))[0] == 200:
        pass
    status, headers, body = answer
    assert status == 429
    assert body.startswith(b"2025 TEAM_OVER_QUOTA")
    assert 0 < float(headers[b"retry-after"]) <= 2.0
    arrivals_before = len(server.backend.arrivals)
    assert (await system.call(ingresses[0], key="other-key"))[0] == 200
    assert len(server.backend.arrivals) == arrivals_before + 1


async def test_request_not_run_returns_its_token(system: MeshSystem) -> None:
    ingresses, server = await ingresses_and_server(system, SLOW)
    # Until enough tokens have accrued.
    await asyncio.sleep(6.0)
    server.backend.fault = Fault.SHED
    for _ in range(20):
        assert await send_calls(system, ingresses[:1], 1) == [503]
    server.backend.fault = Fault.NONE
    await asyncio.sleep(0.1)
    assert await send_calls(system, ingresses[:1], 6) == [200] * 6


async def test_request_with_an_oversized_body_returns_its_token(system: MeshSystem) -> None:
    ingresses, _ = await ingresses_and_server(system, SLOW)
    await asyncio.sleep(6.0)
    for _ in range(20):
        status, _, _ = await system.call(ingresses[0], method=b"POST", body=OVERSIZED, key="key")
        assert status == 413
    assert await send_calls(system, ingresses[:1], 6) == [200] * 6


async def test_caller_that_leaves_during_the_upload_gives_its_token_back(
    system: MeshSystem, monkeypatch: pytest.MonkeyPatch
) -> None:
    returned: list[object] = []
    not_run = TeamQuotas.not_run

    def count(quotas: TeamQuotas, team: Team, token: Token) -> None:
        returned.append(token)
        not_run(quotas, team, token)

    monkeypatch.setattr(TeamQuotas, "not_run", count)
    ingresses, _ = await ingresses_and_server(system, PORT)
    _, writer = await asyncio.open_connection(*ingresses[0].node.callers_address)
    writer.write(
        b"POST /x HTTP/1.1\r\nhost: a.example\r\nx-request-id: left\r\n"
        b"authorization: Bearer key\r\ncontent-length: 1000\r\n\r\nhalf"
    )
    # The upload has begun by the time at which a later request is answered.
    assert (await system.call(ingresses[0], key="key"))[0] == 200
    writer.transport.abort()
    await until(lambda: len(returned) == 1)


async def test_quota_continues_after_its_owner_node_is_gone(
    system: MeshSystem,
) -> None:
    ingresses, _ = await ingresses_and_server(system, PORT)
    system.machines[1].crash()
    left = [ingresses[0], ingresses[2]]
    served = 0
    for _ in range(10):
        served += (await send_calls(system, left, 2)).count(200)
        await asyncio.sleep(0.2)
    assert served >= 8
