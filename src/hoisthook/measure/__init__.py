"""Rate-limited reads of a backend server's load and health."""

from __future__ import annotations
