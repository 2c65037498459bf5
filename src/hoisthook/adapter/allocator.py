"""Settings of the C library's allocator."""

from __future__ import annotations

import ctypes

# Parameter of ``mallopt`` in glibc's ``malloc.h``.
M_MMAP_THRESHOLD = -3
# Default of glibc, which raises it up to 32 MB as large blocks are freed.
LARGE_BLOCK_BYTES = 128 * 1024


def map_large_blocks() -> bool:
    """Have each large block mapped on its own; return whether the C library supports it.

    A block of its own is returned to the system when it is freed, and grows without being copied.
    On the heap, bodies that grow side by side leave gaps that none of them fits in.
    """
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    return mallopt is not None and mallopt(M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES) == 1
