"""Resolver for literal IP addresses; it needs no look-ups and no threads."""

from __future__ import annotations

import ipaddress
import socket
from typing import Any

from aiosonic.resolver import AbstractResolver


class LiteralResolver(AbstractResolver):
    """A resolver for aiosonic, whose default one would start a thread for each look-up."""

    async def resolve(
        self, host: str, port: int = 0, family: int = socket.AF_INET
    ) -> list[dict[str, Any]]:
        """Return the socket address of a literal IP address.

        Raises
        ------
        ValueError
            If ``host`` is not an IP address.
        """
        version = ipaddress.ip_address(host).version
        return [
            {
                "hostname": host,
                "host": host,
                "port": port,
                "family": socket.AF_INET6 if version == 6 else socket.AF_INET,
                "proto": 0,
                "flags": socket.AI_NUMERICHOST,
            }
        ]

    async def close(self) -> None:
        """Do nothing."""
