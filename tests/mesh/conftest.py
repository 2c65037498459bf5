from __future__ import annotations

from typing import TYPE_CHECKING

import pytest_asyncio

from standin.mesh_system import MeshSystem

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


@pytest_asyncio.fixture
async def system() -> AsyncIterator[MeshSystem]:
    running = MeshSystem()
    await running.start()
    yield running
    await running.close()
