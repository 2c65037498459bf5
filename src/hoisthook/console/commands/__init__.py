"""One module per command."""

from __future__ import annotations
