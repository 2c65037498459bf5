"""Build and check tools; not part of the distribution."""

from __future__ import annotations
