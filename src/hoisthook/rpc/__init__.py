"""The operators' published schema and its generated code."""

from __future__ import annotations
