from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import pytest
import pytest_asyncio

from hoisthook.admission import backend_server_state
from hoisthook.configuration.service_spec import ServiceSpec
from tests.node.foreign_server import ForeignServer
from tests.node.harness import SERVICE
from tests.node.harness import TIMEOUT_MS
from tests.node.harness import System

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


@pytest.fixture(autouse=True)
def warm_backend_servers(monkeypatch: pytest.MonkeyPatch) -> None:
    """Give backend servers all their slots at once by skipping the cold start."""
    monkeypatch.setattr(backend_server_state, "COLD_SECONDS", 0.001)


@asynccontextmanager
async def running(system: System) -> AsyncIterator[System]:
    """Start a system, and close it even if the start or the test fails."""
    try:
        await system.start()
        yield system
    finally:
        await system.close()


@pytest_asyncio.fixture
async def patient_system(warm_backend_servers: None) -> AsyncIterator[System]:
    """Provide a system whose deadlines are long enough for a busy machine."""
    async with running(System(timeout_ms=60_000)) as system:
        yield system


@pytest_asyncio.fixture
async def unhedged_system(warm_backend_servers: None) -> AsyncIterator[System]:
    """Provide a system without hedges, which would spend its retry budget."""
    spec = ServiceSpec(SERVICE, timeout_ms=TIMEOUT_MS, measure_per_second=0, hedge=False)
    async with running(System(spec=spec)) as system:
        yield system


@pytest_asyncio.fixture
async def system(warm_backend_servers: None) -> AsyncIterator[System]:
    async with running(System()) as system:
        yield system


@pytest_asyncio.fixture
async def foreign_server() -> AsyncIterator[ForeignServer]:
    """Provide a running server that is no node."""
    server = ForeignServer()
    await server.start()
    yield server
    server.close()
