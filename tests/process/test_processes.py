"""Kills, freezes, outages and rolling replacement of real node processes."""

from __future__ import annotations

import asyncio
import os
import signal
from typing import TYPE_CHECKING

import aiohttp
import pytest_asyncio

from hoisthook.membership.pause_guard import PAUSE_SECONDS
from hoisthook.rpc import operator_pb2 as pb
from standin.cluster import Cluster
from standin.cluster import Instance
from standin.cluster import Options
from standin.cluster import operator_call
from standin.cluster import post_json
from standin.cluster import stop
from standin.cluster import wait_until
from standin.deployment import Deployment
from tests.node.foreign_server import ForeignServer

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

SERVICE = "airtime-top-up"
INGRESS_SERVICE = "subscriber-accounts"
# Longer than the pause that a node detects.
FREEZE_SECONDS = 2 * PAUSE_SECONDS
SMALL = Deployment("small", ("kaolack", "fatick"), {INGRESS_SERVICE: 2, SERVICE: 2}, slots=4)


class Caller:
    """Calls nodes through an ordinary HTTP client, as a caller's application does."""

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        self.session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=20))

    async def key(self, instance: Instance) -> str:
        headers = {"hoisthook-service": SERVICE}
        async with self.session.post(f"{instance.url}/hoisthook/keys", headers=headers) as answer:
            return (await answer.text()).strip()

    async def send(
        self, instance: Instance, name: str, *, key: str | None = None, work_ms: float = 1.0
    ) -> tuple[str, str]:
        """Return the number of the result header, or "broken", and whether the request ran."""
        headers = {"hoisthook-service": SERVICE, "x-run": name, "x-work-ms": str(work_ms)}
        if key is not None:
            headers["idempotency-key"] = key
        method = "GET" if key is None else "POST"
        try:
            async with self.session.request(method, f"{instance.url}/x", headers=headers) as answer:
                await answer.read()
                result = answer.headers.get("hoisthook-result", "").split(" ")[0]
                return result, answer.headers.get("hoisthook-ran", "")
        except (aiohttp.ClientError, OSError, TimeoutError):
            return "broken", "unknown"

    async def runs(self, name: str) -> int:
        count = 0
        for instance in self.cluster.of(SERVICE):
            async with self.session.get(f"{instance.backend_url}/_runs") as answer:
                count += (await answer.json())["runs"].count(name)
        return count


@pytest_asyncio.fixture
async def caller() -> AsyncIterator[Caller]:
    cluster = Cluster(SMALL, Options(work_ms=1.0))
    caller = Caller(cluster)
    try:
        await cluster.start()
        yield caller
    finally:
        await caller.session.close()
        for instance in cluster.instances:
            for process in (instance.node_process, instance.backend_process):
                if process is not None and process.returncode is None:
                    process.send_signal(signal.SIGCONT)
        await cluster.close()


def send_signal(instance: Instance, number: signal.Signals) -> None:
    assert instance.node_process is not None
    instance.node_process.send_signal(number)


async def running_place(caller: Caller, name: str) -> Instance:
    """Return the place whose backend server runs a request."""
    found: list[Instance] = []

    async def runs_somewhere() -> bool:
        for instance in caller.cluster.of(SERVICE):
            async with caller.session.get(f"{instance.backend_url}/_runs") as answer:
                if name in (await answer.json())["runs"]:
                    found.append(instance)
        return bool(found)

    await wait_until(runs_somewhere)
    return found[0]


async def test_killed_node_of_a_running_request_leaves_it_unknown_and_run_once(
    caller: Caller,
) -> None:
    ingress, other = caller.cluster.of(INGRESS_SERVICE)
    key = await caller.key(ingress)
    sending = asyncio.ensure_future(caller.send(ingress, "once", key=key, work_ms=800))
    send_signal(await running_place(caller, "once"), signal.SIGKILL)
    assert await sending == ("3001", "unknown")
    for instance in (other, ingress, other):
        assert (await caller.send(instance, "once", key=key))[1] == "unknown"
    assert await caller.runs("once") == 1


