"""Protocols that the core calls and adapters fill."""

from __future__ import annotations
