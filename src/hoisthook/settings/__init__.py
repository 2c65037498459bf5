"""The validated TOML settings of a node."""

from __future__ import annotations
