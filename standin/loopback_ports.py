"""Ports on loopback for nodes that are told theirs before they listen."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

from hoisthook.identity import format_address

if TYPE_CHECKING:
    from collections.abc import Iterator

# Nodes are asked back at the address that their connections come from, which is this one.
HOST = "127.0.0.1"
# Below those that the system gives to outgoing connections.
FIRST_PORT = 10_000
LAST_PORT = 30_000
PORTS_PER_BLOCK = 200

# Bound, and held until this process ends: what follows each belongs to this process alone.
_guards: list[socket.socket] = []


def free_address() -> str:
    """Return an address on loopback that nothing listens on, never the same twice.

    Processes side by side take whole blocks of ports: one whose node is down for a moment looks
    free, and is given to no other process.

    Raises
    ------
    OSError
        If all ports are taken.
    """
    for port in _ports:
        with socket.socket() as probe:
            if _is_bound(probe, port):
                return format_address((HOST, port))
    raise OSError("no free port on loopback")


def _own_ports() -> Iterator[int]:
    for first in range(FIRST_PORT, LAST_PORT, PORTS_PER_BLOCK):
        guard = socket.socket()
        if _is_bound(guard, first):
            _guards.append(guard)
            yield from range(first + 1, first + PORTS_PER_BLOCK)
        else:
            guard.close()


def _is_bound(probe: socket.socket, port: int) -> bool:
    try:
        probe.bind((HOST, port))
    except OSError:
        return False
    return True


_ports = _own_ports()
