"""Who is there, learned from peers."""

from __future__ import annotations
