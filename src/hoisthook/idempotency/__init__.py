"""At most once for non-repeatable requests."""

from __future__ import annotations
