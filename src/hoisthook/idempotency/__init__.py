"""At-most-once execution of non-repeatable requests."""

from __future__ import annotations
