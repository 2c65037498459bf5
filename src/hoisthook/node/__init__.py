"""The node's composition and its call path."""

from __future__ import annotations
