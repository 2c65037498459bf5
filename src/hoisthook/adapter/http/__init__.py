"""HTTP/1.1 client and server for requests between callers, nodes and backend servers."""

from __future__ import annotations