async def test_killed_holder_leaves_its_keys_unknown_and_run_once(caller: Caller) -> None:
    ingress, other = caller.cluster.of(INGRESS_SERVICE)
    key = await caller.key(ingress)
    sending = asyncio.ensure_future(caller.send(ingress, "once", key=key, work_ms=300))
    await running_place(caller, "once")
    send_signal(ingress, signal.SIGKILL)
    assert (await sending)[0] == "broken"
    await ingress.node_process.wait()
    await caller.cluster.start_node(ingress)

    async def is_back() -> bool:
        return (await caller.send(ingress, "ping"))[0] == "0"

    await wait_until(is_back)
    for instance in (other, ingress, other):
        assert (await caller.send(instance, "once", key=key))[1] == "unknown"
    assert await caller.runs("once") == 1


async def test_frozen_holder_that_wakes_runs_nothing_twice(caller: Caller) -> None:
    ingress, other = caller.cluster.of(INGRESS_SERVICE)
    key = await caller.key(ingress)
    sending = asyncio.ensure_future(caller.send(ingress, "once", key=key, work_ms=200))
    await running_place(caller, "once")
    send_signal(ingress, signal.SIGSTOP)
    frozen = await caller.send(other, "once", key=key)
    assert frozen[1] == "unknown"
    send_signal(ingress, signal.SIGCONT)
    await sending
    for instance in (other, ingress):
        assert (await caller.send(instance, "once", key=key))[1] in ("ran", "unknown")
    assert await caller.runs("once") == 1


async def test_frozen_node_of_a_backend_server_is_avoided_and_its_late_work_is_refused(
    caller: Caller,
) -> None:
    ingress = caller.cluster.of(INGRESS_SERVICE)[0]
    frozen = caller.cluster.of(SERVICE)[0]
    # Work reaches a frozen node only on connections on which it has stated its identity before.
    await asyncio.gather(*(caller.send(ingress, f"w{number}", work_ms=20) for number in range(8)))
    send_signal(frozen, signal.SIGSTOP)
    names = [f"r{number}" for number in range(12)]
    sending = [asyncio.ensure_future(caller.send(ingress, name)) for name in names]
    frozen_long_enough = asyncio.ensure_future(asyncio.sleep(FREEZE_SECONDS))
    done, _ = await asyncio.wait(sending, timeout=FREEZE_SECONDS)
    await frozen_long_enough
    send_signal(frozen, signal.SIGCONT)
    got = await asyncio.gather(*sending)
    assert done
    for name, (_, ran) in zip(names, got, strict=True):
        if ran == "not-run":
            assert await caller.runs(name) == 0

    async def serves_again() -> bool:
        status = await operator_call(
            frozen.operators, lambda stub: stub.NodeStatus(pb.NodeStatusRequest())
        )
        return bool(status.pauses >= 1)

    await wait_until(serves_again)


async def test_other_server_on_the_port_of_a_killed_node_gets_no_request(caller: Caller) -> None:
    """It was a key's holder and the target of hops, and the other nodes still know its address."""
    ingress = caller.cluster.of(INGRESS_SERVICE)[0]
    killed = caller.cluster.of(SERVICE)[0]
    key = await caller.key(killed)
    await asyncio.gather(*(caller.send(ingress, f"w{number}", work_ms=20) for number in range(8)))
    assert killed.node_process is not None
    killed.node_process.kill()
    await killed.node_process.wait()
    foreign = ForeignServer()
    await foreign.start(killed.peers)
    try:
        for number in range(20):
            result, _ = await caller.send(ingress, f"r{number}")
            assert result != "0" or await caller.runs(f"r{number}") > 0
        for _ in range(3):
            assert (await caller.send(ingress, "once", key=key))[1] == "unknown"
    finally:
        foreign.close()
        killed.node_process = None
    # Gossip goes to the addresses of all members, whoever listens there.
    assert [line for line in foreign.requests() if b"/hoisthook/v1/" not in line] == []
    assert await caller.runs("once") == 0


