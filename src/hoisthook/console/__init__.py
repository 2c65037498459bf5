"""The command-line interface."""

from __future__ import annotations
