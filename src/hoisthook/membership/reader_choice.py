"""Selects the nodes that read the platform's log themselves."""

from __future__ import annotations

import heapq
import zlib
from typing import TYPE_CHECKING
from typing import TypeVar

from hoisthook.membership.member import MemberStatus

if TYPE_CHECKING:
    from collections.abc import Iterable

    from hoisthook.membership.member_table import MemberTable

Node = TypeVar("Node", bound=str)


def is_reader(table: MemberTable, count: int) -> bool:
    """Return whether this node is among its data centre's readers.

    Each node decides by itself: the readers are the nodes with the lowest hashes among
    those it considers alive. Where views differ, one reader more or fewer is harmless.

    Parameters
    ----------
    table : MemberTable
        The known nodes.
    count : int
        Number of readers per data centre.
    """
    me = table.me
    nodes = (
        member.node
        for member in table
        if member.data_centre == me.data_centre and member.status is MemberStatus.ALIVE
    )
    return me.node in choose_readers(nodes, count)


def choose_readers(nodes: Iterable[Node], count: int) -> list[Node]:
    """Return the ``count`` nodes with the lowest hashes, lowest first."""
    return heapq.nsmallest(count, nodes, key=_hash)


def _hash(node: str) -> int:
    return zlib.crc32(node.encode())
