from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
import pytest_asyncio

from hoisthook.mesh import peer_hop
from standin.mesh_system import MeshSystem

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


# All nodes of a test share one event loop: with the default timeout, a stall of 0.1 s would make a
# running node appear unreachable.
PATIENT_CONNECT_SECONDS = 2.0


@pytest.fixture(autouse=True)
def patient_connections(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(peer_hop, "CONNECT_SECONDS", PATIENT_CONNECT_SECONDS)


@pytest_asyncio.fixture
async def system() -> AsyncIterator[MeshSystem]:
    running = MeshSystem()
    await running.start()
    yield running
    await running.close()
