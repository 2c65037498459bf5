from __future__ import annotations

import asyncio
import tracemalloc
from typing import TYPE_CHECKING

import pytest

from hoisthook.adapter.http.body_stream import BodyStream
from hoisthook.exceptions import BodyTooLargeError

if TYPE_CHECKING:
    from collections.abc import Iterable

KIB = 1024
MIB = 1024 * KIB


class Source:
    """A connection that cannot be paused."""

    def pause_body(self) -> None:
        """Go on."""

    def resume_body(self) -> None:
        """Go on."""


async def read(pieces: Iterable[bytes], max_bytes: int | None = None) -> bytes:
    """Return the body that a reader gets while the pieces arrive one by one."""
    stream = BodyStream(Source())
    reading = asyncio.ensure_future(stream.read_all(max_bytes=max_bytes))
    for piece in pieces:
        stream.feed(piece)
        await asyncio.sleep(0)
    stream.finish()
    return await reading


@pytest.mark.parametrize("pieces", [[], [b"one"], [b"one", b"two"], [b"x" * KIB] * 300])
async def test_body_is_the_sum_of_its_pieces(pieces: list[bytes]) -> None:
    assert await read(pieces) == b"".join(pieces)


async def test_body_over_its_limit_is_refused_with_the_piece_that_exceeds_it() -> None:
    assert await read([b"x" * KIB] * 4, 4 * KIB) == b"x" * 4 * KIB
    with pytest.raises(BodyTooLargeError):
        await read([b"x" * KIB] * 4, 4 * KIB - 1)


async def test_body_is_read_without_a_second_copy() -> None:
    """Guards against a copy of the whole body for each piece, and against one at the end."""
    size = 32 * MIB
    tracemalloc.start()
    body = await read(bytes(16 * KIB) for _ in range(size // (16 * KIB)))
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert len(body) == size
    # The buffer grows by an eighth at a time.
    assert peak < 1.3 * size
