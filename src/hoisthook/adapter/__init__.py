"""Adapters between the ports and the outside."""

from __future__ import annotations
