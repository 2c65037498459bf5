"""Ports on loopback for nodes that are told theirs before they listen."""

from __future__ import annotations

import os
import socket

from hoisthook.identity import format_address

# Nodes are asked back at the address that their connections come from, which is this one.
HOST = "127.0.0.1"
FIRST_PORT = 10_000
LAST_PORT = 30_000
PORTS_PER_PROCESS = 131

_given: set[int] = set()


def free_address() -> str:
    """Return an address on loopback that nothing listens on.

    The port is below those that the system gives to outgoing connections, so that none of
    them takes it before its listener does; processes side by side begin at their own ids.
    """
    for offset in range(LAST_PORT - FIRST_PORT):
        port = FIRST_PORT + (os.getpid() * PORTS_PER_PROCESS + offset) % (LAST_PORT - FIRST_PORT)
        if port in _given:
            continue
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        _given.add(port)
        return format_address((HOST, port))
    raise OSError("no free port on loopback")
