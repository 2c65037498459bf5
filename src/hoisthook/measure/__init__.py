"""The budget for measuring load and health."""

from __future__ import annotations
