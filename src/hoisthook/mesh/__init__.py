"""The path of routed requests: from a caller's node to the node beside a backend server."""

from __future__ import annotations
