from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import pytest

from hoisthook.identity import parse_address
from hoisthook.mesh.buffered_exchange import exchange_buffered
from hoisthook.node.call import Lost
from standin.deployment import Deployment
from standin.mesh_cluster import MeshCluster
from standin.published_configuration import LimitOptions
from tests.crowds.process_usage import ProcessUsage

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

    from standin.mesh_cluster import MeshInstance

    OpenSystem = Callable[..., contextlib.AbstractAsyncContextManager["CrowdedSystem"]]

MIB = 1024 * 1024
# A node without load has about 30 MB.
MEMORY_MB = 96.0
BYTES_PER_MB = 1_000_000
MAX_BODY_BYTES = 64 * MIB
# Longer than a test: only what a crowd sends or leaves unread decides.
TIMEOUT_SECONDS = 60.0
LIMITS = LimitOptions(
    max_body_bytes=MAX_BODY_BYTES, header_timeout=TIMEOUT_SECONDS, idle_timeout=TIMEOUT_SECONDS
)
DEPLOYMENT = Deployment("crowd", ("one",), {"front": 1, "shop": 1, "desk": 1}, slots=8)
ANSWER_SECONDS = 30.0


class CrowdedSystem:
    """Nodes as processes: a crowd is at the first, and ordinary requests go through it.

    Parameters
    ----------
    cluster : MeshCluster
        Started cluster.
    """

    def __init__(self, cluster: MeshCluster) -> None:
        self.cluster = cluster
        self.front, self.shop, self.desk = cluster.instances
        self.usage_by_name = {i.name: _usage(i) for i in cluster.instances}

    def start(self) -> None:
        for usage in self.usage_by_name.values():
            usage.start()

    def close(self) -> None:
        for usage in self.usage_by_name.values():
            usage.close()

    async def ordinary_request(self, name: str = "ordinary") -> int:
        """Send a small request through the first node; return its status, 0 without an answer."""
        return await self.request("desk", name, b"x" * 100)

    async def request(self, service: str, name: str, body: bytes) -> int:
        """Send a request to a service through the first node; return its status."""
        address = parse_address(self.front.callers)
        connection = await self.cluster.pool.open(address, ANSWER_SECONDS)
        headers = [(b"host", f"{service}.example".encode()), (b"x-request-id", name.encode())]
        answer = await exchange_buffered(
            connection, b"POST", b"/write/x", headers, body, timeout=ANSWER_SECONDS
        )
        connection.close()
        return 0 if isinstance(answer, Lost) else answer[0].status

    def assert_nodes_hold(self, memory_mb: float = MEMORY_MB) -> None:
        """Check that every node still runs and has stayed within the memory of its machine."""
        for instance in self.cluster.instances:
            assert instance.process is not None
            assert instance.process.returncode is None, f"{instance.name} has ended"
        self.close()
        megabytes = {n: u.memory / BYTES_PER_MB for n, u in self.usage_by_name.items()}
        assert max(megabytes.values()) < memory_mb, megabytes


def _usage(instance: MeshInstance) -> ProcessUsage:
    assert instance.process is not None
    addresses = (instance.callers, instance.peers, instance.readiness, instance.announcements)
    return ProcessUsage(instance.process.pid, [parse_address(a)[1] for a in addresses])


@pytest.fixture
def open_system() -> OpenSystem:
    @contextlib.asynccontextmanager
    async def open_system(
        *,
        memory_mb: float = MEMORY_MB,
        max_descriptors: int | None = None,
        limits: LimitOptions = LIMITS,
    ) -> AsyncIterator[CrowdedSystem]:
        cluster = MeshCluster(
            DEPLOYMENT,
            memory_mb=memory_mb,
            max_descriptors=max_descriptors,
            limits=limits,
            timeout=TIMEOUT_SECONDS,
        )
        try:
            await cluster.start()
            system = CrowdedSystem(cluster)
            system.start()
            assert await system.ordinary_request("before") == 200
            yield system
            system.close()
        finally:
            await cluster.close()

    return open_system
