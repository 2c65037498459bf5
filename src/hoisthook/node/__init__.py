"""The node process and the path of a call through it."""

from __future__ import annotations