async def test_rolling_replacement_of_all_nodes_cuts_nothing(caller: Caller) -> None:
    instances = caller.cluster.instances
    done = asyncio.Event()
    failed: list[tuple[str, str]] = []

    async def keep_calling(ingress: Instance) -> None:
        number = 0
        while not done.is_set():
            number += 1
            # A backend server counts as stalled after 2.5 times the expected work. With 5 ms of
            # work, a pause of 15 ms of the only other backend server led to refusals for a
            # stall, which this test would mistake for cut requests.
            got = await caller.send(ingress, f"{ingress.name}-{number}", work_ms=60)
            if got[0] != "0":
                failed.append(got)

    ingress = caller.cluster.of(INGRESS_SERVICE)[0]
    calling = [asyncio.ensure_future(keep_calling(ingress)) for _ in range(3)]
    for instance in instances[1:]:
        assert instance.node_process is not None
        assert await stop(instance.node_process) == 0
        await caller.cluster.start_node(instance)
        await caller.cluster.wait_until_known()
    done.set()
    await asyncio.gather(*calling)
    assert failed == []


async def test_drain_with_the_log_out_sends_no_new_work(caller: Caller) -> None:
    await caller.cluster.log_faults(outage=True)
    ingress = caller.cluster.of(INGRESS_SERVICE)[0]
    leaving, staying = caller.cluster.of(SERVICE)
    await post_json(f"{leaving.backend_url}/_behave", {"draining": True})

    async def is_known() -> bool:
        reply = await operator_call(
            ingress.operators, lambda stub: stub.ListBackendServers(pb.ListBackendServersRequest())
        )
        return any(b.id == leaving.name and not b.takes_work for b in reply.backend_servers)

    await wait_until(is_known)
    for number in range(20):
        assert (await caller.send(ingress, f"new{number}"))[0] == "0"
    async with caller.session.get(f"{staying.backend_url}/_runs") as answer:
        runs = (await answer.json())["runs"]
    assert sum(run.startswith("new") for run in runs) == 20


async def test_drain_of_an_id_that_no_node_knows_is_refused_unless_it_is_expected(
    caller: Caller,
) -> None:
    ingress = caller.cluster.of(INGRESS_SERVICE)[0]
    known = caller.cluster.of(SERVICE)[0].name

    async def drain(number: str, name: str, *, expected: bool = False) -> tuple[int, str]:
        request = pb.SetDrainRequest(
            header=pb.ChangeHeader(operation_id=number),
            backend_server=name,
            drained=True,
            expected=expected,
        )
        reply = await operator_call(ingress.operators, lambda stub: stub.SetDrain(request))
        return reply.code, reply.detail

    code, detail = await drain("1", "nonsense")
    assert code == 4007
    assert "'nonsense'" in detail
    assert await drain("2", "nonsense", expected=True) == (0, "")
    assert await drain("3", known) == (0, "")


async def test_evacuation_names_a_data_centre_that_exists_and_shows_in_the_status(
    caller: Caller,
) -> None:
    ingress = caller.cluster.of(INGRESS_SERVICE)[0]
    listed = await operator_call(
        ingress.operators, lambda stub: stub.ListBackendServers(pb.ListBackendServersRequest())
    )
    known = listed.backend_servers[0].data_centre

    async def evacuate(number: str, data_centre: str) -> int:
        request = pb.SetEvacuationRequest(
            header=pb.ChangeHeader(operation_id=number), data_centre=data_centre, evacuated=True
        )
        reply = await operator_call(ingress.operators, lambda stub: stub.SetEvacuation(request))
        return int(reply.code)

    assert await evacuate("1", "nowhere") == 4007
    assert await evacuate("2", known) == 0
    status = await operator_call(
        ingress.operators, lambda stub: stub.NodeStatus(pb.NodeStatusRequest())
    )
    assert list(status.evacuated_data_centres) == [known]


async def test_node_has_one_thread_no_child_and_no_shared_memory(caller: Caller) -> None:
    ingress = caller.cluster.of(INGRESS_SERVICE)[0]
    for number in range(10):
        await caller.send(ingress, f"r{number}")
    for instance in caller.cluster.instances:
        assert instance.node_process is not None
        pid = instance.node_process.pid
        threads = os.listdir(f"/proc/{pid}/task")
        assert len(threads) == 1
        with open(f"/proc/{pid}/task/{pid}/children") as children:
            assert children.read() == ""
        with open(f"/proc/{pid}/maps") as maps:
            # The C library maps one of its own read-only files as shared.
            modes = [line.split()[1] for line in maps]
        assert [mode for mode in modes if mode.endswith("s") and "w" in mode] == []
