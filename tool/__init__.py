"""Tools for building; not shipped."""

from __future__ import annotations
