"""Allocates loopback ports for nodes whose ports are configured before they start."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

from hoisthook.identity import format_address

if TYPE_CHECKING:
    from collections.abc import Iterator

# Peers connect back to the source address of a node's connections, which is this one.
HOST = "127.0.0.1"
# Below the range that the operating system assigns to outgoing connections.
FIRST_PORT = 10_000
LAST_PORT = 30_000
PORTS_PER_BLOCK = 200

# Bound sockets, held until this process exits: each reserves the block of ports that follows
# its own for this process.
_guards: list[socket.socket] = []


def free_address() -> str:
    """Return a loopback address that nothing listens on; never the same one twice.

    Each process reserves whole blocks of ports. The port of a node that is down for a short time
    looks free, and must not be allocated by another process.

    Raises
    ------
    OSError
        If all ports are taken.
    """
    for port in _ports:
        with socket.socket() as probe:
            if _try_bind(probe, port):
                return format_address((HOST, port))
    raise OSError("no free port on loopback")


def _reserve_ports() -> Iterator[int]:
    for first in range(FIRST_PORT, LAST_PORT, PORTS_PER_BLOCK):
        guard = socket.socket()
        if _try_bind(guard, first):
            _guards.append(guard)
            yield from range(first + 1, first + PORTS_PER_BLOCK)
        else:
            guard.close()


def _try_bind(probe: socket.socket, port: int) -> bool:
    try:
        probe.bind((HOST, port))
    except OSError:
        return False
    return True


_ports = _reserve_ports()
