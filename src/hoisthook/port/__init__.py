"""Protocols that the core depends on and adapters implement."""

from __future__ import annotations
